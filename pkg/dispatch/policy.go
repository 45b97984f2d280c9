package dispatch

import (
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Policy picks the next item to place and its target. The set of policies is closed: they read the queue's state.
type Policy interface {
	// Name returns the policy's name in settings.
	Name() string
	// begin starts a round of picks at one time.
	begin(now time.Time, q *Queue)
	// pick returns an item and a target that admits it, or nil if nothing is to be placed now.
	pick(now time.Time, q *Queue) (e *entry, t *target)
}

// firstFit places the oldest item for which choose finds a target.
func firstFit(q *Queue, choose func(e *entry) *target) (*entry, *target) {
	for e := q.oldest; e != nil; e = e.newer {
		if t := choose(e); t != nil {
			return e, t
		}
	}
	return nil, nil
}

// roundRobin places items in order of arrival on targets in turn, leaving out full ones.
type roundRobin struct{ last int }

func (*roundRobin) Name() string            { return PolicyRoundRobin }
func (*roundRobin) begin(time.Time, *Queue) {}

func (r *roundRobin) pick(now time.Time, q *Queue) (*entry, *target) {
	return firstFit(q, func(e *entry) *target {
		for i := range q.order {
			n := (r.last + 1 + i) % len(q.order)
			if t := q.order[n]; t.admits(now, q, e) {
				r.last = n
				return t
			}
		}
		return nil
	})
}

// leastInFlight places items in order of arrival on the target with the fewest calls.
type leastInFlight struct{}

func (leastInFlight) Name() string            { return PolicyLeastInFlight }
func (leastInFlight) begin(time.Time, *Queue) {}

func (leastInFlight) pick(now time.Time, q *Queue) (*entry, *target) {
	return firstFit(q, func(e *entry) (best *target) {
		for _, t := range q.order {
			if t.admits(now, q, e) && (best == nil || t.inFlight() < best.inFlight()) {
				best = t
			}
		}
		return best
	})
}

// sticky keeps each program on one target by rendezvous hashing, and waits while that target is full.
type sticky struct{}

func (sticky) Name() string            { return PolicySticky }
func (sticky) begin(time.Time, *Queue) {}

func (sticky) pick(now time.Time, q *Queue) (*entry, *target) {
	return firstFit(q, func(e *entry) *target {
		home := stickyHome(now, q, e)
		if home == nil || !home.admits(now, q, e) {
			return nil
		}
		return home
	})
}

func stickyHome(now time.Time, q *Queue, e *entry) (home *target) {
	key := string(e.item.Workspace) + "\x00" + string(e.item.Program.Root())
	var best uint64
	for _, t := range q.order {
		if !t.usable(now, q) || e.excludes(t.id) {
			continue
		}
		if score := ids.Rendezvous(string(t.id), key); home == nil || score > best {
			home, best = t, score
		}
	}
	return home
}
