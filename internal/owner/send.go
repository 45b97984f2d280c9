package owner

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

// sending is a target and a rate token that a call holds.
type sending struct {
	place Placement
	grant Grant
}

// maxReacquire bounds how often a call takes a new rate token because the last one grew too old before it was used.
const maxReacquire = 8

// prepare waits for a target and a rate token, the token last, because it must be used at once. before runs between the
// two; it may take as long as a log append, and if it refuses, nothing was sent.
func (o *Owner) prepare(ctx context.Context, c peer.Call, pool ids.PoolID, it dispatch.Item, before func(Placement) *peer.Refusal) (s sending, r *peer.Refusal) {
	if o.Targets.Quarantined(c.Workspace, c.Fingerprint) {
		return s, &peer.Refusal{Code: peer.CodeQuarantined, Run: peer.NotRun, Message: "targets died while they ran this request"}
	}
	if s.place, r = o.Targets.Place(ctx, pool, it); r != nil {
		return s, r
	}
	defer func() {
		if r != nil {
			o.Targets.Done(s.place, dispatch.Unsent, record.Usage{})
		}
	}()
	if before != nil {
		if r = before(s.place); r != nil {
			return s, r
		}
	}
	for range maxReacquire {
		if s.grant, r = o.Targets.Acquire(ctx, c.Workspace); r != nil {
			return s, r
		}
		now := time.Now()
		if r = o.keyWithdrawn(c, now); r != nil {
			s.grant.Unused()
			return s, r
		}
		if s.grant.Usable(now) {
			return s, nil
		}
		s.grant.Unused()
	}
	return s, &peer.Refusal{Code: peer.CodeOverloaded, Run: peer.NotRun, Message: "rate tokens arrived too late to be used"}
}

// keyWithdrawn refuses a call whose key was withdrawn while it waited.
func (o *Owner) keyWithdrawn(c peer.Call, now time.Time) *peer.Refusal {
	if c.KeyHash == "" {
		return nil
	}
	var h config.KeyHash
	raw, err := hex.DecodeString(c.KeyHash)
	if err == nil && copy(h[:], raw) == len(h) {
		if ws, ok := o.Catalog.Current().AuthenticateHash(h, now); ok && ws == c.Workspace {
			return nil
		}
	}
	return &peer.Refusal{Code: peer.CodeUnauthorized, Run: peer.NotRun, Message: "the key was withdrawn"}
}

// outcomeOf classifies a target's failure for the dispatcher.
func outcomeOf(err error) dispatch.Outcome {
	var t *targethttp.Error
	if !errors.As(err, &t) {
		return dispatch.Failed
	}
	switch t.Kind {
	case targethttp.Leaving:
		return dispatch.Left
	case targethttp.Refused, targethttp.Cut, targethttp.Timeout:
		return dispatch.Died
	default:
		return dispatch.Failed
	}
}

// mayHaveReached reports whether a failed request may have reached its target.
func mayHaveReached(err error) bool {
	var t *targethttp.Error
	return !errors.As(err, &t) || t.Sent()
}

// brokeOff reports whether the connection broke while the target ran the request, which may mean that the target died.
func brokeOff(err error) bool {
	var t *targethttp.Error
	return errors.As(err, &t) && t.Kind == targethttp.Cut && t.Sent()
}

// badStatus returns the status of a target's own refusal, or 0.
func badStatus(err error) int {
	var t *targethttp.Error
	if errors.As(err, &t) && t.Kind == targethttp.BadStatus {
		return t.Status
	}
	return 0
}

// mayRetry waits until a failed repeatable call may be sent again. It reports false if it may not.
func (o *Owner) mayRetry(ctx context.Context, c peer.Call, err error, attempts int) bool {
	deadline, _ := ctx.Deadline()
	now := time.Now()
	at, why := o.Targets.RetryAt(now, retry.Failure{
		Idempotent:  true,
		Sent:        err == nil || mayHaveReached(err),
		Quarantined: o.Targets.Quarantined(c.Workspace, c.Fingerprint),
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
