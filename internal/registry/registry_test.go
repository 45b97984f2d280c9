package registry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/registry"
)

var start = time.Unix(1000, 0)

func report(born, seq int64, draining bool) call.Target {
	return call.Target{ID: "a", Service: "s", Address: "10.0.0.1:1", Born: born, Seq: seq, Draining: draining}
}

// Guards against an old report that adds a removed target again or makes a draining one count as not draining.
func TestOldReportsAreIgnored(t *testing.T) {
	c := qt.New(t)
	r := registry.New()
	c.Assert(r.Put(report(1, 5, false)), qt.IsTrue)
	c.Assert(r.Put(report(1, 6, false)), qt.IsFalse, qt.Commentf("only the sequence number has changed"))
	c.Assert(r.Put(report(1, 7, true)), qt.IsTrue)
	c.Assert(r.Put(report(1, 6, false)), qt.IsFalse)
	c.Assert(r.Targets(start)[0].Draining, qt.IsTrue)
	c.Assert(r.Remove(start, "a"), qt.IsTrue)
	c.Assert(r.Put(report(1, 7, false)), qt.IsFalse)
	c.Assert(r.Targets(start), qt.HasLen, 0)
	c.Assert(r.Put(report(2, 1, false)), qt.IsTrue, qt.Commentf("a new run of the target starts a new sequence"))
	c.Assert(r.Targets(start), qt.HasLen, 1)
}

// Guards against targets that are dropped because their entries expired while the log was unavailable, and against removed
// targets that are used for longer than ReturnGrace after an outage.
func TestRemovedTargetsAreUsedAfterAnOutage(t *testing.T) {
	c := qt.New(t)
	r := registry.New()
	r.Put(report(1, 5, false))
	r.LogReturned(start)
	r.Replace(start.Add(100*time.Millisecond), nil)
	c.Assert(r.Targets(start.Add(time.Second)), qt.HasLen, 1)
	c.Assert(r.Targets(start.Add(registry.ReturnGrace)), qt.HasLen, 0)
	r.Put(report(1, 6, false))
	r.Remove(start.Add(time.Minute), "a")
	c.Assert(r.Targets(start.Add(time.Minute)), qt.HasLen, 0, qt.Commentf("long after an outage, a removed target is no longer used"))
}

// Guards against a target that is still used although another target answers at its address.
func TestMovedTarget(t *testing.T) {
	c := qt.New(t)
	r := registry.New()
	r.Put(report(1, 5, false))
	r.Moved("a")
	c.Assert(r.Targets(start), qt.HasLen, 0)
	c.Assert(r.Put(report(1, 6, false)), qt.IsTrue)
	c.Assert(r.Targets(start), qt.HasLen, 1)
}

// Guards against a target that is used again after it said that it is leaving: by a later report, or when its entry comes back
// long after it was removed. Only a new run is used.
func TestLeavingTarget(t *testing.T) {
	c := qt.New(t)
	r := registry.New()
	r.Put(report(1, 5, false))
	c.Assert(r.Leaving("a", 0), qt.IsFalse, qt.Commentf("another run said so"))
	c.Assert(r.Leaving("a", 1), qt.IsTrue)
	c.Assert(r.Leaving("a", 1), qt.IsFalse)
	usable := func(now time.Time) bool {
		for _, target := range r.Targets(now) {
			if !target.Draining {
				return true
			}
		}
		return false
	}
	c.Assert(usable(start), qt.IsFalse)
	r.Put(report(1, 6, false))
	c.Assert(usable(start), qt.IsFalse)
	r.Remove(start, "a")
	c.Assert(usable(start.Add(10*time.Minute)), qt.IsFalse)
	r.Put(report(1, 7, false))
	c.Assert(usable(start.Add(10*time.Minute)), qt.IsFalse)
	c.Assert(r.IsLeaving("a", 1), qt.IsTrue)
	r.Put(report(2, 1, false))
	c.Assert(usable(start.Add(10*time.Minute)), qt.IsTrue)
	c.Assert(r.IsLeaving("a", 2), qt.IsFalse)
}
