package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/pkg/admission"
)

const (
	tick       = 10 * time.Millisecond
	runTime    = 400 * time.Millisecond
	callerTime = 5 * time.Second
	writeRetry = 200 * time.Millisecond
)

var epoch = time.Unix(1_800_000_000, 0)

// replay is an instance that gets 50 requests a second, half of them first requests of programs, in front of a log.
type replay struct {
	gate    *admission.Gate
	gated   bool
	reports bool          // the instance writes a report each second
	fails   bool          // a failing write is answered at once; otherwise it hangs for a retry's time
	outage  time.Duration // from begin on
	writes  []*write

	admitted, refused map[time.Duration]int // by tenth of a second; for requests of running programs
	first             map[time.Duration]int // first requests that were admitted
	retried, tooEarly int                   // requests refused in the outage, and those that would be refused again
	unrecorded        int                   // requests that ran and whose caller's deadline passed
	maxHeld           time.Duration         // the longest time between run and record
}

type write struct {
	began, next, deadline time.Duration
	report                bool
}

// begin is when outages begin.
const begin = 4 * time.Second

func (r *replay) logUp(at time.Duration) bool { return at < begin || at >= begin+r.outage }

func (r *replay) run(length time.Duration) {
	r.gate = admission.New(epoch, rand.New(rand.NewPCG(1, 1)))
	r.admitted, r.refused, r.first = map[time.Duration]int{}, map[time.Duration]int{}, map[time.Duration]int{}
	for at := time.Duration(0); at < length; at += tick {
		if r.reports && at%time.Second == 0 {
			r.writes = append(r.writes, &write{began: at, next: at, deadline: at + 600*time.Millisecond, report: true})
		}
		r.write(at)
		if at%(20*time.Millisecond) == 0 {
			r.request(at, at%(40*time.Millisecond) == 0)
		}
	}
}

// write makes the attempts at writes that are due. A write takes one tick.
func (r *replay) write(at time.Duration) {
	now := epoch.Add(at)
	var left []*write
	waiting, oldest := 0, time.Duration(0)
	for _, w := range r.writes {
		switch {
		case at < w.next:
		case r.logUp(at):
			r.gate.Succeeded(now, at-w.began+tick)
			if !w.report {
				r.maxHeld = max(r.maxHeld, at-w.began)
			}
			continue
		default:
			w.next = at + writeRetry
			if r.fails || at > w.began {
				r.gate.Failed(now, admission.Unavailable)
			}
		}
		if at >= w.deadline {
			if !w.report {
				r.unrecorded++
			}
			continue
		}
		left = append(left, w)
		if at >= w.began {
			waiting, oldest = waiting+1, max(oldest, at-w.began)
		}
	}
	r.writes = left
	r.gate.Waiting(now, waiting, oldest)
}

func (r *replay) request(at time.Duration, first bool) {
	now, tenth := epoch.Add(at), at.Truncate(100*time.Millisecond)
	a := r.gate.Decide(now, admission.Request{Deadline: now.Add(callerTime), Run: runTime, First: first})
	if a.Admitted || !r.gated {
		r.writes = append(r.writes, &write{began: at + runTime, next: at + runTime, deadline: at + callerTime})
	}
	switch {
	case !a.Admitted:
		r.refused[tenth]++
		r.retried++
		if !r.logUp(at + a.RetryAfter) {
			r.tooEarly++
		}
	case first:
		r.first[tenth]++
	default:
		r.admitted[tenth]++
	}
}

// sum adds up the tenths of a second from one time to another.
func sum(m map[time.Duration]int, from, to time.Duration) (n int) {
	for at, count := range m {
		if at >= from && at < to {
			n += count
		}
	}
	return n
}

// Guards against requests that run during an outage of the log although their results cannot be recorded, against refusals
// that go on after it, and against times to retry that say nothing. The last case replays the gateway without admission.
func TestOutage(t *testing.T) {
	for name, r := range map[string]*replay{
		"failing":          {outage: 6 * time.Second, gated: true, reports: true, fails: true},
		"hanging":          {outage: 6 * time.Second, gated: true, reports: true},
		"long, no reports": {outage: 20 * time.Second, gated: true, fails: true},
		"not gated":        {outage: 6 * time.Second, reports: true, fails: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			end := begin + r.outage
			r.run(end + 6*time.Second)
			noticed := begin + 600*time.Millisecond
			during := sum(r.admitted, noticed, end) + sum(r.first, noticed, end)
			t.Logf("%d admitted in the outage after 0.6 s; %d unrecorded; held at most %v; %d of %d refused came back too early",
				during, r.unrecorded, r.maxHeld, r.tooEarly, r.retried)
			c.Assert(sum(r.refused, 0, begin), qt.Equals, 0)
			if !r.gated {
				c.Assert(r.unrecorded > 60, qt.IsTrue, qt.Commentf("the replay must show the fault: %d", r.unrecorded))
				return
			}
			c.Assert(during <= 4, qt.IsTrue, qt.Commentf("%d", during))
			c.Assert(r.unrecorded <= 40, qt.IsTrue, qt.Commentf("%d, of which 20 ran when the outage began", r.unrecorded))
			c.Assert(sum(r.refused, end+1300*time.Millisecond, end+6*time.Second), qt.Equals, 0)
			if r.reports {
				c.Assert(r.tooEarly*3 < r.retried*2, qt.IsTrue, qt.Commentf("%d of %d", r.tooEarly, r.retried))
			}
		})
	}
}

// Guards against waiting for a second success, and against held writes whose age counts against the recovered log.
func TestSuccessEndsTheOutageAtOnce(t *testing.T) {
	c := qt.New(t)
	g := admission.New(epoch, rand.New(rand.NewPCG(1, 1)))
	r := admission.Request{Deadline: epoch.Add(10 * time.Second), Run: time.Second}
	first := r
	first.First = true
	g.Failed(epoch, admission.Unavailable)
	c.Assert(g.Decide(epoch, first).Admitted, qt.IsFalse, qt.Commentf("first requests are refused first"))
	c.Assert(g.Decide(epoch, r).Admitted, qt.IsTrue)
	g.Failed(epoch.Add(40*time.Millisecond), admission.UnknownOutcome)
	g.Waiting(epoch.Add(40*time.Millisecond), 3, 40*time.Millisecond)
	c.Assert(g.Decide(epoch.Add(50*time.Millisecond), r).Reason, qt.Equals, admission.Failing)
	now := epoch.Add(6 * time.Second)
	c.Assert(g.Decide(now, r).Admitted, qt.IsFalse)
	g.Succeeded(now, 6*time.Second)
	c.Assert(g.Decide(now, first).Admitted, qt.IsTrue)
}

// Guards against requests whose records a slow log would not take before their deadlines, against refusing those that have
// the time, and against refusals that last after the log is fast again.
func TestSlowLog(t *testing.T) {
	c := qt.New(t)
	g := admission.New(epoch, rand.New(rand.NewPCG(1, 1)))
	now := epoch.Add(time.Minute)
	for range 50 {
		g.Succeeded(now, 800*time.Millisecond)
		now = now.Add(100 * time.Millisecond)
	}
	with := func(left time.Duration, first bool) admission.Answer {
		return g.Decide(now, admission.Request{Deadline: now.Add(left), Run: time.Second, First: first})
	}
	c.Assert(with(1500*time.Millisecond, false).Reason, qt.Equals, admission.Slow)
	c.Assert(with(2200*time.Millisecond, false).Admitted, qt.IsTrue)
	c.Assert(with(2200*time.Millisecond, true).Reason, qt.Equals, admission.Slow)
	c.Assert(with(5*time.Second, true).Admitted, qt.IsTrue)
	retry := with(1500*time.Millisecond, false).RetryAfter
	c.Assert(retry >= 500*time.Millisecond && retry < 3*time.Second, qt.IsTrue)
	// Throttled answers between successes are part of the time of writes.
	for range 7 {
		g.Failed(now, admission.Throttled)
	}
	c.Assert(with(2200*time.Millisecond, false).Admitted, qt.IsTrue)
	now = now.Add(2 * time.Second)
	c.Assert(with(2100*time.Millisecond, true).Admitted, qt.IsFalse)
	for range 40 {
		g.Succeeded(now, 10*time.Millisecond)
	}
	c.Assert(with(1500*time.Millisecond, true).Admitted, qt.IsTrue)
}

// Guards against a log that answers late and is taken for one that does not answer, and against one that answers reads only.
func TestLateAnswersAreNoOutage(t *testing.T) {
	c := qt.New(t)
	g := admission.New(epoch, rand.New(rand.NewPCG(1, 1)))
	r := admission.Request{Deadline: epoch.Add(time.Minute), Run: time.Second}
	for at, want := range []bool{true, true, true, false, true, true, true, true, true, true, true, true, true, true, true, false} {
		age := time.Duration(at) * 100 * time.Millisecond
		now := epoch.Add(time.Second + age)
		g.Waiting(now, 1, age)
		if at%4 == 0 && at > 0 {
			g.Answered(now, 240*time.Millisecond)
		}
		c.Check(g.Decide(now, r).Admitted, qt.Equals, want, qt.Commentf("waits for %v", age))
	}
}

// Guards against first requests that are refused after an outage, because a write that has waited for its end counts as slow.
func TestWriteOfAnOutageIsNotSlow(t *testing.T) {
	c := qt.New(t)
	g := admission.New(epoch, rand.New(rand.NewPCG(1, 1)))
	now := epoch.Add(10 * time.Second)
	g.Unanswered(now)
	now = now.Add(300 * time.Millisecond)
	g.Succeeded(now, 3*time.Second)
	c.Check(g.Decide(now, admission.Request{Deadline: now.Add(2 * time.Second), Run: time.Second, First: true}).Admitted, qt.IsTrue)
}

// Guards against requests that are refused for a second after a slow log is fast again, although a report shows it, and against
// reports in a queue of their own that make the log look slow.
func TestReportsShowThatTheLogIsFast(t *testing.T) {
	c := qt.New(t)
	g := admission.New(epoch, rand.New(rand.NewPCG(1, 1)))
	now := epoch.Add(10 * time.Second)
	g.Succeeded(now, 800*time.Millisecond)
	g.SucceededElsewhere(now, 2*time.Second)
	c.Check(g.ExpectedWrite(now), qt.Equals, 800*time.Millisecond)
	g.SucceededElsewhere(now.Add(100*time.Millisecond), 5*time.Millisecond)
	c.Check(g.ExpectedWrite(now.Add(100*time.Millisecond)), qt.Equals, 5*time.Millisecond)
}
