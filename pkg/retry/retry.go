// Package retry decides whether a failed call may be repeated, and when.
package retry

import (
	"math"
	"math/rand/v2"
	"time"
)

// Options are the settings of retries.
type Options struct {
	// Share is the share of requests that may be retried, from 0 to 1.
	Share float64
	// Reserve is how many retries are possible without earlier requests, so that an instance with few requests can retry
	// at all. It is also the most that the budget accumulates.
	Reserve float64
	// InitialBackoff is the longest wait before the first retry. It doubles with each further retry, up to MaxBackoff.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
	// MaxAttempts bounds the attempts at one call.
	MaxAttempts int
}

// DefaultOptions returns a budget of 10% of requests (design section 4.10), and waits shorter than the time until the
// instance list shows that a target failed.
func DefaultOptions() Options {
	return Options{Share: 0.1, Reserve: 10, InitialBackoff: 50 * time.Millisecond, MaxBackoff: 2 * time.Second, MaxAttempts: 4}
}

// Budget is a token bucket that requests fill and retries empty. During any n successive requests, there are at
// most Share x n + Reserve retries.
type Budget struct {
	opt    Options
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(o Options) *Budget { return &Budget{opt: o, tokens: o.Reserve} }

// Request counts the first attempt at a request.
func (b *Budget) Request() { b.tokens = min(b.tokens+b.opt.Share, b.opt.Reserve) }

// Reason says why a call is not repeated.
type Reason string

// Reasons against a retry.
const (
	// NotIdempotent: the call may have reached its target and must not run twice.
	NotIdempotent Reason = "notIdempotent"
	// Quarantined: the call is suspected of crashing targets.
	Quarantined Reason = "quarantined"
	// Attempts: the call has had MaxAttempts attempts.
	Attempts Reason = "attempts"
	// Deadline: the next attempt would start after the deadline.
	Deadline Reason = "deadline"
	// BudgetSpent: the retry budget is used up.
	BudgetSpent Reason = "budgetSpent"
)

// Failure describes a failed call.
type Failure struct {
	Idempotent bool
	// Sent is whether the call may have reached its target, according to the adapter's error.
	Sent        bool
	Quarantined bool
	// Attempts is the number of attempts made so far, at least 1.
	Attempts int
	Deadline time.Time
	// NotBefore is the earliest time for a retry that the target asked for, such as by Retry-After; zero if none.
	NotBefore time.Time
}

// Decide returns when to repeat a failed call, or why not. It spends from the budget only if the call is repeated. The
// wait is drawn uniformly from 0 to its limit, so that calls that failed at the same time are not all repeated at the same
// time.
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

// limit returns the longest wait after the given number of attempts.
func (b *Budget) limit(attempts int) time.Duration {
	d := float64(b.opt.InitialBackoff) * math.Exp2(float64(attempts-1))
	return time.Duration(min(d, float64(b.opt.MaxBackoff)))
}
