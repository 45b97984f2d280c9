package dispatch

import (
	"time"
)

// shed refuses items until the waits fit the deadlines again. An item of a workspace within its share is refused only
// when no workspace beyond its share has waiting items.
func (q *Queue) shed(now time.Time, e *entry) (refused []Refusal) {
	for {
		reason, late := q.overloaded(now, e)
		if reason == "" {
			return refused
		}
		victim, r := e, reason
		if w := q.mostBeyond(); w != nil && w != e.ws {
			victim, r = w.newest(), ReasonShed
		}
		q.remove(victim)
		refused = append(refused, Refusal{Ticket: victim.item.Ticket, Reason: r, RetryAt: now.Add(late)})
		if victim == e {
			return refused
		}
	}
}

// overloaded returns why the newest item cannot stay, and by how much its wait exceeds its deadline.
func (q *Queue) overloaded(now time.Time, e *entry) (r Reason, late time.Duration) {
	wait := q.estimatedWait(now, e)
	late = wait - e.item.Deadline.Sub(now)
	if late > 0 {
		return ReasonDeadline, late
	}
	if q.queued > q.opt.MaxQueued {
		return ReasonFull, wait
	}
	return "", 0
}

// estimatedWait returns how long an item that just arrived will wait. It is 0 before the first completion, because a
// guess must not refuse anything.
func (q *Queue) estimatedWait(now time.Time, e *entry) time.Duration {
	room, slots := 0, 0
	for _, t := range q.order {
		allowed := t.allowed(now, q)
		slots += allowed
		room += max(allowed-t.inFlight(), 0)
	}
	ahead := q.queued - 1
	if slots == 0 || q.service == 0 || ahead < room {
		return 0
	}
	perItem := q.service / float64(slots)
	all := float64(ahead-room+1) * perItem
	own := float64(e.ws.queued) * perItem / q.share(e.ws)
	return time.Duration(min(all, own) * float64(time.Second))
}

// share returns a workspace's part of the service among those with waiting items.
func (q *Queue) share(w *workspace) float64 {
	sum := 0.0
	for _, o := range q.workspaces {
		if o.queued > 0 {
			sum += o.weight
		}
	}
	return w.weight / sum
}

// mostBeyond returns the workspace with waiting items whose load exceeds its share by the largest factor, or nil.
func (q *Queue) mostBeyond() (most *workspace) {
	load, weight, worst := 0.0, 0.0, 0.0
	for _, w := range q.workspaces {
		if w.queued > 0 || w.running > 0 {
			load += w.load
			weight += w.weight
		}
	}
	fairLoad := load / weight
	for _, w := range q.workspaces {
		factor := w.load / w.weight
		if w.queued == 0 || factor <= fairLoad || factor < worst {
			continue
		}
		if factor > worst || w.id < most.id {
			most, worst = w, factor
		}
	}
	return most
}

// newest returns the workspace's item that arrived last.
func (w *workspace) newest() (e *entry) {
	for _, p := range w.waiting {
		if e == nil || p.last.arrived.After(e.arrived) || (p.last.arrived.Equal(e.arrived) && p.last.item.Ticket > e.item.Ticket) {
			e = p.last
		}
	}
	return e
}
