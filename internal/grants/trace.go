package grants

import (
	"context"
	"errors"
	"time"

	"github.com/comfreylink/comfreylink/internal/rpc"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/quota"
)

// UnansweredPart describes a part of a limit for which no instance could decide, as a log event shows it.
type UnansweredPart struct {
	Part  int         `json:"part"`
	Shard quota.Shard `json:"shard"`
	// Owner is the instance that owned the part as far as this one knew when it began to ask, and ReportAgeMs the time since the
	// owner's last report was read, -1 if none was.
	Owner       ids.InstanceID `json:"owner,omitempty"`
	ReportAgeMs int64          `json:"reportAgeMs"`
	// Certain is set if this instance has read all reports since the owner's claim. Free is set if it may claim the part.
	Certain bool `json:"certain"`
	Free    bool `json:"free"`
	// Calls are the calls to other instances that did not lead to a decision.
	Calls []FailedCall `json:"calls,omitempty"`
}

// FailedCall is a call for a grant that led to no decision.
type FailedCall struct {
	Instance ids.InstanceID `json:"instance"`
	Outcome  CallOutcome    `json:"outcome"`
	TookMs   int64          `json:"tookMs"`
}

// CallOutcome says why a call led to no decision.
type CallOutcome string

const (
	outcomeNotOwner       CallOutcome = "notOwner"
	outcomeUnknownAddress CallOutcome = "unknownAddress"
	outcomePaused         CallOutcome = "paused" // the instance did not answer the last calls
	outcomeTimeout        CallOutcome = "timeout"
	outcomeCancelled      CallOutcome = "cancelled" // the caller has gone away
	outcomeUnreachable    CallOutcome = "unreachable"
	outcomeFailed         CallOutcome = "failed"
)

// outcomeOf returns why a call failed whose caller has the context ctx.
func outcomeOf(ctx context.Context, err error) CallOutcome {
	switch {
	case err == nil:
		return outcomeNotOwner
	case errors.Is(ctx.Err(), context.Canceled):
		return outcomeCancelled
	case errors.Is(err, context.DeadlineExceeded):
		return outcomeTimeout
	case errors.Is(err, rpc.ErrUnreachable):
		return outcomeUnreachable
	default:
		return outcomeFailed
	}
}

// describe returns a part's owner as it is known now, and no calls.
func (g *RateLimiter) describe(p grantParams) (u UnansweredPart) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, shard := g.Now(), quota.ShardOf(p.Workspace, p.Part)
	u = UnansweredPart{Part: p.Part, Shard: shard, ReportAgeMs: -1}
	o := g.limiter.Leases.Describe(shard)
	u.Owner, u.Certain = o.Instance, o.Certain
	if !o.ReadAt.IsZero() {
		u.ReportAgeMs = ids.Millis(now.Sub(o.ReadAt))
	}
	at, ok := g.limiter.Leases.FreeAt(shard)
	u.Free = ok && !now.Before(at)
	return u
}

// addFailedCall notes a call that led to no decision and began at a time.
func (u *UnansweredPart) addFailedCall(id ids.InstanceID, o CallOutcome, took time.Duration) {
	u.Calls = append(u.Calls, FailedCall{Instance: id, Outcome: o, TookMs: took.Milliseconds()})
}
