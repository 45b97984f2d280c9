package dispatch

import (
	"time"
)

const (
	// maxDeferrals bounds the items that one round leaves waiting for a full target, and so the round's time.
	maxDeferrals = 32
	// otherZoneCost is two hops between zones, in seconds; it decides between targets that are otherwise equal.
	otherZoneCost = 0.003
	// contention is how much longer a call takes at a full target than at an empty one, as a share.
	contention = 0.5
)

// fair shares service between workspaces by tokens and weight, gives each workspace's service to the programs that had
// the least, and places by the estimated time to the first token.
type fair struct {
	round     uint64
	deferrals int
}

func (*fair) Name() string { return PolicyFair }

func (f *fair) begin(_ time.Time, q *Queue) {
	q.round++
	f.round, f.deferrals = q.round, 0
	for _, t := range q.order {
		t.deferred = 0
	}
}

func (f *fair) pick(now time.Time, q *Queue) (*entry, *target) {
	for f.deferrals < maxDeferrals && q.hasRoom(now) {
		e := f.first(now, q)
		if e == nil {
			return nil, nil
		}
		if t := q.placement(now, e); t != nil {
			return e, t
		}
		e.skipped = f.round
		f.deferrals++
	}
	return nil, nil
}

// first returns the item to be served next among those not left waiting in this round.
func (f *fair) first(now time.Time, q *Queue) (best *entry) {
	for _, w := range q.workspaces {
		if w.queued == 0 || (best != nil && !w.before(best.ws)) {
			continue
		}
		if e := f.firstOf(now, q, w); e != nil {
			best = e
		}
	}
	return best
}

func (w *workspace) before(o *workspace) bool {
	if w.served != o.served {
		return w.served < o.served
	}
	return w.id < o.id
}

// firstOf returns the workspace's item whose program attained the least service, less what its waiting offsets.
func (f *fair) firstOf(now time.Time, q *Queue, w *workspace) (best *entry) {
	var least float64
	for _, p := range w.waiting {
		e := p.oldest
		for e != nil && e.skipped == f.round {
			e = e.after
		}
		if e == nil {
			continue
		}
		score := min(p.attained, float64(q.opt.AttainedMax)) - q.opt.AgingRate*now.Sub(e.arrived).Seconds()
		if best == nil || score < least || (score == least && e.item.Ticket < best.item.Ticket) {
			best, least = e, score
		}
	}
	return best
}

// placement returns the target for an item, or nil if it is better to wait for a full one. An item waits for its
// preferred target no longer than the cheapest other would have cost, so waiting at most doubles the cost.
func (q *Queue) placement(now time.Time, e *entry) *target {
	var free, full *target
	var freeCost, fullCost float64
	for _, t := range q.order {
		allowed := t.allowed(now, q)
		if allowed == 0 || !t.mayRun(e) {
			continue
		}
		cost := q.cost(now, e, t)
		if t.inFlight() < allowed {
			if free == nil || cost < freeCost {
				free, freeCost = t, cost
			}
			continue
		}
		cost += t.wait(q, allowed)
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
	if now.Sub(e.deferredSince).Seconds() >= freeCost {
		return free
	}
	full.deferred++
	return nil
}

// cost estimates the seconds that an item takes at a target with room, up to its first token and with the slowdown by
// the calls beside it.
func (q *Queue) cost(now time.Time, e *entry, t *target) float64 {
	uncached := float64(e.item.Prompt - q.hints.cached(now, q.opt.HintHalfLife, e.item, t))
	prefill := max(uncached, 0) / q.opt.PrefillRate
	output := float64(e.item.Output)
	if output <= 0 {
		output = max(q.output, 1)
	}
	beside := min(float64(t.inFlight())/float64(q.opt.MaxInFlight), 1)
	decode := output / q.opt.DecodeRate
	cost := t.slow * (prefill + decode*(1+contention*beside))
	if t.zone != e.item.Zone {
		cost += otherZoneCost
	}
	return cost
}

// wait estimates the seconds until a full target has room for one more item.
func (t *target) wait(q *Queue, allowed int) float64 {
	service := t.service
	if service == 0 {
		service = max(q.service, 1/q.opt.DecodeRate)
	}
	excess := t.inFlight() - allowed
	return service * float64(excess+t.deferred+1) / float64(allowed)
}
