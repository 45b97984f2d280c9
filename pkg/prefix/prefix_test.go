package prefix_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/prefix"
	"github.com/comfreylink/comfreylink/pkg/target"
)

var epoch = time.Unix(1_800_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// pause returns a pause at an engine whose cache is full.
func pause(tool string) prefix.Pause {
	return prefix.Pause{Workspace: "ws", Tool: tool, Tokens: 50_000, Capacity: 400_000, Used: 1, PrefillRate: 8000}
}

// Guards against holding prefixes for tools that take too long, and against dropping prefixes for tools that return soon.
func TestHoldFollowsThePauses(t *testing.T) {
	c := qt.New(t)
	l := prefix.NewLearner()
	c.Assert(l.Hold(pause("new")), qt.Equals, 50*time.Second) // equal costs
	for range 20 {
		l.Observe(epoch, "ws", "short", 3*time.Second)
		l.Observe(epoch, "ws", "long", time.Hour)
	}
	c.Assert(l.Hold(pause("short")), qt.Equals, 5120*time.Millisecond)
	c.Assert(l.Hold(pause("long")), qt.Equals, time.Duration(0))
	empty := pause("long")
	empty.Used = 0.1
	c.Assert(l.Hold(empty), qt.Equals, prefix.MaxHold)
	// A tool whose pauses change is learned again.
	for range 150 {
		l.Observe(epoch, "ws", "short", time.Hour)
	}
	c.Assert(l.Hold(pause("short")), qt.Equals, time.Duration(0))
	d, ok := l.Quantile("ws", "short", 0.5)
	c.Assert(ok, qt.IsTrue)
	c.Assert(d >= time.Hour && d < 2*time.Hour, qt.IsTrue)
}

// Guards against callers that fill the memory with tool names.
func TestLearnerIsBounded(t *testing.T) {
	c := qt.New(t)
	l := prefix.NewLearner()
	for n := range 5000 {
		for range 4 {
			l.Observe(at(time.Duration(n)), "ws", fmt.Sprint(n), time.Second)
		}
	}
	_, old := l.Quantile("ws", "0", 0.5)
	_, young := l.Quantile("ws", "4999", 0.5)
	c.Assert([]bool{old, young}, qt.DeepEquals, []bool{false, true})
}

// Guards against cache memory that stays allocated to a program that never continues.
func TestHoldsEnd(t *testing.T) {
	c := qt.New(t)
	h := prefix.NewHolds()
	h.Keep(prefix.Release{Target: "a", Prefix: "p"}, at(time.Second))
	h.Keep(prefix.Release{Target: "a", Prefix: "q"}, at(time.Second))
	h.Keep(prefix.Release{Target: "a", Prefix: "r"}, at(2*time.Second))
	h.Resume(prefix.Release{Target: "a", Prefix: "q"})
	c.Assert(h.Due(at(time.Second)), qt.DeepEquals, []prefix.Release{{Target: "a", Prefix: "p"}})
	c.Assert(h.Due(at(time.Second)), qt.HasLen, 0)
}

// Guards against releasing prefixes of programs that are alive or whose owner does not answer, and against prefixes of
// ended programs that stay cached (R4).
func TestReconcileReleasesEndedOnly(t *testing.T) {
	const grace = 5 * time.Second
	keys := []target.PrefixKey{"k1", "k2", "k3"}
	rapid.Check(t, func(t *rapid.T) {
		r := prefix.NewReconciler(grace)
		since := map[target.PrefixKey]time.Time{} // when the key was first listed as ended since it was last absent or alive
		now := epoch
		for range rapid.IntRange(1, 30).Draw(t, "lists") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			liveness, cached := map[target.PrefixKey]prefix.Liveness{}, []target.PrefixKey{}
			for _, k := range keys {
				liveness[k] = prefix.Liveness(rapid.SampledFrom([]int{0, 1, 2, 2, 2, 2, 2}).Draw(t, "liveness"))
				present := rapid.IntRange(0, 9).Draw(t, "cached") > 0
				if present {
					cached = append(cached, k)
				}
				if _, ok := since[k]; !ok && present && liveness[k] == prefix.Ended {
					since[k] = now
				}
				if !present || liveness[k] == prefix.Alive {
					delete(since, k)
				}
			}
			released := map[target.PrefixKey]bool{}
			for _, rel := range r.Reconcile(now, ids.TargetID("a"), cached, func(k target.PrefixKey) prefix.Liveness { return liveness[k] }) {
				released[rel.Prefix] = true
			}
			for _, k := range keys {
				from, ended := since[k]
				due := ended && liveness[k] == prefix.Ended && now.Sub(from) >= grace
				if released[k] != due {
					t.Fatalf("%s: released %v, expected %v", k, released[k], due)
				}
			}
		}
	})
}
