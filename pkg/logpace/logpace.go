// Package logpace decides when an instance may call a log that many instances share and that throttles calls above a limit
// for all of them.
//
// It handles the overload in which each instance repeats throttled calls within milliseconds until the repeated calls crowd
// out the useful ones, so that the overload outlasts its cause. The rate of an instance follows additive increase and
// multiplicative decrease; calls above it wait in a bounded queue in the order of their kinds, and those that cannot be
// made in time are dropped without being sent.
//
// Source of the rule: Chiu and Jain, "Analysis of the increase and decrease algorithms for congestion avoidance", 1989.
package logpace

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/comfreylink/comfreylink/pkg/retry"
)

// Kind is the kind of a call. Kinds with lower numbers go first; the zero value is the middle priority.
type Kind int

// Kinds of calls.
const (
	// Lease is a report or a claim of a lease, without which other instances take over what this one owns.
	Lease Kind = iota - 2
	// TurnEnd is the end of a turn whose caller still waits.
	TurnEnd
	// Reservation is a reservation of tokens, and every call without another kind.
	Reservation
	// Background is a copy of an old turn or the settlement of an idle pool, for which nobody waits.
	Background
)

// String returns the kind's name in metrics.
func (k Kind) String() string {
	switch k {
	case Lease:
		return "lease"
	case TurnEnd:
		return "turnEnd"
	case Background:
		return "background"
	default:
		return "reservation"
	}
}

const (
	// maxQueued is the size of the queue in calls.
	maxQueued = 256
	// maxWait bounds the expected wait in the queue. A caller that would wait longer is better off with an immediate answer.
	maxWait = time.Second
	// minQueued is how many calls may always wait, so that an instance at its lowest rate still has a queue.
	minQueued = 4
	// maxInProgress is the number of calls that may be in progress. It bounds what an unresponsive log holds up.
	maxInProgress = 64
	// leaseSlots is how many of these are left to calls of kind Lease.
	leaseSlots = 16
	// MinBackoff is the least wait before a retry, maxBackoff the greatest.
	MinBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
)

// Outcome is how a call ended.
type Outcome int

// Outcomes of calls.
const (
	// Answered: the log accepted the call, or answered it with a conflict or the like.
	Answered Outcome = iota
	// Throttled: the log refused the call because there were too many.
	Throttled
	// Failed: the log did not answer or was unavailable.
	Failed
)

// Call is a call that waits or is in progress.
type Call struct {
	Kind Kind
	// Deadline is when the call's context ends; zero if it has no deadline.
	Deadline time.Time
	// LongPoll marks a read that waits for new records. It takes a token, but does not count as in progress.
	LongPoll bool
	// Retry marks a further attempt at a call that was throttled or dropped before. Calls of kinds after TurnEnd then need a
	// part of the retry budget.
	Retry bool
	// NotBefore is the earliest time of the call; zero if there is none. A pacer changes it when it retries the call.
	NotBefore time.Time

	attempts int
	sentAt   time.Time
}

// Options are the settings of a Pacer.
type Options struct {
	// Limit is the log's limit of calls per second for all instances. It bounds the rate of one instance.
	Limit float64
	// Initial is the rate at the start and after idle times, in calls per second.
	Initial float64
	// Reads marks a pacer of reads, which the log's limit does not count.
	Reads bool
	// Random is the source of jitter.
	Random *rand.Rand
}

// Pacer holds the calls of one instance that wait for the log. It is not safe for concurrent use.
type Pacer struct {
	opt        Options
	bucket     bucket
	refusal    *Refusal
	retries    *retry.Budget
	queue      []*Call // in the order of arrival
	inProgress int
	series     throttledSeries
}

// throttledSeries describes the consecutive throttled answers since the last other one.
type throttledSeries struct {
	begun      bool
	rateBefore float64 // rate before the first one
	refusals   int     // count of refusals of this instance alone before the first one
}

// New returns a pacer. Pacers of different calls of one instance share the refusal.
func New(now time.Time, o Options, r *Refusal) *Pacer {
	budget := retry.DefaultOptions()
	budget.InitialBackoff, budget.MaxBackoff, budget.MaxAttempts = 3*MinBackoff, maxBackoff, 3
	o.Initial = min(max(o.Initial, minRate), max(o.Limit, minRate))
	o.Limit = max(o.Limit, minRate)
	return &Pacer{opt: o, bucket: newBucket(now, o.Limit, o.Initial), refusal: r, retries: retry.NewBudget(budget)}
}

// Rate returns the current rate in calls per second.
func (p *Pacer) Rate() float64 { return p.bucket.rate }

// Queued returns the number of calls that wait.
func (p *Pacer) Queued() int { return len(p.queue) }

// Submit queues a call. It is not accepted if it would wait longer than maxWait or past its deadline, or if it is a retry and
// the retry budget is used up. If the queue is full, the newest call of the least urgent kind gives way, and is returned as
// evicted.
func (p *Pacer) Submit(now time.Time, c *Call) (accepted bool, evicted *Call) {
	if !c.Retry {
		p.retries.Request()
	}
	if !p.reachedInTime(now, c) {
		return false, nil
	}
	evictedIndex := -1
	if len(p.queue) >= maxQueued {
		if evictedIndex = p.leastUrgent(); p.queue[evictedIndex].Kind <= c.Kind {
			return false, nil
		}
	}
	// Without a budget, the repeated calls of an overload keep first attempts out of the queue after it. Work that has run is
	// not lost for that reason.
	if c.Retry && c.Kind > TurnEnd && !p.scheduleRetry(now, c, 1, c.NotBefore) {
		return false, nil
	}
	if evictedIndex >= 0 {
		evicted = p.queue[evictedIndex]
		p.queue = slices.Delete(p.queue, evictedIndex, evictedIndex+1)
	}
	p.queue = append(p.queue, c)
	return true, evicted
}

// reachedInTime reports whether a call is expected to be made before its deadline and within maxWait, after the calls that
// go before it.
func (p *Pacer) reachedInTime(now time.Time, c *Call) bool {
	p.bucket.fill(now)
	ahead := 0
	for _, q := range p.queue {
		if q.Kind <= c.Kind {
			ahead++
		}
	}
	wait := time.Duration(max(0, float64(ahead+1)-p.bucket.tokens) / p.bucket.rate * float64(time.Second))
	if !c.Deadline.IsZero() && !now.Add(wait).Before(c.Deadline) {
		return false
	}
	return c.Kind == Lease || ahead < minQueued || wait <= maxWait
}

// leastUrgent returns the index of the newest call of the least urgent kind. The queue must not be empty.
func (p *Pacer) leastUrgent() (index int) {
	for i, q := range p.queue {
		if q.Kind >= p.queue[index].Kind {
			index = i
		}
	}
	return index
}

// Cancel removes a call whose context has ended. It reports whether the call was still queued; otherwise it is in progress.
func (p *Pacer) Cancel(c *Call) (queued bool) {
	i := slices.Index(p.queue, c)
	if i < 0 {
		return false
	}
	p.queue = slices.Delete(p.queue, i, i+1)
	return true
}

// Next returns the next call to make now, or nil. Without one, again is when to ask again, or zero if only a call that is
// submitted or done changes the answer. Calls past their deadline are removed and returned as expired.
func (p *Pacer) Next(now time.Time) (c *Call, expired []*Call, again time.Time) {
	p.queue = slices.DeleteFunc(p.queue, func(q *Call) bool {
		late := !q.Deadline.IsZero() && !now.Before(q.Deadline)
		if late {
			expired = append(expired, q)
		}
		return late
	})
	best := -1
	for i, q := range p.queue {
		if now.Before(q.NotBefore) {
			if again.IsZero() || q.NotBefore.Before(again) {
				again = q.NotBefore
			}
			continue
		}
		if p.hasSlot(q) && (best < 0 || q.Kind < p.queue[best].Kind) {
			best = i
		}
	}
	if best < 0 {
		return nil, expired, again
	}
	if !p.bucket.take(now) {
		return nil, expired, p.bucket.nextToken(now)
	}
	c = p.queue[best]
	p.queue = slices.Delete(p.queue, best, best+1)
	c.sentAt = now
	c.attempts++
	if !c.LongPoll {
		p.inProgress++
	}
	return c, expired, time.Time{}
}

// hasSlot reports whether a call may be in progress beside those that are.
func (p *Pacer) hasSlot(c *Call) bool {
	switch {
	case c.LongPoll:
		return true
	case c.Kind == Lease:
		return p.inProgress < maxInProgress
	default:
		return p.inProgress < maxInProgress-leaseSlots
	}
}

// Result is the effect of a call's outcome.
type Result struct {
	// Retried: the call was queued again.
	Retried bool
	// Lowered: the rate was lowered.
	Lowered bool
	// RefusalChanged: the log is taken to refuse this instance alone from now on, or no longer.
	RefusalChanged bool
}

// Done records the outcome of a call that Next returned. A throttled call is queued again if the retry budget and its
// deadline allow; others are left to the caller.
func (p *Pacer) Done(now time.Time, c *Call, o Outcome) (r Result) {
	if !c.LongPoll {
		p.inProgress--
	}
	if o == Failed {
		return r
	}
	throttled := o == Throttled
	r.RefusalChanged = p.refusal.Answered(now, throttled, p.opt.Reads)
	if !throttled {
		p.endSeries()
		return r
	}
	if !p.series.begun {
		p.series = throttledSeries{begun: true, rateBefore: p.bucket.rate, refusals: p.refusal.count}
	}
	// A refusal of this instance alone is no sign of load, and a retry would be refused too.
	if p.refusal.Alone() {
		return r
	}
	r.Lowered = p.bucket.throttled(now, c.sentAt, p.opt.Random)
	if len(p.queue) < maxQueued && p.scheduleRetry(now, c, c.attempts, now.Add(MinBackoff)) {
		p.queue = append(p.queue, c)
		r.Retried = true
	}
	return r
}

// endSeries ends a series of throttled answers. If they concerned this instance alone, half of the rate before them is restored.
func (p *Pacer) endSeries() {
	if p.series.begun && p.refusal.count != p.series.refusals {
		p.bucket.rate = max(p.bucket.rate, p.series.rateBefore/2)
	}
	p.series = throttledSeries{}
}

// scheduleRetry spends a part of the retry budget and sets the time of a retry. It reports whether the call may be retried.
func (p *Pacer) scheduleRetry(now time.Time, c *Call, attempts int, notBefore time.Time) bool {
	deadline := c.Deadline
	if deadline.IsZero() {
		deadline = now.Add(2 * maxBackoff)
	}
	at, why := p.retries.Decide(now, retry.Failure{
		Idempotent: true, Attempts: attempts, Deadline: deadline, NotBefore: notBefore,
	}, p.opt.Random)
	c.NotBefore = at
	return why == ""
}
