package quota_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/quota"
)

var start = time.Unix(1000, 0)

// Guards against a workspace that gets more than its rate and burst in some time window, for random request times.
func TestNoWindowExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := quota.Limit{Rate: float64(rapid.IntRange(1, 200).Draw(t, "rate")), Burst: float64(rapid.IntRange(1, 200).Draw(t, "burst"))}
		limiter := quota.New()
		limiter.Configure(start, map[ids.WorkspaceID]quota.Limit{"w": limit})
		now := start
		type use struct {
			at time.Time
			n  int
		}
		var uses []use
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			if g := limiter.Grant(now, "w", 0); g.Tokens > 0 {
				uses = append(uses, use{now, g.Tokens})
			}
		}
		for i := range uses {
			sum := 0
			for _, u := range uses[i:] {
				sum += u.n
				most := limit.Rate*u.at.Sub(uses[i].at).Seconds() + limit.Burst + 1e-6
				if float64(sum) > most {
					t.Fatalf("%d requests granted in %v, at most %v allowed", sum, u.at.Sub(uses[i].at), most)
				}
			}
		}
	})
}

// Guards against an instance that becomes the granter of a workspace and grants tokens again that the previous granter has
// granted.
func TestNextGranterDeductsEarlierGrants(t *testing.T) {
	c := qt.New(t)
	limits := map[ids.WorkspaceID]quota.Limit{"w": {Rate: 10, Burst: 10}}
	first, next := quota.New(), quota.New()
	first.Configure(start, limits)
	next.Configure(start, limits)
	granted := 0
	for range 20 {
		granted += first.Grant(start, "w", 0).Tokens
	}
	c.Assert(granted, qt.Equals, 10)
	next.Merge(start.Add(100*time.Millisecond), start, first.Report())
	c.Assert(next.Grant(start.Add(100*time.Millisecond), "w", 0).Tokens, qt.Equals, 0)
	c.Assert(next.Grant(start.Add(200*time.Millisecond), "w", 0).Tokens, qt.Equals, 1)

	late := quota.New() // started long after the report was written
	late.Configure(start.Add(time.Minute), limits)
	late.Merge(start.Add(time.Minute), start, []quota.Usage{{Workspace: "w", Granted: 10}})
	c.Assert(late.Grant(start.Add(time.Minute), "w", 0).Tokens, qt.Not(qt.Equals), 0)
}

// Guards against a workspace that is refused after a restart of all instances because earlier grants are deducted although
// the rate has refilled them since. This caused 149 refusals in the recorded incident of the deployment
// lahtinen.
func TestMergeAfterRestartCountsRefill(t *testing.T) {
	c := qt.New(t)
	limiter := quota.New()
	now := start.Add(2 * time.Second)
	limiter.Configure(now, map[ids.WorkspaceID]quota.Limit{"w": {Rate: 10, Burst: 10}})
	for ago := range 2 {
		limiter.Merge(now, now.Add(-time.Duration(ago+1)*time.Second), []quota.Usage{{Workspace: "w", Granted: 10}})
	}
	c.Assert(limiter.Grant(now, "w", 0.5).Tokens, qt.Not(qt.Equals), 0)
	limiter.Merge(now, now.Add(-100*time.Millisecond), []quota.Usage{{Workspace: "w", Granted: 20}})
	c.Assert(limiter.Grant(now, "w", 0).Tokens, qt.Equals, 0, qt.Commentf("recent grants are deducted"))
}

// Replays one workspace at five times its rate, with programs of ten requests each. Guards against admitting new programs
// while running ones are refused: then few programs finish, and the requests of the others are wasted.
func TestRunningProgramsFinishFirst(t *testing.T) {
	const length, rate, perSecond, seconds = 10, 40, 20, 10
	finished := func(headroom float64) (n int) {
		limiter := quota.New()
		limiter.Configure(start, map[ids.WorkspaceID]quota.Limit{"w": {Rate: rate, Burst: rate}})
		type program struct{ done, failures int }
		var programs []*program
		for ms := 0; ms < seconds*1000; ms += 10 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			if ms%(1000/perSecond) == 0 {
				programs = append(programs, &program{})
			}
			if ms%100 != 0 {
				continue
			}
			// The newest programs come first, which is the worst order for running ones.
			for i := len(programs) - 1; i >= 0; i-- {
				p := programs[i]
				if p.done >= length || p.failures >= 3 {
					continue
				}
				need := 0.0
				if p.done == 0 {
					need = headroom
				}
				if limiter.Grant(now, "w", need).Tokens > 0 {
					p.done++
				} else {
					p.failures++
				}
				if p.done == length {
					n++
				}
			}
		}
		return n
	}
	c := qt.New(t)
	without, with := finished(0), finished(0.5)
	c.Assert(with > without, qt.IsTrue, qt.Commentf("%d programs finished, %d without headroom", with, without))
	c.Assert(with >= rate*seconds/length/2, qt.IsTrue, qt.Commentf("%d programs finished", with))
}

// Guards against two instances that grant at the same time when one joins, and against a granter that has left.
func TestGranters(t *testing.T) {
	c := qt.New(t)
	m := quota.NewMembers()
	for i := range 5 {
		m.Report(start, start, ids.InstanceID(fmt.Sprint(i)), true, false)
	}
	now := start.Add(3 * time.Second)
	for i := range 5 {
		m.Report(now, now, ids.InstanceID(fmt.Sprint(i)), false, false)
	}
	first := m.Granters(now, "w", 2)
	c.Assert(first, qt.HasLen, 2)
	for i := range 50 {
		m.Report(now, now, ids.InstanceID(fmt.Sprint("new", i)), true, false)
	}
	c.Assert(m.Granters(now, "w", 2), qt.DeepEquals, first)
	m.Report(now, now, first[0], false, true)
	c.Assert(m.Granters(now, "w", 2), qt.DeepEquals, first)
	after := m.Granters(now.Add(2*time.Second), "w", 1)
	c.Assert(after[0], qt.Equals, first[1])
	alone := quota.NewMembers()
	alone.Report(now, now, "a", true, false)
	c.Assert(alone.Granters(now, "w", 2), qt.DeepEquals, []ids.InstanceID{"a"})
}
