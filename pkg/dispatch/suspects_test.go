package dispatch_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// fingerprinted returns an item with a fingerprint and excluded targets.
func fingerprinted(n dispatch.Ticket, f ids.Fingerprint, excluded ...ids.TargetID) dispatch.Item {
	it := item(n, "ws", 10)
	it.Fingerprint, it.Excluded = f, excluded
	return it
}

// Guards against an innocent call that ran next to a crashing one and is sent to the next target together with it. The
// call would be quarantined after two deaths that it did not cause.
func TestSuspectsAreKeptApart(t *testing.T) {
	for _, policy := range []string{"fair", "roundRobin", "leastInFlight", "sticky"} {
		t.Run(policy, func(t *testing.T) {
			c := qt.New(t)
			q := newQueue(c, options(policy, 4), live("a", "b")...)
			q.Enqueue(epoch, fingerprinted(1, "crashing", "b"))
			q.Enqueue(epoch, fingerprinted(2, "innocent", "b"))
			c.Assert(q.Next(epoch), qt.HasLen, 2)
			// The end of the second call is reported late.
			q.Done(at(second), 1, dispatch.Died, record.Usage{})
			q.Enqueue(at(second), fingerprinted(3, "crashing", "a"))
			q.Enqueue(at(second), fingerprinted(4, "innocent", "a"))
			q.Enqueue(at(second), fingerprinted(5, "other", "a"))
			c.Assert(targetsOf(q.Next(at(second))), qt.DeepEquals, map[dispatch.Ticket]ids.TargetID{3: "b", 5: "b"})
			q.Done(at(second), 2, dispatch.Died, record.Usage{})
			c.Assert(q.Next(at(2*second)), qt.HasLen, 0)
			q.Done(at(2*second), 3, dispatch.Completed, record.Usage{})
			c.Assert(targetsOf(q.Next(at(2*second))), qt.DeepEquals, map[dispatch.Ticket]ids.TargetID{4: "b"})
		})
	}
}

// Guards against a repeated call that is not isolated because its queue does not know of the death yet. The ends of calls
// are reported separately from the repeated calls.
func TestItemCarriesSuspicion(t *testing.T) {
	c := qt.New(t)
	q := newQueue(c, options("fair", 4), live("a")...)
	crashing, innocent := fingerprinted(1, "crashing"), fingerprinted(2, "innocent")
	crashing.Suspected, innocent.Suspected = true, true
	q.Enqueue(epoch, crashing)
	q.Enqueue(epoch, innocent)
	c.Assert(q.Next(epoch), qt.HasLen, 1)
	q.Done(epoch, 1, dispatch.Completed, record.Usage{})
	c.Assert(q.Next(epoch), qt.HasLen, 1)
}

// Guards against calls that wait forever because a pool has fewer targets than suspects.
func TestIsolationWaitIsBounded(t *testing.T) {
	c := qt.New(t)
	q := newQueue(c, options("fair", 4), live("a", "b")...)
	for n := range dispatch.Ticket(3) {
		q.Enqueue(epoch, fingerprinted(n, ids.Fingerprint(rune('x'+n)), "b"))
	}
	c.Assert(q.Next(epoch), qt.HasLen, 3)
	q.Done(epoch, 0, dispatch.Died, record.Usage{})
	for n := range dispatch.Ticket(3) {
		q.Enqueue(epoch, fingerprinted(n+10, ids.Fingerprint(rune('x'+n)), "a"))
	}
	c.Assert(q.Next(epoch), qt.HasLen, 1)
	c.Assert(q.Next(at(3*second)), qt.HasLen, 2)
}

// Guards against calls that are suspected and delayed because a target could not be reached, which no call can cause.
func TestUnreachableTargetRaisesNoSuspicion(t *testing.T) {
	c := qt.New(t)
	q := newQueue(c, options("fair", 4), live("a", "b")...)
	q.Enqueue(epoch, fingerprinted(1, "x", "b"))
	q.Enqueue(epoch, fingerprinted(2, "y", "b"))
	c.Assert(q.Next(epoch), qt.HasLen, 2)
	q.Done(epoch, 1, dispatch.Unreachable, record.Usage{})
	q.Enqueue(epoch, fingerprinted(3, "x", "a"))
	q.Enqueue(epoch, fingerprinted(4, "y", "a"))
	c.Assert(q.Next(epoch), qt.HasLen, 2)
}

func targetsOf(placed []dispatch.Placement) map[dispatch.Ticket]ids.TargetID {
	l := map[dispatch.Ticket]ids.TargetID{}
	for _, p := range placed {
		l[p.Ticket] = p.Target
	}
	return l
}
