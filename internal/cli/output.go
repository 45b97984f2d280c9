package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/comfreylink/comfreylink/internal/inifile"
	"github.com/comfreylink/comfreylink/internal/publisher"
	"github.com/comfreylink/comfreylink/pkg/config"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// ExitCode is the process's exit code; docs/COMMANDS.md lists them.
type ExitCode int

// Exit codes.
const (
	ExitOK       ExitCode = 0
	ExitFailed   ExitCode = 1
	ExitUsage    ExitCode = 2
	ExitConflict ExitCode = 3
	ExitNotKnown ExitCode = 4
	ExitInvalid  ExitCode = 5
)

// errInvalid is wrapped by errors about invalid files.
var errInvalid = errors.New("invalid")

// statusError is the result of a command with exit codes of its own. If err is nil, the command has printed everything.
type statusError struct {
	code ExitCode
	err  error
}

// Error implements error.
func (e *statusError) Error() string {
	if e.err == nil {
		return fmt.Sprintf("exit code %d", e.code)
	}
	return e.err.Error()
}

func (e *statusError) Unwrap() error { return e.err }

func exitCodeOf(err error) ExitCode {
	var status *statusError
	if errors.As(err, &status) {
		return status.code
	}
	var usage *UsageError
	var conflict *config.ConflictError
	var invalid *config.InvalidError
	var unknown *config.UnknownError
	var syntax *inifile.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case errors.Is(err, publisher.ErrOutcomeUnknown):
		return ExitNotKnown
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &invalid), errors.As(err, &unknown), errors.As(err, &syntax), errors.Is(err, errInvalid):
		return ExitInvalid
	default:
		return ExitFailed
	}
}

// errorResult is an error as --json prints it.
type errorResult struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	ExitCode ExitCode `json:"exitCode"`
	Message  string   `json:"message"`
	// Current is the object's revision after a conflict.
	Current *ids.Revision `json:"current,omitempty"`
}

// output prints results as text on stderr or, if json is set, as JSON on stdout.
type output struct {
	stdout, stderr io.Writer
	json           bool
}

func (o output) error(err error) {
	if !o.json {
		fmt.Fprintf(o.stderr, "comfreylink: %v\n", err)
		return
	}
	body := errorBody{ExitCode: exitCodeOf(err), Message: err.Error()}
	var conflict *config.ConflictError
	if errors.As(err, &conflict) {
		body.Current = &conflict.Current
	}
	_ = o.encode(errorResult{Error: body})
}

// result prints value as JSON if o.json is set, otherwise the formatted text.
func (o output) result(value any, format string, args ...any) error {
	if o.json {
		return o.encode(value)
	}
	_, err := fmt.Fprintf(o.stderr, format+"\n", args...)
	return err
}

func (o output) encode(value any) error {
	return json.NewEncoder(o.stdout).Encode(value)
}

// objectResult is an object as --json prints it.
type objectResult struct {
	Object   string          `json:"object"`
	Revision ids.Revision    `json:"revision"`
	Document json.RawMessage `json:"document,omitempty"`
}
