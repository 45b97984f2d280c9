package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/prefix"
	"github.com/comfreylink/comfreylink/pkg/record"
)

const second = time.Second

// tickets returns the tickets of placements, in order.
func tickets(l []dispatch.Placement) (t []dispatch.Ticket) {
	for _, p := range l {
		t = append(t, p.Ticket)
	}
	return t
}

// complete ends an item with the usage that was expected.
func complete(q *dispatch.Queue, now time.Time, it dispatch.Item) {
	q.Done(now, it.Ticket, dispatch.Completed, record.Usage{Prompt: it.Prompt, Completion: it.Output})
}

// Guards against a workspace getting more than the share of its weight by sending many or large calls.
func TestWorkspacesShareByWeight(t *testing.T) {
	c := qt.New(t)
	q := newQueue(c, options("fair", 1), live("a")...)
	items := map[dispatch.Ticket]dispatch.Item{}
	for n := range dispatch.Ticket(300) {
		it := item(n, ids.WorkspaceID(fmt.Sprint("ws", n%3)), 900)
		it.Weight = 1 + float64(n%3)
		if n%3 == 0 {
			it.Prompt = 3900
		}
		items[n] = it
		q.Enqueue(epoch, it)
	}
	served := map[ids.WorkspaceID]float64{}
	for i := range 90 {
		now := at(time.Duration(i) * second)
		for _, p := range q.Next(now) {
			it := items[p.Ticket]
			served[it.Workspace] += float64(it.Prompt+it.Output) / it.Weight
			complete(q, now.Add(second/2), it)
		}
	}
	for _, ws := range []ids.WorkspaceID{"ws0", "ws1", "ws2"} {
		c.Check(served[ws] > served["ws0"]-4000 && served[ws] < served["ws0"]+4000, qt.IsTrue, qt.Commentf("service by weight: %v", served))
	}
}

// Guards against an idle workspace that accumulates credit without bound and then starves the others.
func TestIdleCreditIsBounded(t *testing.T) {
	c := qt.New(t)
	o := options("fair", 1)
	o.Share.Credit = 2000
	q := newQueue(c, o, live("a")...)
	q.Enqueue(epoch, item(2000, "idle", 900))
	q.Next(epoch)
	complete(q, epoch, item(2000, "idle", 900))
	for n := range dispatch.Ticket(100) {
		q.Enqueue(epoch, item(n, "busy", 900))
	}
	for n := range dispatch.Ticket(50) {
		c.Assert(q.Next(epoch), qt.HasLen, 1)
		complete(q, epoch, item(n, "busy", 900))
	}
	for n := range dispatch.Ticket(50) {
		q.Enqueue(epoch, item(1000+n, "idle", 900))
	}
	servedFirst := 0
	for {
		p := q.Next(epoch)[0]
		if p.Ticket < 1000 {
			break
		}
		complete(q, epoch, item(p.Ticket, "idle", 900))
		servedFirst++
	}
	c.Assert(servedFirst > 0 && servedFirst <= 3, qt.IsTrue, qt.Commentf("%d items of the idle workspace were served first", servedFirst))
}

// Guards against a workspace that waits very long after one large call.
func TestDebtIsBounded(t *testing.T) {
	c := qt.New(t)
	o := options("fair", 1)
	o.Share.Debt = 5000
	q := newQueue(c, o, live("a")...)
	q.Enqueue(epoch, item(1, "large", 1_000_000))
	q.Next(epoch)
	complete(q, epoch, item(1, "large", 1_000_000))
	q.Enqueue(epoch, item(2, "large", 900))
	for n := range dispatch.Ticket(20) {
		q.Enqueue(epoch, item(10+n, "small", 900))
	}
	before := 0
	for p := q.Next(epoch)[0]; p.Ticket != 2; p = q.Next(epoch)[0] {
		complete(q, epoch, item(p.Ticket, "small", 900))
		before++
	}
	c.Assert(before >= 4 && before <= 6, qt.IsTrue, qt.Commentf("%d small items were served before the large workspace", before))
}

// Guards against sub-agents that are not charged to their root program's attained service, and against old programs that
// starve.
func TestLeastAttainedServiceWithAging(t *testing.T) {
	c := qt.New(t)
	o := options("fair", 1)
	o.Share.AgingRate = 1000
	q := newQueue(c, o, live("a")...)
	heavy := item(1, "ws", 9900)
	heavy.Program = "heavy"
	q.Enqueue(epoch, heavy)
	q.Next(epoch)
	complete(q, epoch, heavy)
	sub := item(2, "ws", 100)
	sub.Program = "heavy/child"
	q.Enqueue(epoch, sub)
	q.Enqueue(at(9*second), item(3, "ws", 100))
	q.Enqueue(at(11*second), item(4, "ws", 100))
	c.Assert(tickets(q.Next(at(11*second))), qt.DeepEquals, []dispatch.Ticket{3})
	complete(q, at(11*second), item(3, "ws", 100))
	c.Assert(tickets(q.Next(at(11*second))), qt.DeepEquals, []dispatch.Ticket{2})
}

// withPrefix returns the item with its whole prompt as the prefix of the given key, as in a program's next call.
func withPrefix(it dispatch.Item, key dispatch.PrefixKey) dispatch.Item {
	it.Prefix, it.PrefixTokens = key, it.Prompt
	return it
}

// Guards against calls that run without their cached prefix, and against waiting for it longer than the prefill at another
// target takes.
func TestCachedPrefixIsPreferredWhileItSavesTime(t *testing.T) {
	c := qt.New(t)
	q := newQueue(c, options("fair", 1), live("a", "b")...)
	q.CacheEvent(epoch, dispatch.CacheEvent{Target: "b", Change: dispatch.CacheStored, Prefix: "p", Tokens: 80_000})
	q.Enqueue(epoch, withPrefix(item(1, "ws", 80_000), "p"))
	c.Assert(q.Next(epoch), qt.DeepEquals, []dispatch.Placement{{Ticket: 1, Target: "b", Cached: 80_000}})
	q.Done(at(second), 1, dispatch.Completed, record.Usage{Prompt: 80_000, Cached: 80_000, Completion: 40})
	q.Enqueue(at(second), withPrefix(item(2, "ws", 80_000), "p"))
	c.Assert(q.Next(at(second)), qt.HasLen, 1)
	q.Enqueue(at(second), withPrefix(item(3, "ws", 80_000), "p"))
	c.Assert(q.Next(at(second)), qt.HasLen, 0) // b is full, but prefilling at a takes 10 s
	late := q.Next(at(14 * second))
	c.Assert(late, qt.HasLen, 1)
	c.Assert(late[0].Target, qt.Equals, ids.TargetID("a"))
}

// Guards against cache hints that are kept although the prefix is old or was lost by eviction or a restart.
func TestHintsDecay(t *testing.T) {
	for name, lose := range map[string]func(q *dispatch.Queue) time.Time{
		"age": func(*dispatch.Queue) time.Time { return at(time.Hour) },
		"capacity": func(q *dispatch.Queue) time.Time {
			q.UpdateTargets(epoch, []dispatch.Target{{ID: "b", State: dispatch.Live, ReportedAt: epoch, CacheCapacity: 5000}})
			q.Enqueue(epoch, item(9, "ws", 5000))
			q.Next(epoch)
			q.Done(epoch, 9, dispatch.Completed, record.Usage{Prompt: 5000, Completion: 10})
			return epoch
		},
		"event": func(q *dispatch.Queue) time.Time {
			q.CacheEvent(epoch, dispatch.CacheEvent{Target: "b", Change: dispatch.CacheEvicted, Prefix: "p"})
			return epoch
		},
		"restart": func(q *dispatch.Queue) time.Time {
			q.CacheEvent(epoch, dispatch.CacheEvent{Target: "b", Change: dispatch.CacheLost})
			return epoch
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			q := newQueue(c, options("fair", 2), live("a", "b")...)
			q.CacheEvent(epoch, dispatch.CacheEvent{Target: "b", Change: dispatch.CacheStored, Prefix: "p", Tokens: 1000})
			now := lose(q)
			it := withPrefix(item(1, "ws", 1000), "p")
			it.Deadline = now.Add(time.Minute)
			q.Enqueue(now, it)
			c.Assert(q.Next(now)[0].Cached < 20, qt.IsTrue)
		})
	}
}

// Guards against a slow target getting as many calls as the others.
func TestSlowTargetGetsLess(t *testing.T) {
	c := qt.New(t)
	q := newQueue(c, options("fair", 8), live("a", "b")...)
	got := map[ids.TargetID]int{}
	type end struct {
		at time.Time
		it dispatch.Item
	}
	running := []end{}
	for n := range dispatch.Ticket(400) {
		now := at(time.Duration(n) * second)
		for i := 0; i < len(running); i++ {
			if !running[i].at.After(now) {
				complete(q, running[i].at, running[i].it)
				running = append(running[:i], running[i+1:]...)
				i--
			}
		}
		it := item(n, "ws", 1000)
		q.Enqueue(now, it)
		for _, p := range q.Next(now) {
			got[p.Target]++
			took := 3 * second
			if p.Target == "a" {
				took = 9 * second
			}
			running = append(running, end{now.Add(took), it})
		}
	}
	c.Assert(got["a"]*2 < got["b"], qt.IsTrue, qt.Commentf("calls by target: %v", got))
}

// Guards against engine memory that stays allocated to an ended program (R4).
func TestEndProgramReturnsReleases(t *testing.T) {
	c := qt.New(t)
	q := newQueue(c, options("fair", 1), live("a", "b")...)
	for _, id := range []ids.TargetID{"a", "b"} {
		q.CacheEvent(epoch, dispatch.CacheEvent{Target: id, Change: dispatch.CacheStored, Prefix: "p", Tokens: 10})
	}
	c.Assert(q.EndProgram("ws", "root", "p", "other"), qt.DeepEquals, []prefix.Release{{Target: "a", Prefix: "p"}, {Target: "b", Prefix: "p"}})
	c.Assert(q.EndProgram("ws", "root", "p"), qt.HasLen, 0)
}
