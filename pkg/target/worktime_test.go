package target_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/pkg/record"
	"github.com/comfreylink/comfreylink/pkg/target"
)

var epoch = time.Unix(1_800_000_000, 0)

func newSet() (*target.Set, *target.Target) {
	s := target.NewSet(target.Options{MaxInFlight: 8, PrefillRate: 1000, DecodeRate: 100, HintHalfLife: time.Minute})
	s.Update(epoch, []target.Report{{ID: "a", State: target.Live}})
	return s, s.All()[0]
}

// seconds returns the estimate for a call of 100 output tokens at an idle target, which is 1 s at the assumed speed.
func seconds(t *target.Target, now time.Time) float64 {
	own, _ := t.Seconds(now, 0, 100)
	return own
}

func near(c *qt.C, got, want float64) {
	c.Helper()
	c.Check(math.Abs(got-want) < want/20, qt.IsTrue, qt.Commentf("%v, want %v", got, want))
}

// Guards against placement by a speed that has changed since: a report counts at once and fades within half a second.
func TestWorkTimeFades(t *testing.T) {
	c := qt.New(t)
	s, a := newSet()
	near(c, seconds(a, epoch), 1)
	for n := range 100 {
		s.WorkTime("a", 1, epoch.Add(time.Duration(n)*100*time.Millisecond))
	}
	last := epoch.Add(10 * time.Second)
	s.WorkTime("a", 2.4, last)
	s.WorkTime("a", 9, last.Add(-time.Millisecond)) // arrived late
	s.WorkTime("a", 0, last.Add(time.Millisecond))  // a report without a work time
	near(c, seconds(a, last), 2.4)
	near(c, seconds(a, last.Add(250*time.Millisecond)), 1.7)
	near(c, seconds(a, last.Add(time.Second)), 1.03)
	near(c, a.WaitSeconds(last, 8, 1)/a.WaitSeconds(last.Add(time.Second), 8, 1), 2.4/1.03)
}

// Guards against slowness that counts twice, in the reports and in the measured durations, and against the loss of the
// measured slowness at a target that reports no work time or always the usual one.
func TestSlownessCountsOnce(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct{ reported, took, want float64 }{
		{0, 2.4, 2.4}, {1, 2.4, 2.4}, {2.4, 2.4, 2.4}, {2.4, 4.8, 4.8},
	} {
		s, a := newSet()
		now := epoch
		for range 60 {
			a.Start(now, 0)
			took := time.Duration(test.took * 1.0625 * float64(time.Second)) // a call at a target with 8 slots is slowed down by 1/16
			now = now.Add(took)
			s.WorkTime("a", test.reported, now)
			a.End(now, target.Completed, took, record.Usage{Completion: 100})
		}
		near(c, seconds(a, now), test.want)
		near(c, seconds(a, now.Add(time.Hour)), test.want)
	}
}

// Guards against dispatchers that know little and take targets without a recent report for idle, so that they admit first
// calls to a full pool.
func TestTargetsWithoutReportHoldTheMean(t *testing.T) {
	c := qt.New(t)
	s := target.NewSet(target.Options{MaxInFlight: 10, PrefillRate: 1000, DecodeRate: 100, ForeignHalfLife: 200 * time.Millisecond})
	s.Update(epoch, []target.Report{{ID: "a", State: target.Live}, {ID: "b", State: target.Live}})
	now := epoch
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		s.Load(now, "a", 8, 0)
	}
	c.Check(s.ExpectedCalls(now, "a"), qt.Equals, 8)
	c.Check(s.ExpectedCalls(now, "b"), qt.Equals, 8)
	s.Load(now, "b", 0, 0)
	c.Check(s.ExpectedCalls(now, "b"), qt.Equals, 0)
	c.Check(s.ExpectedCalls(now.Add(200*time.Millisecond), "b"), qt.Equals, 3) // halfway to the mean, which falls too
	c.Check(s.ExpectedCalls(now.Add(time.Minute), "b"), qt.Equals, 0)
}
