package dispatch_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

func suspected(n dispatch.Ticket, f ids.Fingerprint, excluded ...ids.TargetID) dispatch.Item {
	it := item(n, "ws", 10)
	it.Fingerprint, it.Excluded = f, excluded
	return it
}

// Guards against a call that only ran beside a crashing one and is taken to the next target together with it: it would
// be quarantined for two deaths that are not its own.
func TestSuspectsAreKeptApart(t *testing.T) {
	for _, policy := range []string{"fair", "roundRobin", "leastInFlight", "sticky"} {
		t.Run(policy, func(t *testing.T) {
			c := qt.New(t)
			q := newQueue(c, options(policy, 4), live("a", "b")...)
			q.Enqueue(epoch, suspected(1, "crashes", "b"))
			q.Enqueue(epoch, suspected(2, "beside", "b"))
			c.Assert(q.Next(epoch), qt.HasLen, 2)
			// The end of the second call is reported late.
			q.Done(at(second), 1, dispatch.Died, record.Usage{})
			q.Enqueue(at(second), suspected(3, "crashes", "a"))
			q.Enqueue(at(second), suspected(4, "beside", "a"))
			q.Enqueue(at(second), suspected(5, "other", "a"))
			c.Assert(targetsOf(q.Next(at(second))), qt.DeepEquals, map[dispatch.Ticket]ids.TargetID{3: "b", 5: "b"})
			q.Done(at(second), 2, dispatch.Died, record.Usage{})
			c.Assert(q.Next(at(2*second)), qt.HasLen, 0)
			q.Done(at(2*second), 3, dispatch.Completed, record.Usage{})
			c.Assert(targetsOf(q.Next(at(2*second))), qt.DeepEquals, map[dispatch.Ticket]ids.TargetID{4: "b"})
		})
	}
}

// Guards against a repeated call that reaches a queue which has not heard of the death: the endings are sent on another way.
func TestSuspicionComesWithTheItem(t *testing.T) {
	c := qt.New(t)
	q := newQueue(c, options("fair", 4), live("a")...)
	crashes, beside := suspected(1, "crashes"), suspected(2, "beside")
	crashes.Suspected, beside.Suspected = true, true
	q.Enqueue(epoch, crashes)
	q.Enqueue(epoch, beside)
	c.Assert(q.Next(epoch), qt.HasLen, 1)
	q.Done(epoch, 1, dispatch.Completed, record.Usage{})
	c.Assert(q.Next(epoch), qt.HasLen, 1)
}

// Guards against calls that wait without end because a pool has fewer targets than suspects.
func TestSuspectsWaitShortly(t *testing.T) {
	c := qt.New(t)
	q := newQueue(c, options("fair", 4), live("a", "b")...)
	for n := range dispatch.Ticket(3) {
		q.Enqueue(epoch, suspected(n, ids.Fingerprint(rune('x'+n)), "b"))
	}
	c.Assert(q.Next(epoch), qt.HasLen, 3)
	q.Done(epoch, 0, dispatch.Died, record.Usage{})
	for n := range dispatch.Ticket(3) {
		q.Enqueue(epoch, suspected(n+10, ids.Fingerprint(rune('x'+n)), "a"))
	}
	c.Assert(q.Next(epoch), qt.HasLen, 1)
	c.Assert(q.Next(at(3*second)), qt.HasLen, 2)
}

// Guards against calls that are slowed down because a target could not be reached, which no call has caused.
func TestUnreachableTargetSuspectsNobody(t *testing.T) {
	c := qt.New(t)
	q := newQueue(c, options("fair", 4), live("a", "b")...)
	q.Enqueue(epoch, suspected(1, "x", "b"))
	q.Enqueue(epoch, suspected(2, "y", "b"))
	c.Assert(q.Next(epoch), qt.HasLen, 2)
	q.Done(epoch, 1, dispatch.Unreachable, record.Usage{})
	q.Enqueue(epoch, suspected(3, "x", "a"))
	q.Enqueue(epoch, suspected(4, "y", "a"))
	c.Assert(q.Next(epoch), qt.HasLen, 2)
}

func targetsOf(placed []dispatch.Placement) map[dispatch.Ticket]ids.TargetID {
	l := map[dispatch.Ticket]ids.TargetID{}
	for _, p := range placed {
		l[p.Ticket] = p.Target
	}
	return l
}
