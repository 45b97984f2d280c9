package dispatch

import (
	"time"
)

// shed refuses items if the queue is too long or the newest item e would miss its deadline. While a workspace other than
// that of e exceeds its share, the newest items of such workspaces are refused in place of e, until e fits or they free
// as much service as e takes. The item e itself is refused if no such items are waiting, if its own workspace exceeds its
// share, or if it would miss its deadline even without the items of other workspaces.
func (q *Queue) shed(now time.Time, e *entry) (refused []Refusal) {
	timeLeft := e.item.Deadline.Sub(now)
	freed := 0.0
	for {
		wait, alone := q.estimatedWait(now, e)
		full := q.queued > q.opt.MaxQueued
		if !full && (wait <= timeLeft || freed >= e.Expected) {
			return refused
		}
		retryAt := now.Add(max(wait-timeLeft, q.interval(now)))
		victim := q.entries[Ticket(q.shares.Victim(&e.Entry).Ticket)]
		if victim == e || alone > timeLeft {
			q.remove(e)
			return append(refused, Refusal{Ticket: e.item.Ticket, Reason: refusalReason(wait > timeLeft), RetryAt: retryAt})
		}
		q.remove(victim)
		freed += victim.Expected
		refused = append(refused, Refusal{Ticket: victim.item.Ticket, Reason: ReasonShed, RetryAt: retryAt})
	}
}

func refusalReason(late bool) Reason {
	if late {
		return ReasonDeadline
	}
	return ReasonFull
}

// estimatedWait estimates how long an item that just arrived will wait, and how long it would wait alone, if no other
// workspace had waiting items. Both are 0 before the first completion, so that nothing is refused without a measured
// duration.
func (q *Queue) estimatedWait(now time.Time, e *entry) (wait, alone time.Duration) {
	freeSlots := 0
	for _, t := range q.targets.All() {
		freeSlots += max(t.Allowed(now)-t.InFlight(), 0)
	}
	own, all := q.shares.Ahead(&e.Entry)
	if q.policy.Name() != PolicyFair {
		all = q.shares.Backlog() - e.Expected
	}
	mean := max(q.shares.Backlog()/float64(q.queued), 1)
	interval := float64(q.interval(now))
	waitBehind := func(tokens float64) time.Duration {
		return time.Duration(max(tokens/mean-float64(freeSlots)+1, 0) * interval)
	}
	return waitBehind(all), waitBehind(own)
}

// interval returns the mean time between two ends of calls when all targets are full; 0 if it is unknown.
func (q *Queue) interval(now time.Time) time.Duration {
	slots := 0
	for _, t := range q.targets.All() {
		slots += t.Allowed(now)
	}
	if slots == 0 {
		return 0
	}
	return time.Duration(q.meanSeconds / float64(slots) * float64(time.Second))
}
