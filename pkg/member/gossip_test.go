package member_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/member"
)

// suspects returns how many of the other running instances suspect the given one.
func (f *fleet) suspects(of int) (n int) {
	for i := range f.views {
		if i != of && !f.down[i] && f.state(of, i) == member.Suspect {
			n++
		}
	}
	return n
}

// Guards against noticing a paused instance later than when every instance probed every other one, which took up to 2 s.
func TestPausedInstanceIsNoticed(t *testing.T) {
	var took []time.Duration
	f := newFleet(24)
	f.run(8 * time.Second)
	for i := range 24 {
		f.run(time.Duration(i*37) * time.Millisecond)
		f.down[i] = true
		began := f.now
		for f.suspects(i) < 23 && f.now.Sub(began) < 10*time.Second {
			f.run(step)
		}
		took = append(took, f.now.Sub(began))
		f.down[i] = false
		f.run(6 * time.Second)
		if n := f.suspects(i); n > 0 {
			t.Errorf("%d of 23 suspect instance %d, which answers again", n, i)
		}
	}
	slices.Sort(took)
	t.Logf("noticed by all 23 others after %v (median), %v at most", took[12], took[23])
	if took[12] > 2*time.Second || took[23] > 4*time.Second {
		t.Errorf("noticed after %v (median), %v at most", took[12], took[23])
	}
}

// Guards against an instance that suspects its neighbors because it was paused itself.
func TestPausedInstanceSuspectsNobody(t *testing.T) {
	for pause := range 12 {
		f := newFleet(24)
		f.run(8 * time.Second)
		v := f.views[0]
		f.down[0] = true // its messages and ticks stop, while its probes stay open
		f.run(time.Duration(pause) * 300 * time.Millisecond)
		f.down[0] = false
		f.run(step)
		for _, p := range v.Peers() {
			if p.State == member.Suspect {
				t.Errorf("suspects %s after a pause of %d ms", p.ID, 300*pause)
			}
		}
		f.run(3 * time.Second)
	}
}

func writer(id ids.InstanceID, nonce string) ids.WriterID {
	return ids.WriterID(string(id) + "#" + nonce)
}

func (f *fleet) restart(n int, nonce string) {
	f.views[n] = member.New(f.ids[n], member.DefaultOptions(), rand.New(rand.NewPCG(2, uint64(n))))
	f.nonce[n] = nonce
	f.views[n].SetList(f.now, f.list)
}

// Guards against the earlier run of a restarted instance counting as alive, and against the new run staying unknown to
// instances that do not probe it, both without and with a suspicion before the restart.
func TestRestartedInstanceHasItsNewWriterEverywhere(t *testing.T) {
	for _, pause := range []time.Duration{0, 3 * time.Second} {
		t.Run(fmt.Sprint(pause), func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(24)
			f.run(5 * time.Second)
			f.down[7] = true
			f.run(pause)
			f.down[7] = false
			f.restart(7, "new")
			f.run(3 * time.Second)
			for i, v := range f.views {
				for _, p := range v.Peers() {
					want := writer(p.ID, f.nonce[f.index[p.ID]])
					c.Check(p.Writer, qt.Equals, want, qt.Commentf("in the view of instance %d", i))
					c.Check(p.State, qt.Equals, member.Alive, qt.Commentf("%s in the view of instance %d", p.ID, i))
				}
			}
		})
	}
}

// Guards against instances that do not learn of another one's planned stop because they do not probe it.
func TestLeavingReachesAll(t *testing.T) {
	c := qt.New(t)
	f := newFleet(24)
	f.run(5 * time.Second)
	f.leaving[7] = true
	f.run(time.Second)
	for i, v := range f.views {
		for _, p := range v.Peers() {
			c.Check(p.Leaving, qt.Equals, p.ID == f.ids[7], qt.Commentf("%s in the view of instance %d", p.ID, i))
		}
	}
}

// Guards against believing a dead instance alive because it is no longer listed and so not on the ring.
func TestUnlistedInstanceIsProbed(t *testing.T) {
	c := qt.New(t)
	f := newFleet(8)
	f.run(5 * time.Second)
	rest := slices.Clone(f.list)
	rest = slices.Delete(rest, 7, 8)
	for _, v := range f.views[:7] {
		v.SetList(f.now, rest)
	}
	f.run(10 * time.Second)
	c.Assert(f.state(7, 0), qt.Equals, member.Alive)
	f.down[7] = true
	f.run(5 * time.Second)
	c.Assert(f.suspects(7), qt.Equals, 7)
}

// Guards against a failed request that does not lead to a probe, and against one that counts as proof of a failure.
func TestProbeNow(t *testing.T) {
	c := qt.New(t)
	f := newFleet(24)
	f.run(8 * time.Second)
	f.send(0, f.views[0].ProbeNow(f.now, f.ids[7]))
	c.Check(f.views[0].ProbeNow(f.now, f.ids[7]), qt.HasLen, 0)
	f.run(3 * time.Second)
	c.Check(f.suspects(7), qt.Equals, 0)
	f.down[7] = true
	pings := f.views[0].ProbeNow(f.now, f.ids[7])
	c.Assert(pings, qt.HasLen, 1)
	f.send(0, f.views[0].SendFailed(f.now, pings[0])) // a refused connection
	f.run(800 * time.Millisecond)
	c.Check(f.state(7, 0), qt.Equals, member.Suspect)
}

// Guards against a statement of no contact with the log that gets a later time than the last time at which it was true.
// Instances lose and regain contact at random while messages are lost.
func TestStatementsAreNotDatedLater(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "instances")
		f := newFleet(n)
		contact := make([]bool, n)
		f.hasLog = func(i int) bool { return contact[i] }
		lossy := rapid.IntRange(0, 50).Draw(t, "loss")
		random := rand.New(rand.NewPCG(3, rapid.Uint64().Draw(t, "seed")))
		f.cut = func(int, int) bool { return random.IntN(100) < lossy }
		last := make([]time.Time, n) // when an instance last had no contact
		for range 40 {
			i := rapid.IntRange(0, n-1).Draw(t, "toggled")
			contact[i] = rapid.Bool().Draw(t, "contact")
			for range rapid.IntRange(1, 12).Draw(t, "steps") {
				for i := range n {
					if f.now.Sub(f.lastContact[i]) > member.DefaultOptions().NoContactAfter {
						last[i] = f.now
					}
				}
				f.run(step)
			}
			for by, v := range f.views {
				since, all := v.NoContactSince(f.now)
				for i := range n {
					if all && i != by && last[i].Add(step).Before(since) {
						t.Fatalf("instance %d dates the statement of instance %d %v after it was last true", by, i, since.Sub(last[i]))
					}
				}
			}
		}
	})
}

// Guards against owners that stop although nobody has contact with the log, and against owners that continue without a
// statement of no contact from every other instance.
func TestNoContactSince(t *testing.T) {
	c := qt.New(t)
	f := newFleet(24)
	f.run(5 * time.Second)
	_, all := f.views[0].NoContactSince(f.now)
	c.Assert(all, qt.IsFalse)
	f.hasLog = func(int) bool { return false }
	f.run(8500 * time.Millisecond) // less than a lease of 10 s minus its margin
	oldest := time.Duration(0)
	for range 100 {
		f.run(step)
		for i, v := range f.views {
			since, all := v.NoContactSince(f.now)
			c.Assert(all, qt.IsTrue, qt.Commentf("in the view of instance %d", i))
			oldest = max(oldest, f.now.Sub(since))
		}
	}
	t.Logf("oldest statement: %v", oldest)
	c.Assert(oldest < 9500*time.Millisecond, qt.IsTrue) // a lease of 10 s minus its margin
	f.hasLog = func(n int) bool { return n == 7 }
	f.run(10 * time.Second)
	for i, v := range f.views {
		if i == 7 {
			continue
		}
		since, all := v.NoContactSince(f.now)
		c.Assert(all && f.now.Sub(since) < 9500*time.Millisecond, qt.IsFalse, qt.Commentf("in the view of instance %d", i))
	}
	alone := member.New("a", member.DefaultOptions(), rand.New(rand.NewPCG(1, 1)))
	alone.SetList(epoch, []member.Listed{{ID: "a"}, {ID: "b"}})
	_, all = alone.NoContactSince(epoch)
	c.Assert(all, qt.IsFalse)
}
