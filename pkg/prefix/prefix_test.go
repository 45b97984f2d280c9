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

func full(tool string) prefix.Pause {
	return prefix.Pause{Workspace: "ws", Tool: tool, Tokens: 50_000, Capacity: 400_000, Used: 1, PrefillRate: 8000}
}

// Guards against holding for tools that never come back in time, and against dropping for those that do.
func TestHoldFollowsThePauses(t *testing.T) {
	c := qt.New(t)
	l := prefix.NewLearner()
	c.Assert(l.Hold(full("new")), qt.Equals, 50*time.Second) // equal costs
	for range 20 {
		l.Observe(epoch, "ws", "short", 3*time.Second)
		l.Observe(epoch, "ws", "long", time.Hour)
	}
	c.Assert(l.Hold(full("short")), qt.Equals, 5120*time.Millisecond)
	c.Assert(l.Hold(full("long")), qt.Equals, time.Duration(0))
	empty := full("long")
	empty.Used = 0.1
	c.Assert(l.Hold(empty), qt.Equals, prefix.MaxHold)
	// A tool that changes is relearnt.
	for range 150 {
		l.Observe(epoch, "ws", "short", time.Hour)
	}
	c.Assert(l.Hold(full("short")), qt.Equals, time.Duration(0))
	d, ok := l.Quantile("ws", "short", 0.5)
	c.Assert(ok, qt.IsTrue)
	c.Assert(d >= time.Hour && d < 2*time.Hour, qt.IsTrue)
}

// Guards against tool names of callers that fill the memory.
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

// Guards against memory that stays allocated to a program that never comes back.
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

// Guards against releasing a living program's cache or one whose owner is not reachable, and against memory of ended
// programs that stays (R4).
func TestReconcileReleasesEndedOnly(t *testing.T) {
	const grace = 5 * time.Second
	keys := []target.PrefixKey{"k1", "k2", "k3"}
	rapid.Check(t, func(t *rapid.T) {
		r := prefix.NewReconciler(grace)
		since := map[target.PrefixKey]time.Time{} // start of the uninterrupted lists with the program ended or unknown
		now := epoch
		for range rapid.IntRange(1, 30).Draw(t, "lists") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			lives, cached := map[target.PrefixKey]prefix.Liveness{}, []target.PrefixKey{}
			for _, k := range keys {
				lives[k] = prefix.Liveness(rapid.SampledFrom([]int{0, 1, 2, 2, 2, 2, 2}).Draw(t, "life"))
				present := rapid.IntRange(0, 9).Draw(t, "cached") > 0
				if present {
					cached = append(cached, k)
				}
				if _, ok := since[k]; !ok && present && lives[k] == prefix.Ended {
					since[k] = now
				}
				if !present || lives[k] == prefix.Alive {
					delete(since, k)
				}
			}
			released := map[target.PrefixKey]bool{}
			for _, rel := range r.Reconcile(now, ids.TargetID("a"), cached, func(k target.PrefixKey) prefix.Liveness { return lives[k] }) {
				released[rel.Prefix] = true
			}
			for _, k := range keys {
				from, ended := since[k]
				due := ended && lives[k] == prefix.Ended && now.Sub(from) >= grace
				if released[k] != due {
					t.Fatalf("%s: released %v, expected %v", k, released[k], due)
				}
			}
		}
	})
}
