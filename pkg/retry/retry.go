// Package retry decides whether a failed call may be repeated, and when.
package retry

import (
	"math"
	"math/rand/v2"
	"time"
)

// Options are the settings of retries.
type Options struct {
	// Share of requests that may be retried, from 0 to 1.
	Share float64
	// Reserve is how many retries are possible without earlier requests, so that a quiet instance can retry at all. It
	// is also what idle time saves up.
	Reserve float64
	// InitialBackoff is the longest wait before the first retry; it doubles with each, up to MaxBackoff.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
	// MaxAttempts bounds the attempts at one call.
	MaxAttempts int
}

// DefaultOptions are 10% of requests (design section 4.10) and waits below the time in which a list shows a failure.
func DefaultOptions() Options {
	return Options{Share: 0.1, Reserve: 10, InitialBackoff: 50 * time.Millisecond, MaxBackoff: 2 * time.Second, MaxAttempts: 4}
}

// Budget is a token bucket that requests fill and retries empty. In any run of n requests, at most
// Share x n + Reserve are retried.
type Budget struct {
	opt    Options
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(o Options) *Budget { return &Budget{opt: o, tokens: o.Reserve} }

// Request counts a first attempt.
func (b *Budget) Request() { b.tokens = min(b.tokens+b.opt.Share, b.opt.Reserve) }

// Reason says why a call is not repeated.
type Reason string

// Reasons against a retry.
const (
	// NotIdempotent: the call may have reached its target and must not run twice.
	NotIdempotent Reason = "notIdempotent"
	// Quarantined: the call is suspected of crashing targets.
	Quarantined Reason = "quarantined"
	// Attempts: the call was tried often enough.
	Attempts Reason = "attempts"
	// Deadline: the next attempt would start after the deadline.
	Deadline Reason = "deadline"
	// BudgetSpent: too large a share of the requests is retried already.
	BudgetSpent Reason = "budgetSpent"
)

// Failure describes a failed call.
type Failure struct {
	Idempotent bool
	// Sent is whether the call may have reached its target, as the adapter's error tells.
	Sent        bool
	Quarantined bool
	// Attempts made so far, at least 1.
	Attempts int
	Deadline time.Time
	// NotBefore is the time that the target asked for, such as by Retry-After; zero if none.
	NotBefore time.Time
}

// Decide returns when to repeat a failed call, or why not. It spends from the budget only if the call is repeated. The
// wait is drawn evenly from 0 to its limit, so that calls that failed together do not come back together.
//
// Source of the jitter: Brooker, "Exponential Backoff And Jitter", 2015.
func (b *Budget) Decide(now time.Time, f Failure, random *rand.Rand) (at time.Time, why Reason) {
	switch {
	case f.Quarantined:
		return time.Time{}, Quarantined
	case f.Sent && !f.Idempotent:
		return time.Time{}, NotIdempotent
	case f.Attempts >= b.opt.MaxAttempts:
		return time.Time{}, Attempts
	}
	at = now.Add(time.Duration(random.Float64() * float64(b.limit(f.Attempts))))
	if at.Before(f.NotBefore) {
		at = f.NotBefore
	}
	switch {
	case !at.Before(f.Deadline):
		return time.Time{}, Deadline
	case b.tokens < 1:
		return time.Time{}, BudgetSpent
	}
	b.tokens--
	return at, ""
}

// limit returns the longest wait after so many attempts.
func (b *Budget) limit(attempts int) time.Duration {
	d := float64(b.opt.InitialBackoff) * math.Exp2(float64(attempts-1))
	return time.Duration(min(d, float64(b.opt.MaxBackoff)))
}
