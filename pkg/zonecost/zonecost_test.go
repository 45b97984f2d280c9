package zonecost_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/pkg/zonecost"
)

const (
	slots    = 100.0 // of a zone
	callTime = 0.2
	bytes    = 8 << 10
	step     = 20 * time.Millisecond
)

// zones is a model of two zones with one group of deciders in the first. A decider sees loads that are a report interval old.
type zones struct {
	deciders []*zonecost.Decider
	random   *rand.Rand
	own      float64 // calls at the own zone
	other    float64
	base     float64 // calls of the other zone's own dispatchers
	seen     [2]zonecost.State
	peak     float64
	left     float64
}

func state(calls float64) zonecost.State {
	return zonecost.State{Targets: 10, Free: max(slots-calls, 0), Slots: slots, Seconds: callTime * (1 + max(calls+1-slots, 0)/slots)}
}

func newZones(deciders int, price, base float64) *zones {
	z := &zones{random: rand.New(rand.NewPCG(1, 1)), base: base}
	for range deciders {
		z.deciders = append(z.deciders, zonecost.New(zonecost.Options{Price: price, Delay: 0.003}))
	}
	return z
}

// run lets calls arrive at a rate in calls per second for a time, and returns the share of them that left at its end.
func (z *zones) run(from time.Time, d time.Duration, rate float64) (share float64) {
	for t := time.Duration(0); t < d; t += step {
		now := from.Add(t)
		z.own -= z.own * step.Seconds() / callTime
		if z.own > slots {
			z.own += (z.own - slots) * step.Seconds() / callTime // no more than all slots end calls
		}
		z.other -= z.other * step.Seconds() / callTime
		arriving := rate * step.Seconds()
		share = 0
		for _, decider := range z.deciders {
			decider.Update(now.Add(time.Duration(z.random.IntN(10))*time.Millisecond), z.seen[0], z.seen[1], bytes)
			if decider.MayLeave(z.random.Float64(), bytes) && z.seen[0].Seconds > z.seen[1].Seconds+decider.Cost(bytes) {
				share += 1 / float64(len(z.deciders))
			}
		}
		z.own += arriving * (1 - share)
		z.other += arriving * share
		z.left += arriving * share
		z.peak = max(z.peak, z.base+z.other)
		if t%(5*step) == 0 {
			z.seen = [2]zonecost.State{state(z.own), state(z.base + z.other)}
		}
	}
	return share
}

var start = time.Unix(1000, 0)

// Guards against dispatchers that all send their requests to the empty zone at once when their own is full, against those that
// send more than the excess, and against requests that do not return home when there is room.
func TestFullZoneBesideAnEmptyOne(t *testing.T) {
	c := qt.New(t)
	z := newZones(100, 0.001, 0)
	z.run(start, 2*time.Second, 0.7*slots/callTime)
	c.Assert(z.left, qt.Equals, 0.0)
	z.run(start.Add(2*time.Second), 10*time.Second, 1.3*slots/callTime)
	t.Logf("own zone %.0f, other zone %.0f calls, at most %.0f, %.0f left", z.own, z.other, z.peak, z.left)
	c.Check(z.left > 0.5*0.3*10*slots/callTime, qt.IsTrue)
	c.Check(z.peak < 0.9*slots, qt.IsTrue)
	c.Check(z.own < 1.6*slots, qt.IsTrue)
	z.run(start.Add(12*time.Second), 2*time.Second, 0.7*slots/callTime)
	c.Check(z.run(start.Add(14*time.Second), time.Second, 0.7*slots/callTime), qt.Equals, 0.0)
	for _, d := range z.deciders {
		c.Check(d.Share(), qt.Equals, 0.0)
	}
}

// Guards against an exchange of requests between two full zones, which helps neither.
func TestTwoFullZones(t *testing.T) {
	c := qt.New(t)
	z := newZones(100, 0.001, 1.2*slots)
	z.run(start, 5*time.Second, 1.2*slots/callTime)
	c.Assert(z.left, qt.Equals, 0.0)
}

// Guards against a price of 0 that changes the placement, and against an infinite one that lets a request leave, or that
// keeps it from being served when its zone has no target.
func TestPriceZeroAndInfinite(t *testing.T) {
	c := qt.New(t)
	free := zonecost.New(zonecost.Options{Delay: 0.003})
	never := zonecost.New(zonecost.Options{Price: math.Inf(1), Delay: 0.003})
	for n := range 50 {
		now := start.Add(time.Duration(n) * time.Second)
		c.Assert(free.Update(now, state(3*slots), state(0), bytes), qt.IsFalse)
		never.Update(now, state(3*slots), state(0), bytes)
		c.Assert(free.MayLeave(0.999, 1<<30) && free.EffectiveCost(1<<30) == 0.003, qt.IsTrue)
		c.Assert(never.MayLeave(0, 1), qt.IsFalse)
		c.Assert(math.IsInf(never.Cost(0), 1), qt.IsTrue)
	}
	never.Update(start.Add(time.Hour), zonecost.State{}, state(0), bytes)
	c.Assert(never.MayLeave(0.999, bytes) && never.EffectiveCost(bytes) == 0.003, qt.IsTrue)
}

// Guards against large requests that leave a zone although only small ones gain by it.
func TestLargeRequestsStay(t *testing.T) {
	c := qt.New(t)
	d := zonecost.New(zonecost.Options{Price: 0.001, Delay: 0.003})
	for n := range 10 {
		d.Update(start.Add(time.Duration(n)*time.Second), state(1.2*slots), state(0), bytes)
	}
	c.Assert(d.MayLeave(0.5, bytes), qt.IsTrue)
	c.Assert(d.MayLeave(0.5, 100*bytes), qt.IsFalse)
}
