package dispatch

import (
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/target"
)

// Policy picks the next item to place and its target. The set of policies is closed: they read the queue's state.
type Policy interface {
	// Name returns the policy's name in settings.
	Name() string
	// begin starts a round of picks at one time.
	begin(q *Queue)
	// pick returns an item and a target that it fits, or nil if nothing is to be placed now.
	pick(now time.Time, q *Queue) (e *entry, t *target.Target)
}

// firstFit places the oldest item for which choose finds a target.
func firstFit(q *Queue, choose func(e *entry) *target.Target) (*entry, *target.Target) {
	for e := q.oldest; e != nil; e = e.newer {
		if t := choose(e); t != nil {
			return e, t
		}
	}
	return nil, nil
}

// roundRobin places items in order of arrival on targets in turn, leaving out full ones.
type roundRobin struct{ last int }

func (*roundRobin) Name() string { return PolicyRoundRobin }
func (*roundRobin) begin(*Queue) {}

func (r *roundRobin) pick(now time.Time, q *Queue) (*entry, *target.Target) {
	all := q.targets.All()
	return firstFit(q, func(e *entry) *target.Target {
		for i := range all {
			n := (r.last + 1 + i) % len(all)
			if q.fits(now, e, all[n]) {
				r.last = n
				return all[n]
			}
		}
		return nil
	})
}

// leastInFlight places items in order of arrival on the target with the fewest calls.
type leastInFlight struct{}

func (leastInFlight) Name() string { return PolicyLeastInFlight }
func (leastInFlight) begin(*Queue) {}

func (leastInFlight) pick(now time.Time, q *Queue) (*entry, *target.Target) {
	return firstFit(q, func(e *entry) (best *target.Target) {
		for _, t := range q.targets.All() {
			if q.fits(now, e, t) && (best == nil || t.InFlight() < best.InFlight()) {
				best = t
			}
		}
		return best
	})
}

// sticky keeps each program on one target by rendezvous hashing, and waits while that target is full.
type sticky struct{}

func (sticky) Name() string { return PolicySticky }
func (sticky) begin(*Queue) {}

func (sticky) pick(now time.Time, q *Queue) (*entry, *target.Target) {
	return firstFit(q, func(e *entry) *target.Target {
		home := stickyHome(now, q, e)
		if home == nil || !q.roomFor(now, e, home) {
			return nil
		}
		return home
	})
}

func stickyHome(now time.Time, q *Queue, e *entry) (home *target.Target) {
	key := string(e.Workspace) + "\x00" + string(e.Root)
	var best uint64
	for _, t := range q.targets.All() {
		if !t.Usable(now) || !q.mayRun(now, e, t) {
			continue
		}
		if score := ids.Rendezvous(string(t.ID()), key); home == nil || score > best {
			home, best = t, score
		}
	}
	return home
}
