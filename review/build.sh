#!/usr/bin/env bash
# Builds the stand-ins and scripts of the review. It needs Go only, and no modules.
set -euo pipefail
cd "$(dirname "$0")/platform"
GOWORK=off go build -o ../../target/review/standin .
