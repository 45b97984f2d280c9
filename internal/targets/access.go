package targets

import (
	"context"
	"encoding/hex"
	"errors"
	"time"

	"github.com/comfreylink/comfreylink/internal/peer"
	"github.com/comfreylink/comfreylink/internal/targethttp"
	"github.com/comfreylink/comfreylink/pkg/config"
	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
	"github.com/comfreylink/comfreylink/pkg/retry"
)

// Sending is a target and a rate token that a call holds.
type Sending struct {
	Place Placement
	Grant Grant
	// Ready is when both were there.
	Ready time.Time
}

// Catalog is the configuration in force.
type Catalog interface {
	Current() *config.View
}

// Access is the way of calls to targets.
type Access struct {
	Targets
	Catalog Catalog
}

// maxReacquire bounds how often a call takes a new rate token because the last one grew too old before it was used.
const maxReacquire = 8

// Prepare waits for a target and a rate token, the token last, because it must be used at once. before runs between the
// two; it may take as long as a log append, and if it refuses, nothing was sent.
func (a Access) Prepare(ctx context.Context, c peer.Call, pool ids.PoolID, it dispatch.Item, before func(Placement) *peer.Refusal) (s Sending, r *peer.Refusal) {
	if a.Quarantined(c.Workspace, c.Fingerprint) {
		return s, &peer.Refusal{Code: peer.CodeQuarantined, Run: peer.NotRun, Message: "targets died while they ran this request"}
	}
	it.Suspected = a.Suspected(c.Workspace, c.Fingerprint)
	if s.Place, r = a.Place(ctx, pool, it); r != nil {
		return s, r
	}
	defer func() {
		if r != nil {
			a.Done(s.Place, dispatch.NotSent, record.Usage{})
		}
	}()
	if before != nil {
		if r = before(s.Place); r != nil {
			return s, r
		}
	}
	for range maxReacquire {
		if s.Grant, r = a.Acquire(ctx, c.Workspace); r != nil {
			return s, r
		}
		now := time.Now()
		if r = a.keyWithdrawn(c, now); r != nil {
			s.Grant.Unused()
			return s, r
		}
		if s.Grant.Usable(now) {
			s.Ready = now
			return s, nil
		}
		s.Grant.Unused()
	}
	return s, &peer.Refusal{Code: peer.CodeOverloaded, Run: peer.NotRun, Message: "rate tokens arrived too late to be used"}
}

// keyWithdrawn refuses a call whose key was withdrawn while it waited.
func (a Access) keyWithdrawn(c peer.Call, now time.Time) *peer.Refusal {
	if c.KeyHash == "" {
		return nil
	}
	var h config.KeyHash
	raw, err := hex.DecodeString(c.KeyHash)
	if err == nil && copy(h[:], raw) == len(h) {
		if ws, ok := a.Catalog.Current().AuthenticateHash(h, now); ok && ws == c.Workspace {
			return nil
		}
	}
	return &peer.Refusal{Code: peer.CodeUnauthorized, Run: peer.NotRun, Message: "the key was withdrawn"}
}

// hungAfter is how long a target must have been silent until a passed deadline counts as its failure. A caller's short
// deadline says nothing about the target.
const hungAfter = 10 * time.Second

// OutcomeOf classifies a target's failure for the dispatcher, after the time that the request took.
func OutcomeOf(err error, took time.Duration) dispatch.Outcome {
	var t *targethttp.Error
	if !errors.As(err, &t) {
		return dispatch.Failed
	}
	switch t.Kind {
	case targethttp.Leaving:
		return dispatch.TargetLeft
	case targethttp.Refused:
		return dispatch.Unreachable
	case targethttp.Cut:
		return dispatch.Died
	case targethttp.Timeout:
		if !t.Sent() {
			return dispatch.NotSent
		}
		if took >= hungAfter {
			return dispatch.Died
		}
		return dispatch.Failed
	default:
		return dispatch.Failed
	}
}

// MayHaveReached reports whether a failed request may have reached its target.
func MayHaveReached(err error) bool {
	var t *targethttp.Error
	return !errors.As(err, &t) || t.Sent()
}

// BrokeOff reports whether the connection broke while the target ran the request, which may mean that the target died.
func BrokeOff(err error) bool {
	var t *targethttp.Error
	return errors.As(err, &t) && t.Kind == targethttp.Cut && t.Sent()
}

// BadStatus returns the status of a target's own refusal, or 0.
func BadStatus(err error) int {
	var t *targethttp.Error
	if errors.As(err, &t) && t.Kind == targethttp.BadStatus {
		return t.Status
	}
	return 0
}

// MayRetry waits until a failed repeatable call may be sent again. It reports false if it may not.
func (a Access) MayRetry(ctx context.Context, c peer.Call, err error, attempts int) bool {
	deadline, _ := ctx.Deadline()
	now := time.Now()
	at, why := a.RetryAt(now, retry.Failure{
		Idempotent:  true,
		Sent:        err == nil || MayHaveReached(err),
		Quarantined: a.Quarantined(c.Workspace, c.Fingerprint),
		Attempts:    attempts,
		Deadline:    deadline,
	})
	if why != "" {
		return false
	}
	select {
	case <-time.After(at.Sub(now)):
		return true
	case <-ctx.Done():
		return false
	}
}
