package dispatch_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/pkg/dispatch"
)

// overloaded returns a queue with one slot, calls of 1 s, and n items of the workspace "large" waiting.
func overloaded(c *qt.C, n int) *dispatch.Queue {
	q := newQueue(c, options("fair", 1), live("a")...)
	for t := range dispatch.Ticket(2) {
		q.Enqueue(epoch, item(1000+t, "large", 10))
		q.Next(epoch)
		complete(q, at(second), item(1000+t, "large", 10))
	}
	q.Enqueue(at(second), item(2000, "large", 10))
	c.Assert(q.Next(at(second)), qt.HasLen, 1)
	for t := range dispatch.Ticket(n) {
		c.Assert(q.Enqueue(at(second), item(t, "large", 10)), qt.HasLen, 0)
	}
	return q
}

// Guards against items that wait although they will miss their deadline, and against a refusal without a retry time.
func TestLateItemIsRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	q := overloaded(c, 10)
	it := item(3000, "large", 10)
	it.Deadline = at(6 * second)
	c.Assert(q.Enqueue(at(second), it), qt.DeepEquals,
		[]dispatch.Refusal{{Ticket: 3000, Reason: dispatch.ReasonDeadline, RetryAt: at(7 * second)}})
	c.Assert(q.Len(), qt.Equals, 10)
}

// Guards against refusing a workspace within its share because of another workspace's waiting items, and against shedding
// more items than its call needs.
func TestBeyondShareIsShedFirst(t *testing.T) {
	c := qt.New(t)
	q := overloaded(c, 10)
	small := item(3000, "small", 10)
	small.Deadline = at(3 * second)
	c.Assert(q.Enqueue(at(second), small), qt.HasLen, 0) // it is served first, so nothing has to be shed
	for n := range dispatch.Ticket(3) {
		c.Assert(q.Enqueue(at(second), item(3001+n, "small", 10)), qt.HasLen, 0)
	}
	small.Ticket, small.Deadline = 3010, at(7*second) // four items of each workspace are ahead of it
	refused := q.Enqueue(at(second), small)
	c.Assert(refused, qt.HasLen, 1)
	c.Assert(refused[0].Ticket, qt.Equals, dispatch.Ticket(9))
	c.Assert(refused[0].Reason, qt.Equals, dispatch.ReasonShed)
	complete(q, at(2*second), item(2000, "large", 10))
	c.Assert(tickets(q.Next(at(2*second))), qt.DeepEquals, []dispatch.Ticket{3000})
}

// Guards against shedding other items for a deadline that can't be met anyway.
func TestImpossibleDeadlineShedsNothing(t *testing.T) {
	c := qt.New(t)
	q := overloaded(c, 10)
	it := item(3000, "small", 10)
	it.Deadline = at(1100 * second / 1000)
	c.Assert(q.Enqueue(at(second), it), qt.DeepEquals,
		[]dispatch.Refusal{{Ticket: 3000, Reason: dispatch.ReasonDeadline, RetryAt: at(2 * second)}})
	c.Assert(q.Len(), qt.Equals, 10)
}

// Guards against refusing a small workspace because a large one has filled the queue.
func TestFullQueue(t *testing.T) {
	c := qt.New(t)
	o := options("fair", 1)
	o.MaxQueued = 5
	q := newQueue(c, o)
	fill(q, 1, 5)
	c.Assert(q.Enqueue(epoch, item(6, "ws", 10))[0].Reason, qt.Equals, dispatch.ReasonFull)
	refused := q.Enqueue(epoch, item(7, "small", 10))
	c.Assert(refused, qt.HasLen, 1)
	c.Assert(refused[0], qt.Equals, dispatch.Refusal{Ticket: 5, Reason: dispatch.ReasonShed, RetryAt: epoch})
	c.Assert(q.Enqueue(epoch, item(7, "small", 10))[0].Reason, qt.Equals, dispatch.ReasonDuplicate)
	c.Assert(q.Expire(at(3600*second)), qt.HasLen, 5)
}
