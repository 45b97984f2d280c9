package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
	"github.com/comfreylink/comfreylink/pkg/target"
)

// fill enqueues n small items of one workspace with consecutive tickets.
func fill(q *dispatch.Queue, from dispatch.Ticket, n int) {
	for i := range dispatch.Ticket(n) {
		q.Enqueue(epoch, item(from+i, "ws", 10))
	}
}

// Guards against exceeding maxInFlight together with the calls of another dispatcher, and against comparing a load report
// with the current count of own calls instead of the count at the time of the report.
func TestReportsCorrectTheCount(t *testing.T) {
	c := qt.New(t)
	q := newQueue(c, options("fair", 4), live("a")...)
	fill(q, 1, 10)
	c.Assert(q.Next(at(second)), qt.HasLen, 4)
	q.Done(at(3*second), 1, dispatch.Completed, record.Usage{})
	q.Done(at(3*second), 2, dispatch.Completed, record.Usage{})
	// At 2 s all four calls were this queue's.
	q.UpdateTargets(at(3*second), []dispatch.Target{{ID: "a", State: dispatch.Live, Running: 3, Waiting: 1, ReportedAt: at(2 * second)}})
	c.Assert(q.Next(at(3*second)), qt.HasLen, 2)
	// At 4 s four calls were this queue's and three were another dispatcher's.
	q.UpdateTargets(at(5*second), []dispatch.Target{{ID: "a", State: dispatch.Live, Running: 7, ReportedAt: at(4 * second)}})
	for n := range dispatch.Ticket(3) {
		q.Done(at(6*second), 3+n, dispatch.Completed, record.Usage{})
		c.Assert(q.Next(at(6*second)), qt.HasLen, 0)
	}
	q.Done(at(6*second), 6, dispatch.Completed, record.Usage{})
	c.Assert(q.Next(at(6*second)), qt.HasLen, 1)
}

// Guards against new calls at a target that is leaving, according to the list or to its own answer, or that is no longer in
// the list (R10).
func TestLeavingTargetsGetNothing(t *testing.T) {
	c := qt.New(t)
	q := newQueue(c, options("fair", 4), live("a")...)
	fill(q, 1, 10)
	c.Assert(q.Next(epoch), qt.HasLen, 4)
	q.Done(epoch, 1, dispatch.AnsweredLeaving, record.Usage{})
	c.Assert(q.Next(at(second)), qt.HasLen, 0)
	q.UpdateTargets(at(second), []dispatch.Target{{ID: "a", State: dispatch.Leaving}})
	c.Assert(q.Next(at(time.Hour/2)), qt.HasLen, 0)
	q.UpdateTargets(at(2*second), nil)
	c.Assert(q.Next(at(time.Hour/2)), qt.HasLen, 0)
	q.Done(at(3*second), 2, dispatch.Completed, record.Usage{Prompt: 1})
	c.Assert(q.Snapshot(at(3*second)).Targets, qt.HasLen, 1)
	q.Done(at(3*second), 3, dispatch.Died, record.Usage{})
	q.Done(at(3*second), 4, dispatch.Completed, record.Usage{})
	c.Assert(q.Snapshot(at(3*second)).Targets, qt.HasLen, 0)
}

// Guards against a target that died getting calls immediately, calls that are not idempotent, or its full number of calls
// as soon as it works again.
func TestDeadTargetIsProbedThenRampedUp(t *testing.T) {
	c := qt.New(t)
	q := newQueue(c, options("fair", 10), live("a")...)
	it := item(1, "ws", 10)
	q.Enqueue(epoch, it)
	q.Next(epoch)
	q.Done(epoch, 1, dispatch.Died, record.Usage{})
	notIdempotent := item(2, "ws", 10)
	notIdempotent.Idempotent = false
	q.Enqueue(epoch, notIdempotent)
	c.Assert(q.Next(at(6*second)), qt.HasLen, 0)
	fill(q, 3, 30)
	c.Assert(q.Next(at(4*second)), qt.HasLen, 0)
	probe := q.Next(at(5 * second))
	c.Assert(probe, qt.HasLen, 1)
	c.Assert(probe[0].Ticket, qt.Not(qt.Equals), dispatch.Ticket(2))
	q.Done(at(6*second), probe[0].Ticket, dispatch.Completed, record.Usage{Prompt: 10, Completion: 10})
	c.Assert(q.Next(at(6*second)), qt.HasLen, 1)
	c.Assert(q.Next(at(11*second)), qt.HasLen, 4)
	c.Assert(q.Next(at(16*second)), qt.HasLen, 5)
}

// Guards against a target that stays on probation because only calls that are not idempotent are waiting.
func TestReportEndsProbation(t *testing.T) {
	c := qt.New(t)
	q := newQueue(c, options("fair", 10), live("a")...)
	fill(q, 1, 1)
	q.Next(epoch)
	q.Done(epoch, 1, dispatch.Died, record.Usage{})
	notIdempotent := item(2, "ws", 10)
	notIdempotent.Idempotent = false
	q.Enqueue(epoch, notIdempotent)
	q.UpdateTargets(at(5*second), []dispatch.Target{{ID: "a", State: dispatch.Live, ReportedAt: at(5 * second)}})
	c.Assert(q.Next(at(5*second)), qt.HasLen, 1)
}

// Guards against a target that is never used again after its death, because its pool reports no load and gets no
// idempotent calls.
func TestSecondProbationAllowsAnyCall(t *testing.T) {
	c := qt.New(t)
	q := newQueue(c, options("fair", 10), live("a")...)
	fill(q, 1, 1)
	q.Next(epoch)
	q.Done(epoch, 1, dispatch.Died, record.Usage{})
	for n := range dispatch.Ticket(3) {
		notIdempotent := item(2+n, "ws", 10)
		notIdempotent.Idempotent = false
		q.Enqueue(epoch, notIdempotent)
	}
	c.Assert(q.Next(at(9*second)), qt.HasLen, 0)
	c.Assert(q.Next(at(10*second)), qt.HasLen, 1)
	q.Done(at(10*second), 2, dispatch.Completed, record.Usage{})
	c.Assert(q.Next(at(21*second)), qt.HasLen, 2)
}

// Guards against a call being sent again to a target on which it failed.
func TestExcludedTargets(t *testing.T) {
	for _, policy := range []string{"fair", "roundRobin", "leastInFlight", "sticky"} {
		c := qt.New(t)
		q := newQueue(c, options(policy, 4), live("a", "b")...)
		for n := range dispatch.Ticket(4) {
			it := item(n, "ws", 10)
			it.Excluded = []ids.TargetID{"a"}
			q.Enqueue(epoch, it)
		}
		for _, p := range q.Next(epoch) {
			c.Check(p.Target, qt.Equals, ids.TargetID("b"))
		}
	}
}

// Guards against a comparison of a few targets that leaves out the one with the cached prompt, or that finds no free target
// among many full ones.
func TestFewComparedTargets(t *testing.T) {
	c := qt.New(t)
	o := options("fair", 2)
	o.CompareConnected, o.CompareOthers = 1, 1
	names := []ids.TargetID{}
	for n := range 40 {
		names = append(names, ids.TargetID(fmt.Sprint("t", n)))
	}
	q := newQueue(c, o, live(names...)...)
	part := target.Part{Key: "history", Tokens: 9000}
	first := ids.TargetID("")
	for n := range dispatch.Ticket(20) {
		it := item(n, "ws", 10_000)
		it.Parts = []target.Part{part}
		q.Enqueue(epoch, it)
		p := q.Next(epoch)
		c.Assert(p, qt.HasLen, 1)
		if n == 0 {
			first = p[0].Target
		}
		c.Assert(p[0].Target, qt.Equals, first)
		q.Done(at(second), n, dispatch.Completed, record.Usage{Prompt: 10_000, Completion: 100})
	}
	fill(q, 100, 200)
	c.Assert(q.Next(at(time.Minute)), qt.HasLen, 80)
}
