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

// Attempt is the target and the rate token that a call holds for one attempt.
type Attempt struct {
	Place Placement
	Grant Grant
	// Ready is the time at which the call held both.
	Ready time.Time
}

// Catalog holds the configuration.
type Catalog interface {
	// Current returns the configuration that is in force.
	Current() *config.View
}

// Access prepares attempts at targets and decides on retries.
type Access struct {
	Targets
	Catalog Catalog
}

// maxReacquire bounds the number of rate tokens that one Prepare acquires, since a token may be too old when it
// arrives.
const maxReacquire = 8

// Prepare blocks until the call has a target and then a rate token. The token comes last because it must be used at
// once. If before is not nil, it runs after the target is assigned and before the token is requested; it may take as
// long as a log append. If before returns a refusal, Prepare releases the target and returns the refusal.
func (a Access) Prepare(ctx context.Context, c peer.Call, pool ids.PoolID, it dispatch.Item, before func(Placement) *peer.Refusal) (s Attempt, r *peer.Refusal) {
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

// keyWithdrawn returns a refusal if the caller's key was withdrawn while the call waited.
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

// hungAfter is the shortest time without an answer that makes a target count as dead when a request's deadline passes.
// After a shorter time the target may be healthy.
const hungAfter = 10 * time.Second

// OutcomeOf returns the outcome to report to the dispatcher for an attempt that failed with err after the time took.
func OutcomeOf(err error, took time.Duration) dispatch.Outcome {
	var t *targethttp.Error
	if !errors.As(err, &t) {
		return dispatch.Failed
	}
	switch t.Kind {
	case targethttp.Leaving:
		return dispatch.AnsweredLeaving
	case targethttp.NotConnected:
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

// ConnectionBroke reports whether the connection broke after the request was sent, which may mean that the target died
// of it.
func ConnectionBroke(err error) bool {
	var t *targethttp.Error
	return errors.As(err, &t) && t.Kind == targethttp.Cut && t.Sent()
}

// BadStatus returns the HTTP status if the target answered with an error status, and otherwise 0.
func BadStatus(err error) int {
	var t *targethttp.Error
	if errors.As(err, &t) && t.Kind == targethttp.BadStatus {
		return t.Status
	}
	return 0
}

// MayRetry waits for the backoff of a failed idempotent call and reports whether the call may be sent again.
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
