package dispatch

import (
	"time"

	"github.com/comfreylink/comfreylink/pkg/target"
)

const (
	// maxDeferrals bounds the items that one round leaves waiting for a full target, and so the round's time. Suspects and
	// calls that begin a program do not count: they wait for other reasons, and must not keep the calls behind them out.
	maxDeferrals = 32
	// otherZoneCost is two hops between zones, in seconds; it decides between targets that are otherwise equal.
	otherZoneCost = 0.003
)

// fair takes the items in the order of their shares and places by the estimated time that a call takes.
type fair struct {
	round     uint64
	deferrals int
	deferred  map[*target.Target]int // items left waiting for a target in this round
}

func (*fair) Name() string { return PolicyFair }

func (f *fair) begin(*Queue) {
	f.round++
	f.deferrals = 0
	clear(f.deferred)
}

func (f *fair) pick(now time.Time, q *Queue) (*entry, *target.Target) {
	for f.deferrals < maxDeferrals && q.hasRoom(now) {
		first := q.shares.First(now, f.round)
		if first == nil {
			return nil, nil
		}
		e := q.entries[Ticket(first.Ticket)]
		if t := f.placement(now, q, e); t != nil {
			return e, t
		}
		e.Skip = f.round
		if !q.suspects.has(now, e.item.Fingerprint) && !(e.item.FirstCall && q.opt.FirstCallMargin > 0) {
			f.deferrals++
		}
	}
	return nil, nil
}

// placement returns the target for an item, or nil if it is better to wait for a full one. An item waits for its
// preferred target no longer than it would have taken at the cheapest other one, so waiting at most doubles its time.
func (f *fair) placement(now time.Time, q *Queue, e *entry) *target.Target {
	var free, full *target.Target
	var freeCost, freeOwn, fullCost float64
	for _, t := range q.targets.All() {
		if !t.Usable(now) || !q.mayRun(now, e, t) {
			continue
		}
		own, cost := q.cost(now, e, t)
		if q.roomFor(now, e, t) {
			if free == nil || cost < freeCost {
				free, freeCost, freeOwn = t, cost, own
			}
			continue
		}
		cost += t.WaitSeconds(now, f.deferred[t], q.service)
		if full == nil || cost < fullCost {
			full, fullCost = t, cost
		}
	}
	if free == nil || full == nil || freeCost <= fullCost {
		return free
	}
	if e.deferredSince.IsZero() {
		e.deferredSince = now
	}
	if now.Sub(e.deferredSince).Seconds() >= freeOwn {
		return free
	}
	f.deferred[full]++
	return nil
}

// cost estimates the seconds that an item takes at a target with room, and those with what other calls lose by it.
func (q *Queue) cost(now time.Time, e *entry, t *target.Target) (own, all float64) {
	uncached := float64(e.item.Prompt - q.cached(now, e, t))
	own, others := t.Seconds(now, max(uncached, 0), q.outputOf(e.item))
	if t.Zone() != e.item.Zone {
		own += otherZoneCost
	}
	return own, own + others
}
