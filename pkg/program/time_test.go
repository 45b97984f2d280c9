package program_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/program"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// Guards against a key that expires early because one instance's clock is wrong, so that its request could run twice, and
// against readers that disagree on which keys have expired. The clock of one of three instances is off by up to ten years.
func TestKeysOutliveAWrongClock(t *testing.T) {
	const retention = 24 * time.Hour
	rapid.Check(t, func(t *rapid.T) {
		wrong := time.Duration(rapid.Int64Range(-87_600, 87_600).Draw(t, "wrongHours")) * time.Hour
		now := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
		slot := program.New(program.Options{KeyRetention: retention})
		other := program.New(program.Options{KeyRetention: time.Hour})
		var epoch ids.Epoch
		var owner ids.WriterID
		var clock time.Duration
		used := make(map[ids.RequestKey]time.Time)
		apply := func(b record.Body) error {
			rejection := slot.Apply(ids.Position{}, owner, b)
			if otherRejection := other.Apply(ids.Position{}, owner, b); (otherRejection == nil) != (rejection == nil) {
				t.Fatalf("readers disagree: %v, %v", rejection, otherRejection)
			}
			return rejection
		}
		for range 60 {
			now = now.Add(time.Duration(uniform(t, "minutes", 240)) * time.Minute)
			if rapid.Bool().Draw(t, "takeOver") || epoch == 0 {
				epoch++
				i := uniform(t, "owner", 3)
				owner = ids.WriterID(fmt.Sprintf("i%d#%d", i, epoch))
				clock = 0
				if i == 0 {
					clock = wrong
				}
				noError(t, apply(slot.NewOpen(now.Add(clock), epoch, owner)))
			}
			key := ids.RequestKey(fmt.Sprintf("k%d", uniform(t, "key", 8)))
			millis := now.Add(clock).UnixMilli()
			if apply(&record.Intent{Epoch: epoch, Workspace: workspace, Key: key, UnixMilli: millis}) == nil {
				if last, ok := used[key]; ok && now.Sub(last) < retention*3/4 {
					t.Fatalf("R9: key %s was used %s ago and could be used again", key, now.Sub(last))
				}
				used[key] = now
				noError(t, apply(&record.Outcome{Epoch: epoch, Workspace: workspace, Key: key, Status: 200}))
			}
			if uniform(t, "restore", 8) == 7 {
				data, err := other.Snapshot()
				noError(t, err)
				other = program.New(program.Options{KeyRetention: time.Hour})
				noError(t, other.Restore(data))
			}
		}
		a, err := slot.Snapshot()
		noError(t, err)
		b, err := other.Snapshot()
		noError(t, err)
		if !bytes.Equal(a, b) {
			t.Fatalf("readers disagree:\n%s\n%s", a, b)
		}
	})
}

// Guards against keys that never expire and fill the owner's memory.
func TestKeysExpire(t *testing.T) {
	c := qt.New(t)
	s := program.New(program.Options{KeyRetention: time.Hour})
	start := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	c.Assert(s.Apply(ids.Position{}, "a#1", s.NewOpen(start, 1, "a#1")), qt.IsNil)
	for i := range 10 {
		key := ids.RequestKey(fmt.Sprintf("k%d", i))
		millis := start.Add(time.Duration(i) * 14 * time.Minute).UnixMilli()
		c.Assert(s.Apply(ids.Position{}, "a#1", &record.Turn{
			Epoch: 1, Workspace: workspace, Program: "p", Index: i, Key: key, UnixMilli: millis,
		}), qt.IsNil)
	}
	_, known := s.Lookup(workspace, "k4")
	c.Check(known, qt.IsFalse, qt.Commentf("used 70 minutes before the last record"))
	_, known = s.Lookup(workspace, "k5")
	c.Check(known, qt.IsTrue, qt.Commentf("used 56 minutes before the last record"))
}

// Guards against keys that are kept for years because one instance's clock was ahead, even if two runs of the instance
// stated that time.
func TestKeysExpireDespiteAWrongClock(t *testing.T) {
	c := qt.New(t)
	s := program.New(program.Options{KeyRetention: 24 * time.Hour})
	now := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	open := func(e ids.Epoch, w ids.WriterID, at time.Time) {
		c.Assert(s.Apply(ids.Position{}, w, s.NewOpen(at, e, w)), qt.IsNil)
	}
	open(1, "right#1", now)
	key := record.Turn{Epoch: 1, Workspace: workspace, Program: "p", Key: "k", UnixMilli: now.UnixMilli()}
	c.Assert(s.Apply(ids.Position{}, "right#1", &key), qt.IsNil)
	open(2, "wrong#1", now.AddDate(10, 0, 0))
	open(3, "wrong#2", now.AddDate(10, 0, 0))
	// A quiet period of more than a quarter of the retention restarts the retention of all keys.
	now = now.Add(7 * time.Hour)
	open(4, "right#2", now)
	for i := range 25 {
		open(ids.Epoch(5+i), "right#3", now.Add(time.Duration(i)*time.Hour))
	}
	_, known := s.Lookup(workspace, "k")
	c.Check(known, qt.IsTrue)
	open(30, "right#4", now.Add(25*time.Hour))
	_, known = s.Lookup(workspace, "k")
	c.Check(known, qt.IsFalse)
}

// Guards against programs that are kept forever (R4), and against ending one that is in use (R2).
func TestIdle(t *testing.T) {
	c := qt.New(t)
	s := program.New(program.Options{})
	start := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	offset := ids.Offset(0)
	apply := func(b record.Body) error {
		offset++
		return s.Apply(ids.Position{Offset: offset}, "a#1", b)
	}
	turn := func(p ids.ProgramID, index int, at time.Time) {
		c.Assert(apply(&record.Turn{
			Epoch: 1, Workspace: workspace, Program: p, Index: index, UnixMilli: at.UnixMilli(),
			Key: ids.RequestKey(fmt.Sprint(p, index)), Usage: record.Usage{Prompt: 5},
		}), qt.IsNil)
	}
	c.Assert(apply(s.NewOpen(start, 1, "a#1")), qt.IsNil)
	turn("old", 0, start)
	turn("old/child", 0, start)
	turn("parent", 0, start)
	turn("parent/child", 0, start.Add(2*time.Hour))
	// The gap is more than a quarter of the retention, so the stream's time does not advance.
	turn("late", 0, start.Add(9*time.Hour))

	ends := s.Idle(start.Add(2*time.Hour), time.Hour)
	c.Assert(ends, qt.HasLen, 1)
	c.Check(ends[0].Program, qt.Equals, ids.ProgramID("old"))
	late := s.Idle(start.Add(9*time.Hour), time.Hour)
	c.Check(late, qt.HasLen, 2, qt.Commentf("a program is not idle because the stream's time lags behind"))

	turn("old/child", 1, start.Add(9*time.Hour))
	c.Check(apply(ends[0]), qt.ErrorIs, program.ErrInUse)
	c.Assert(apply(&record.End{Epoch: 1, Workspace: workspace, Program: "old"}), qt.IsNil)
	c.Check(apply(&record.End{Epoch: 1, Workspace: workspace, Program: "old"}), qt.ErrorIs, program.ErrUnknownProgram)
	_, exists := s.Program(workspace, "old/child")
	c.Check(exists, qt.IsFalse)
	c.Check(s.Budget(workspace, "old"), qt.Equals, program.Spending{})
	_, known := s.Lookup(workspace, "old0")
	c.Check(known, qt.IsTrue, qt.Commentf("a key outlives its program"))
}
