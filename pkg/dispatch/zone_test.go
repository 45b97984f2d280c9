package dispatch_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// zoneQueue returns a queue in zone "home" whose targets there are full, with free ones in zone "away".
func zoneQueue(c *qt.C, price float64, o dispatch.Options) *dispatch.Queue {
	o.Zone, o.ZonePrice = "home", price
	targets := live("a", "b", "c", "d")
	for n := range targets {
		targets[n].Zone = "home"
		if n >= 2 {
			targets[n].Zone = "away"
		}
	}
	q := newQueue(c, o, targets...)
	// Completions teach the queue the duration of a call.
	it := zoneItem(1000)
	q.Enqueue(at(-time.Minute), it)
	q.Next(at(-time.Minute))
	complete(q, at(-time.Minute+2*second), it)
	for _, id := range []ids.TargetID{"a", "b"} {
		q.Load(epoch, id, 4, 4)
	}
	return q
}

func zoneItem(n dispatch.Ticket) dispatch.Item {
	it := item(n, "ws", 100)
	it.Zone, it.Bytes = "home", 10<<10
	return it
}

// sent enqueues items for some time and returns how many were sent away.
func sent(q *dispatch.Queue, from time.Duration) (away int) {
	for n := range dispatch.Ticket(40) {
		now := at(from + time.Duration(n)*50*time.Millisecond)
		q.UpdateZone(now)
		it := zoneItem(dispatch.Ticket(from/time.Millisecond)*100 + n)
		q.Enqueue(now, it)
		for _, p := range q.Next(now) {
			if p.Target == "c" || p.Target == "d" {
				away++
			}
			q.Done(now, p.Ticket, dispatch.Completed, record.Usage{Prompt: 100, Completion: 100})
		}
	}
	return away
}

// Guards against a price that is not applied to the placement: requests that leave a full zone at once or never, or one whose
// zone has no target and that is not served.
func TestPriceOfLeavingTheZone(t *testing.T) {
	c := qt.New(t)
	o := options("fair", 4)
	c.Check(sent(zoneQueue(c, 0, o), 0), qt.Equals, 40)
	c.Check(sent(zoneQueue(c, 0.001, o), 0), qt.Equals, 40) // the first items waited until the share had grown
	q := zoneQueue(c, 0.001, o)
	q.UpdateZone(epoch)
	for n := range dispatch.Ticket(8) {
		q.Enqueue(epoch, zoneItem(n))
	}
	c.Check(len(q.Next(epoch)) <= 4, qt.IsTrue)
	c.Check(sent(zoneQueue(c, 10, o), 0), qt.Equals, 0) // 100 s for each item
	q = zoneQueue(c, math.Inf(1), o)
	c.Check(sent(q, 0), qt.Equals, 0)
	targets := live("c", "d")
	targets[0].Zone, targets[1].Zone = "away", "away"
	q.UpdateTargets(at(10*second), targets)
	c.Check(sent(q, 10*second) >= 40, qt.IsTrue)
}

// Guards against requests that do not return home, and against a price that sends requests away although there is room.
func TestReturnHome(t *testing.T) {
	c := qt.New(t)
	o := options("fair", 4)
	q := zoneQueue(c, 0.001, o)
	c.Assert(sent(q, 0) > 0, qt.IsTrue)
	for _, id := range []ids.TargetID{"a", "b"} {
		q.Load(at(3*second), id, 0, 0)
	}
	sent(q, 3*second)
	c.Check(sent(q, 6*second), qt.Equals, 0)
	c.Check(q.Len(), qt.Equals, 0)
}

// Guards against items that are refused for lack of room in their zone although another zone has free targets, before the share
// that may leave has grown, and against such items leaving when the way costs more than the time that they have.
func TestWaitingItemLeavesTheZone(t *testing.T) {
	c := qt.New(t)
	for price, want := range map[float64]int{0.005: 1, 1: 0, math.Inf(1): 0} {
		q := zoneQueue(c, price, options("fair", 4))
		it := zoneItem(1)
		it.Deadline = at(120 * time.Millisecond)
		q.Enqueue(epoch, it)
		c.Assert(q.Next(epoch), qt.HasLen, 0, qt.Commentf("price %v", price))
		c.Assert(q.Next(at(60*time.Millisecond)), qt.HasLen, want, qt.Commentf("price %v", price))
	}
}
