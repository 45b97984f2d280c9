package cold_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/pkg/cold"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/quota"
)

var start = time.Unix(1000, 0)

// Guards against a target that counts as warm because an older report says so, as cold because its earlier run was, or as cold
// for an absurd time.
func TestColdTime(t *testing.T) {
	c := qt.New(t)
	s := cold.New()
	c.Assert(s.Observe(start, "t", 1, 5*time.Second), qt.IsTrue)
	c.Assert(s.Observe(start.Add(time.Second), "t", 1, 2*time.Second), qt.IsFalse, qt.Commentf("it is known to be cold"))
	c.Assert(s.Left(start.Add(time.Second), "t", 1), qt.Equals, 4*time.Second)
	c.Assert(s.Observe(start.Add(time.Second), "t", 1, 0), qt.IsFalse)
	c.Assert(s.Observe(start, "t", 1, -time.Second), qt.IsFalse)
	c.Assert(s.Observe(start, "t", 1, 2*cold.MaxLeft), qt.IsFalse)
	c.Assert(s.Left(start.Add(4*time.Second), "t", 1), qt.Equals, time.Second)
	c.Assert(s.Left(start.Add(6*time.Second), "t", 1), qt.Equals, time.Duration(0))
	c.Assert(s.Observe(start.Add(6*time.Second), "t", 1, time.Second), qt.IsTrue, qt.Commentf("it is cold again"))
	c.Assert(s.Observe(start.Add(6*time.Second), "t", 2, 3*time.Second), qt.IsTrue, qt.Commentf("it was started again"))
	c.Assert(s.Left(start.Add(6*time.Second), "t", 1), qt.Equals, time.Duration(0))
	c.Assert(s.Observe(start.Add(6*time.Second), "t", 1, time.Minute), qt.IsFalse, qt.Commentf("a late answer of the earlier run"))
	c.Assert(s.Left(start.Add(6*time.Second), "t", 2), qt.Equals, 3*time.Second)
	c.Assert(s.Count(start.Add(7*time.Second)), qt.Equals, 1)
	c.Assert(s.Count(start.Add(9*time.Second)), qt.Equals, 0)
}

// Guards against a target that is left alone after its cold time, or for the whole time of a lease while its limit has no
// owner: a service without other targets would refuse its requests.
func TestHoldIsBounded(t *testing.T) {
	c := qt.New(t)
	s := cold.New()
	s.Observe(start, "t", 1, 5*time.Second)
	for range 10 {
		hold := s.Refused(start, "t", 4*time.Second, 1)
		c.Assert(hold > 0 && hold < 700*time.Millisecond, qt.IsTrue, qt.Commentf("%s", hold))
	}
	c.Assert(s.Refused(start.Add(4950*time.Millisecond), "t", time.Second, 1), qt.Equals, 50*time.Millisecond)
	c.Assert(s.Refused(start.Add(6*time.Second), "t", time.Second, 1), qt.Equals, time.Duration(0))
}

// ask is an instance that has a request for the cold target from a time on.
type ask struct {
	at       time.Time
	instance int
}

type asks []ask

func (a asks) Len() int           { return len(a) }
func (a asks) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a asks) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *asks) Push(x any)        { *a = append(*a, x.(ask)) }
func (a *asks) Pop() any          { l := *a; x := l[len(l)-1]; *a = l[:len(l)-1]; return x }

// Guards against a cold target whose rate is hardly used because each instance leaves it alone too long, and against hundreds
// of instances that ask for grants far more often than there are any.
func TestColdRateIsUsable(t *testing.T) {
	const seconds, perSecond, started = 10, 27, 7
	name := quota.ColdName("t", started)
	for _, instances := range []int{16, 100, 400} {
		leases := quota.NewLeases(start, quota.Run{Instance: "owner", ID: "1"})
		leases.Begin(start.Add(-time.Minute), 0)
		leases.NewReport(start)
		leases.Apply(start, quota.Report{Run: quota.Run{Instance: "owner", ID: "1"}, Seq: 1, Claimed: []quota.Shard{quota.ShardOf(name, 0)}})
		limiter := quota.New(leases)
		limiter.Configure(start, map[ids.WorkspaceID]quota.Limit{name: quota.ColdLimit(perSecond)})
		random := rand.New(rand.NewPCG(uint64(instances), 1))
		known := make([]*cold.Targets, instances)
		var queue asks
		for i := range known {
			known[i] = cold.New()
			known[i].Observe(start, "t", started, time.Minute)
			heap.Push(&queue, ask{start.Add(time.Duration(random.IntN(200)) * time.Millisecond), i})
		}
		asked, granted, report := 0, 0, start
		for queue[0].at.Before(start.Add(seconds * time.Second)) {
			a := heap.Pop(&queue).(ask)
			for ; report.Before(a.at); report = report.Add(time.Second) {
				leases.Apply(report, leases.NewReport(report))
			}
			asked++
			g, owned := limiter.Grant(a.at, quota.Ask{Workspace: name})
			qt.Assert(t, owned, qt.IsTrue)
			// An instance has its next request for the target a few milliseconds after the last one.
			next := time.Duration(2+random.IntN(40)) * time.Millisecond
			if g.Tokens > 0 {
				granted++
				known[a.instance].Granted("t")
			} else {
				next = max(next, known[a.instance].Refused(a.at, "t", g.Retry, random.Float64()))
			}
			heap.Push(&queue, ask{a.at.Add(next), a.instance})
		}
		t.Logf("%d instances: %.1f granted and %d asked a second", instances, float64(granted)/seconds, asked/seconds)
		qt.Check(t, float64(granted) >= 0.9*perSecond*seconds, qt.IsTrue, qt.Commentf("%d granted to %d instances", granted, instances))
		qt.Check(t, asked/seconds <= 4*instances+perSecond, qt.IsTrue, qt.Commentf("%d asked by %d instances", asked, instances))
	}
}
