package dispatch_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/pkg/dispatch"
)

// Guards against less urgent calls that take the last slots of a target, so that more urgent ones wait in its queue, which
// knows no priorities. The load is a burst of both kinds at the same time, beyond the slots.
func TestLessUrgentCallsLeaveSlotsFree(t *testing.T) {
	c := qt.New(t)
	for margin, wantLater := range map[int]int{0: 6, 1: 5, 2: 4} {
		o := options("fair", 6)
		o.RankMargin, o.FirstCallMargin = margin, 2
		q := newQueue(c, o, live("a")...)
		for i := range dispatch.Ticket(10) {
			it := item(i, "ws", 10)
			it.Rank = 1
			q.Enqueue(epoch, it)
		}
		c.Assert(q.Next(epoch), qt.HasLen, wantLater, qt.Commentf("margin %d", margin))
		for i := range dispatch.Ticket(10) {
			q.Enqueue(epoch, item(100+i, "ws", 10))
		}
		urgent := q.Next(epoch)
		c.Assert(urgent, qt.HasLen, 6-wantLater, qt.Commentf("margin %d", margin))
		for _, p := range urgent {
			c.Assert(p.Ticket >= 100, qt.IsTrue)
		}
	}
}

// Guards against a less urgent call that never runs because its target has fewer slots than it must leave free.
func TestMarginLeavesIdleTargetsUsable(t *testing.T) {
	c := qt.New(t)
	o := options("fair", 2)
	o.RankMargin, o.FirstCallMargin = 2, 2
	q := newQueue(c, o, live("a")...)
	it := item(1, "ws", 10)
	it.Rank, it.FirstCall = 3, true
	q.Enqueue(epoch, it)
	c.Assert(q.Next(epoch), qt.HasLen, 1)
}
