package dispatch

import (
	"time"
)

// shed refuses what has no room since the newest item came. An item that comes too late is refused, but one of a
// workspace within its share stays while items of a workspace beyond its share are waiting: of those, the newest ones
// are refused in its place, up to the service that the item takes.
func (q *Queue) shed(now time.Time, e *entry) (refused []Refusal) {
	left := e.item.Deadline.Sub(now)
	freed := 0.0
	for {
		wait, alone := q.estimatedWait(now, e)
		full := q.queued > q.opt.MaxQueued
		if !full && (wait <= left || freed >= e.Expected) {
			return refused
		}
		retry := now.Add(max(wait-left, q.perItem(now)))
		victim := q.entries[Ticket(q.shares.Victim(&e.Entry).Ticket)]
		if victim == e || alone > left {
			q.remove(e)
			return append(refused, Refusal{Ticket: e.item.Ticket, Reason: lateOr(wait > left), RetryAt: retry})
		}
		q.remove(victim)
		freed += victim.Expected
		refused = append(refused, Refusal{Ticket: victim.item.Ticket, Reason: ReasonShed, RetryAt: retry})
	}
}

func lateOr(late bool) Reason {
	if late {
		return ReasonDeadline
	}
	return ReasonFull
}

// estimatedWait returns how long an item that just arrived will wait, and how long if no other workspace had waiting
// items. Both are 0 before the first completion, because a guess must not refuse anything.
func (q *Queue) estimatedWait(now time.Time, e *entry) (wait, alone time.Duration) {
	room := 0
	for _, t := range q.targets.All() {
		room += max(t.Allowed(now)-t.InFlight(), 0)
	}
	own, all := q.shares.Ahead(&e.Entry)
	if q.policy.Name() != PolicyFair {
		all = q.shares.Backlog() - e.Expected
	}
	mean := max(q.shares.Backlog()/float64(q.queued), 1)
	perItem := float64(q.perItem(now))
	after := func(tokens float64) time.Duration {
		return time.Duration(max(tokens/mean-float64(room)+1, 0) * perItem)
	}
	return after(all), after(own)
}

// perItem returns the mean time between ends of calls when all targets are full; 0 if it is unknown.
func (q *Queue) perItem(now time.Time) time.Duration {
	slots := 0
	for _, t := range q.targets.All() {
		slots += t.Allowed(now)
	}
	if slots == 0 {
		return 0
	}
	return time.Duration(q.service / float64(slots) * float64(time.Second))
}
