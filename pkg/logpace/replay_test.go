package logpace_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/pkg/logpace"
)

// Figures of the replays: a fleet whose log takes callsPerSecond, overloaded by twice that for overloadTime and then
// loaded with calmLoad.
const (
	instances      = 100
	callsPerSecond = 1500
	overload       = 2 * callsPerSecond
	calmLoad       = 1200
	overloadTime   = 6 * time.Second
	calmTime       = 5 * time.Second
	callerTime     = 10 * time.Second // until a caller's deadline
	attemptTime    = 600 * time.Millisecond
	tick           = 5 * time.Millisecond // also the time of a call
)

var epoch = time.Unix(1_800_000_000, 0)

// sharedLog throttles calls above callsPerSecond, counted by the calendar second or by a token bucket.
type sharedLog struct {
	bySecond      bool
	second        int64
	inSecond      int
	tokens        float64
	filled        time.Time
	calls, denied int
	refused       map[int]bool // instances of which every call is throttled
}

func (l *sharedLog) call(now time.Time, instance int) (accepted bool) {
	l.calls++
	if !l.refused[instance] {
		accepted = l.take(now)
	}
	if !accepted {
		l.denied++
	}
	return accepted
}

func (l *sharedLog) take(now time.Time) bool {
	if l.bySecond {
		if now.Unix() != l.second {
			l.second, l.inSecond = now.Unix(), 0
		}
		l.inSecond++
		return l.inSecond <= callsPerSecond
	}
	l.tokens = min(callsPerSecond/5, l.tokens+now.Sub(l.filled).Seconds()*callsPerSecond)
	l.filled = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// operation is a caller's write, repeated by its loop until the deadline.
type operation struct {
	instance int
	arrived  time.Time
	tries    int
}

// second counts the writes that arrived in one second, and those of them that succeeded at the first try.
type second struct{ arrived, first int }

// fleet replays the instances' calls. Without pacing, each caller's loop calls the log.
type fleet struct {
	log      *sharedLog
	paced    bool
	uneven   bool
	random   *rand.Rand
	pacers   []*logpace.Pacer
	refusals []logpace.Refusal
	byCall   map[*logpace.Call]*operation
	due      map[int64][]func(now time.Time) // by millisecond
	seconds  []second
	alone    map[int]bool // instances that took the log to refuse them alone
}

func newFleet(log *sharedLog, paced bool) *fleet {
	log.filled = epoch
	f := &fleet{
		log: log, paced: paced, random: rand.New(rand.NewPCG(1, 1)), refusals: make([]logpace.Refusal, instances),
		byCall: map[*logpace.Call]*operation{}, due: map[int64][]func(time.Time){}, alone: map[int]bool{},
	}
	for i := range instances {
		o := logpace.Options{Limit: callsPerSecond, Initial: callsPerSecond / 16.0, Random: f.random}
		f.pacers = append(f.pacers, logpace.New(epoch, o, &f.refusals[i]))
	}
	return f
}

// run replays a load in calls per second for a time.
func (f *fleet) run(from time.Time, d time.Duration, load float64) (end time.Time) {
	end = from.Add(d)
	for now := from; now.Before(end); now = now.Add(tick) {
		if s := int(now.Sub(epoch) / time.Second); len(f.seconds) <= s {
			f.seconds = append(f.seconds, second{})
		}
		for arrivals := load * tick.Seconds(); arrivals > 0; arrivals-- {
			if f.random.Float64() < arrivals {
				f.seconds[len(f.seconds)-1].arrived++
				o := &operation{instance: f.pick(), arrived: now}
				f.after(now, 0, func(now time.Time) { f.try(now, o) })
			}
		}
		due := f.due[now.UnixMilli()]
		delete(f.due, now.UnixMilli())
		// No caller is always ahead of the others.
		f.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
		for _, do := range due {
			do(now)
		}
		for _, i := range f.random.Perm(instances) {
			f.send(now, i)
		}
	}
	return end
}

// pick returns the instance at which a write arrives. With uneven load, a tenth of the instances gets half of it.
func (f *fleet) pick() int {
	if f.uneven && f.random.Float64() < 0.5 {
		return f.random.IntN(instances / 10)
	}
	return f.random.IntN(instances)
}

// try makes an attempt of a caller's loop.
func (f *fleet) try(now time.Time, o *operation) {
	o.tries++
	if !f.paced {
		accepted := f.log.call(now, o.instance)
		f.after(now, tick, func(now time.Time) { f.ended(now, o, accepted) })
		return
	}
	c := &logpace.Call{Kind: logpace.Reservation, Deadline: now.Add(attemptTime), Retry: o.tries > 1}
	f.byCall[c] = o
	accepted, evicted := f.pacers[o.instance].Submit(now, c)
	if !accepted {
		f.ended(now, o, false)
	}
	if evicted != nil {
		f.ended(now, f.byCall[evicted], false)
	}
}

// send makes the calls that an instance's pacer lets through.
func (f *fleet) send(now time.Time, instance int) {
	p := f.pacers[instance]
	for {
		c, expired, _ := p.Next(now)
		for _, e := range expired {
			f.ended(now, f.byCall[e], false)
		}
		if c == nil {
			return
		}
		outcome := logpace.Throttled
		if f.log.call(now, instance) {
			outcome = logpace.Answered
		}
		f.after(now, tick, func(now time.Time) {
			r := p.Done(now, c, outcome)
			if f.refusals[instance].Alone() {
				f.alone[instance] = true
			}
			if r.Retried {
				f.byCall[c].tries++
				return
			}
			f.ended(now, f.byCall[c], outcome == logpace.Answered)
		})
	}
}

func (f *fleet) after(now time.Time, d time.Duration, do func(time.Time)) {
	at := now.Add(d.Truncate(tick)).UnixMilli()
	f.due[at] = append(f.due[at], do)
}

// ended ends an attempt. A failed one is repeated as the gateway's loops do after a throttled call.
func (f *fleet) ended(now time.Time, o *operation, accepted bool) {
	switch {
	case !accepted && now.Sub(o.arrived) < callerTime:
		wait := 100*time.Millisecond + time.Duration(f.random.Int64N(int64(100*time.Millisecond)))
		f.after(now, wait, func(now time.Time) { f.try(now, o) })
	case accepted && o.tries == 1:
		f.seconds[int(o.arrived.Sub(epoch)/time.Second)].first++
	}
}

// firstTries returns the share of the writes that arrived from one second to another that succeeded at the first try.
func (f *fleet) firstTries(from, to int) float64 {
	var sum second
	for _, s := range f.seconds[from:to] {
		sum.arrived += s.arrived
		sum.first += s.first
	}
	return float64(sum.first) / float64(sum.arrived)
}

// Guards against a fleet whose repeated calls keep the log overloaded after the load has gone: on a benchmark day, four
// fifths of the calls were repeated ones and the fleet did not recover for 20 s. The last part replays that.
func TestFleetRecoversFromOverload(t *testing.T) {
	for _, bySecond := range []bool{true, false} {
		for _, load := range []string{"even", "uneven", "not paced"} {
			t.Run(fmt.Sprintf("bySecond=%v/%s", bySecond, load), func(t *testing.T) {
				c := qt.New(t)
				paced := load != "not paced"
				f := newFleet(&sharedLog{bySecond: bySecond}, paced)
				f.uneven = load == "uneven"
				end := f.run(epoch, overloadTime, overload)
				sent := f.log.calls
				f.run(end, calmTime, calmLoad)
				over := int(overloadTime / time.Second)
				share := f.firstTries(over+2, over+3)
				t.Logf("%d calls in the overload; share at the first try by second after it: %.3f %.3f %.3f %.3f", sent,
					f.firstTries(over, over+1), f.firstTries(over+1, over+2), share, f.firstTries(over+3, over+4))
				if !paced {
					c.Assert(share < 0.5, qt.IsTrue, qt.Commentf("the replay must show the fault without pacing: %.3f", share))
					return
				}
				c.Assert(share >= 0.9, qt.IsTrue, qt.Commentf("%.3f", share))
				c.Assert(f.firstTries(over+3, over+4) >= 0.9, qt.IsTrue)
				c.Assert(float64(sent) < 1.25*callsPerSecond*overloadTime.Seconds(), qt.IsTrue, qt.Commentf("%d calls", sent))
				c.Assert(f.alone, qt.HasLen, 0, qt.Commentf("an overload of all is not a refusal of one"))
			})
		}
	}
}

// Guards against an instance that is slowed down because the log refuses another one, and against a refused one that does
// not notice it or stays slow after it.
func TestRefusedInstanceDoesNotSlowTheOthers(t *testing.T) {
	c := qt.New(t)
	f := newFleet(&sharedLog{bySecond: true, refused: map[int]bool{7: true}}, true)
	end := f.run(epoch, 5*time.Second, calmLoad)
	c.Assert(f.alone, qt.DeepEquals, map[int]bool{7: true})
	c.Assert(f.firstTries(0, 5) > 0.98, qt.IsTrue, qt.Commentf("%.3f", f.firstTries(0, 5)))
	for i, p := range f.pacers {
		c.Assert(i == 7 || p.Rate() >= callsPerSecond/64.0, qt.IsTrue, qt.Commentf("%d: %.1f", i, p.Rate()))
	}
	f.log.refused = nil
	f.run(end, 3*time.Second, calmLoad)
	c.Assert(f.refusals[7].Alone(), qt.IsFalse)
	c.Assert(f.pacers[7].Rate() > 10, qt.IsTrue, qt.Commentf("%.1f", f.pacers[7].Rate()))
}
