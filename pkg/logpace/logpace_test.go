package logpace_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/pkg/logpace"
)

func newPacer(limit, initial float64) *logpace.Pacer {
	o := logpace.Options{Limit: limit, Initial: initial, Random: rand.New(rand.NewPCG(1, 2))}
	return logpace.New(epoch, o, &logpace.Refusal{})
}

// takeAll returns the calls that may be made now.
func takeAll(p *logpace.Pacer, now time.Time) (l []*logpace.Call) {
	for {
		c, _, _ := p.Next(now)
		if c == nil {
			return l
		}
		l = append(l, c)
	}
}

// Guards against reports that wait behind copies of old turns, and against a full queue that refuses an urgent call.
func TestUrgentCallsGoFirst(t *testing.T) {
	c := qt.New(t)
	p := newPacer(2000, 2000)
	takeAll(p, epoch)
	for len(takeAll(p, epoch)) > 0 {
		p.Submit(epoch, &logpace.Call{})
	}
	for range 1000 {
		p.Submit(epoch, &logpace.Call{Kind: logpace.Background})
	}
	full := p.Queued()
	accepted, evicted := p.Submit(epoch, &logpace.Call{Kind: logpace.Lease})
	c.Assert(accepted, qt.IsTrue)
	c.Assert(evicted.Kind, qt.Equals, logpace.Background)
	c.Assert(p.Queued(), qt.Equals, full)
	sent, _, _ := p.Next(epoch.Add(time.Second))
	c.Assert(sent.Kind, qt.Equals, logpace.Lease)
}

// Guards against sending calls that nobody waits for any more, and against queueing calls that cannot be made in time.
func TestCallsPastTheirDeadlineAreNotSent(t *testing.T) {
	c := qt.New(t)
	p := newPacer(1500, 10)
	for range 5 {
		p.Submit(epoch, &logpace.Call{Deadline: epoch.Add(350 * time.Millisecond)})
	}
	c.Assert(takeAll(p, epoch), qt.HasLen, 2)
	accepted, _ := p.Submit(epoch, &logpace.Call{Deadline: epoch.Add(200 * time.Millisecond)})
	c.Assert(accepted, qt.IsFalse)
	sent, expired, again := p.Next(epoch.Add(time.Second))
	c.Assert(sent, qt.IsNil)
	c.Assert(expired, qt.HasLen, 3)
	c.Assert(again.IsZero(), qt.IsTrue)
	for range 100 {
		p.Submit(epoch.Add(time.Second), &logpace.Call{})
	}
	// What waits is made within a second, beside a burst of a quarter of one. The rate has grown, because calls waited for it.
	c.Assert(float64(p.Queued()) <= 1.25*p.Rate(), qt.IsTrue, qt.Commentf("%d calls wait at %.1f calls a second", p.Queued(), p.Rate()))
	c.Assert(p.Rate() < 25, qt.IsTrue, qt.Commentf("%.1f", p.Rate()))
}

// Guards against a log that does not answer and holds up reports, or reads that wait for records.
func TestCallsInProgressAreBounded(t *testing.T) {
	c := qt.New(t)
	p := newPacer(2000, 2000)
	for range 200 {
		p.Submit(epoch, &logpace.Call{})
	}
	sent := takeAll(p, epoch)
	c.Assert(len(sent) < 100, qt.IsTrue)
	p.Submit(epoch, &logpace.Call{Kind: logpace.Lease})
	p.Submit(epoch, &logpace.Call{LongPoll: true})
	c.Assert(takeAll(p, epoch), qt.HasLen, 2)
	p.Done(epoch, sent[0], logpace.Failed)
	p.Done(epoch, sent[1], logpace.Failed)
	c.Assert(takeAll(p, epoch), qt.HasLen, 1)
}

// Guards against retries that multiply the calls to a log that throttles, or follow within milliseconds.
func TestRetriesAreFew(t *testing.T) {
	c := qt.New(t)
	p := newPacer(1000, 1000)
	now, retries := epoch, 0
	throttledAt := map[*logpace.Call]time.Time{}
	for i := range 500 {
		now = now.Add(2 * time.Millisecond)
		p.Submit(now, &logpace.Call{Deadline: now.Add(time.Second)})
		for _, call := range takeAll(p, now) {
			at, again := throttledAt[call]
			c.Assert(!again || now.Sub(at) >= 100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", now.Sub(at)))
			outcome := logpace.Throttled
			if i%5 == 0 {
				outcome = logpace.Answered
			}
			if p.Done(now, call, outcome).Retried {
				retries++
				throttledAt[call] = now
			}
		}
		accepted, _ := p.Submit(now, &logpace.Call{Retry: true, Deadline: now.Add(time.Second)})
		if accepted {
			retries++
		}
	}
	c.Assert(retries > 0 && retries <= 60, qt.IsTrue, qt.Commentf("%d retries of 500 calls", retries))
}

// Guards against a refused instance that is found late although its reads are throttled too, and against an overload of all
// that throttles appends within a part of a second.
func TestThrottledReadsShowARefusal(t *testing.T) {
	c := qt.New(t)
	var appends, mixed logpace.Refusal
	for i := range 20 {
		now := epoch.Add(time.Duration(i) * 50 * time.Millisecond)
		appends.Answered(now, true, false)
		mixed.Answered(now, true, i%3 == 0)
		c.Assert(mixed.Alone(), qt.Equals, i >= 7)
	}
	c.Assert(appends.Alone(), qt.IsFalse)
	c.Assert(mixed.Answered(epoch.Add(time.Second), false, true), qt.IsTrue)
	c.Assert(mixed.Alone(), qt.IsFalse)
}
