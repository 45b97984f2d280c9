package dispatch

import (
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/target"
)

// Policy picks the next item to place and its target. Only this package implements it, because policies read the queue's
// internal state.
type Policy interface {
	// Name returns the policy's name in settings.
	Name() string
	// begin starts a round of picks, which all happen at the same time.
	begin(q *Queue)
	// pick returns the next item and a target that it fits, or nil if nothing is to be placed now.
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

// roundRobin places items in order of arrival on the targets in turn, skipping those that an item does not fit.
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

// leastInFlight places items in order of arrival on the target with the fewest calls in flight.
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

// sticky pins each root program to a preferred target by rendezvous hashing. Its items wait while that target is full.
type sticky struct{}

func (sticky) Name() string { return PolicySticky }
func (sticky) begin(*Queue) {}

func (sticky) pick(now time.Time, q *Queue) (*entry, *target.Target) {
	return firstFit(q, func(e *entry) *target.Target {
		preferred := preferredTarget(now, q, e)
		if preferred == nil || !q.hasCapacityFor(now, e, preferred) {
			return nil
		}
		return preferred
	})
}

// preferredTarget returns the target, among those where an item may run, to which its root program is pinned; nil if
// there is none.
func preferredTarget(now time.Time, q *Queue, e *entry) (preferred *target.Target) {
	key := string(e.Workspace) + "\x00" + string(e.Root)
	var best uint64
	for _, t := range q.targets.All() {
		if !t.Usable(now) || !q.mayRun(now, e, t) {
			continue
		}
		if score := ids.Rendezvous(string(t.ID()), key); preferred == nil || score > best {
			preferred, best = t, score
		}
	}
	return preferred
}
