// The race detector's runtime crashes in processes that have run many simulated fleets; test.sh runs these files without it.

//go:build !race

package grants_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/quota"
)

const (
	// turnSends is how often a caller sends a turn, with two tries each, and maxHonoured the longest retry delay that it honours.
	turnSends   = 3
	maxHonoured = time.Second
	// outageRetryDelay is the longest retry delay with which the gateway refuses a request because its rate is unavailable.
	outageRetryDelay = 900 * time.Millisecond
	// lostTries is how many refusals of one turn break the users' rule if they come later than stableWindow after the last
	// disturbance.
	lostTries    = 5
	stableWindow = 5 * time.Second
)

// turns sends turns of running programs to a fleet and records their refusals.
type turns struct {
	fleet *simFleet
	began time.Time // when the disturbance is over
	wait  sync.WaitGroup

	mu     sync.Mutex
	random *rand.Rand
	// sent counts the turns, refusals holds the times of the refusals of those that were refused, after began.
	sent     int
	refusals [][]time.Duration
}

func (t *turns) intN(n int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.random.IntN(n)
}

// run sends turns of a workspace until the duration has passed.
func (t *turns) run(ws ids.WorkspaceID, perSecond float64, d time.Duration) {
	for until := time.Now().Add(d); time.Now().Before(until); {
		time.Sleep(time.Duration(float64(2*t.intN(int(time.Second))) / perSecond))
		t.wait.Go(func() { t.send(ws) })
	}
}

// send sends one turn until it is admitted or given up.
func (t *turns) send(ws ids.WorkspaceID) {
	var refusals []time.Duration
	defer func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.sent++
		if len(refusals) > 0 {
			t.refusals = append(t.refusals, refusals)
		}
	}()
	for range turnSends {
		for range 2 {
			retry, result := t.try(ws)
			switch result {
			case admitted:
				return
			case refused:
				refusals = append(refusals, time.Since(t.began))
				time.Sleep(min(retry, maxHonoured))
			}
		}
		time.Sleep(time.Duration(100+t.intN(300)) * time.Millisecond)
	}
}

type tryResult int

const (
	notReached tryResult = iota
	admitted
	refused
)

// try sends a turn to a random instance, which does as the gateway does.
func (t *turns) try(ws ids.WorkspaceID) (retry time.Duration, r tryResult) {
	all := t.fleet.all()
	to := all[t.intN(len(all))]
	t.fleet.mu.Lock()
	p, isolated := to.process, to.cut
	t.fleet.mu.Unlock()
	if p == nil || isolated {
		return 0, notReached
	}
	if t.fleet.configBytes > 0 {
		if p.awaitStart(); !p.fresh() {
			return outageRetryDelay, refused
		}
	}
	for giveUpAt := time.Now().Add(maxTokenWait); ; {
		d := p.limiter.Take(context.Background(), ws, 0, time.Until(giveUpAt))
		switch {
		case !p.alive():
			return 0, notReached
		case d.OK:
			return 0, admitted
		case d.Retry <= time.Until(giveUpAt):
			time.Sleep(d.Retry)
		case d.Unavailable:
			return min(d.Retry, outageRetryDelay), refused
		default:
			return d.Retry, refused
		}
	}
}

// lostAfter returns the number of turns that were refused lostTries times later than d after the disturbance.
func (t *turns) lostAfter(d time.Duration) (n int) {
	for _, refusals := range t.refusals {
		if i := len(refusals) - lostTries; i >= 0 && refusals[i] >= d {
			n++
		}
	}
	return n
}

// refusedIn returns the number of refusals in a second after the disturbance.
func (t *turns) refusedIn(second int) (n int) {
	for _, refusals := range t.refusals {
		for _, at := range refusals {
			if at >= 0 && int(at/time.Second) == second {
				n++
			}
		}
	}
	return n
}

// playLarge plays the large fleet with faults at times from the end of the disturbance on, which may be negative, and returns the
// turns that were sent until the length after it.
func playLarge(seed uint64, length time.Duration, faults ...fault) *turns {
	return newSimFleetOf(seed, hotWorkspace, quota.Limit{}, 0).playSite(seed, largeFleet, length, faults...)
}

// playSite does the same with a number of instances on an empty fleet, whose log may have further properties.
func (f *simFleet) playSite(seed uint64, instances int, length time.Duration, faults ...fault) *turns {
	f.startSite(instances)
	time.Sleep(warmUp / 5)
	t := &turns{fleet: f, random: rand.New(rand.NewPCG(seed, 1)), began: time.Now().Add(warmUp)}
	for _, x := range faults {
		time.AfterFunc(warmUp+x.at, func() { x.do(f) })
	}
	for ws, l := range f.limits {
		t.wait.Go(func() { t.run(ws, l.Rate/2, warmUp+length) })
	}
	t.wait.Wait()
	f.close()
	return t
}

// loseAll kills all instances and starts them again within 0.3 s, but for those that stay away.
func loseAll(away func(n int) bool) func(f *simFleet) {
	return func(f *simFleet) {
		for n, i := range f.all() {
			if away(n) {
				i.kill()
				continue
			}
			restart(i, i.kill, time.Duration(f.intN(300))*time.Millisecond)
		}
	}
}

func none(int) bool    { return false }
func tenth(n int) bool { return n%10 == 0 }

// logIs puts the log into a state for the instances of a part for a time.
func logIs(s logState, d time.Duration, part func(n int) bool) func(f *simFleet) {
	return func(f *simFleet) {
		for n, i := range f.all() {
			if !part(n) {
				continue
			}
			set := func(s logState) {
				f.mu.Lock()
				defer f.mu.Unlock()
				i.log = s
			}
			set(s)
			time.AfterFunc(d, func() { set(logUp) })
		}
	}
}

// slowLog makes the log slow for all for a time.
func slowLog(d time.Duration) func(f *simFleet) {
	return func(f *simFleet) {
		set := func(s logState, appendTime time.Duration) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.slow, f.appendTime = s == logSlow, appendTime
		}
		usual := f.appendTime
		set(logSlow, slowAppendTime)
		time.AfterFunc(d, func() { set(logUp, usual) })
	}
}

// Guards against a large fleet whose instances keep each other from claiming shards, so that turns of running programs are
// refused for seconds after the instances or the log are back: the incident LOST of akwaaba-mugs-large.
func TestTurnsAreAdmittedAfterADisturbance(t *testing.T) {
	everyone := func(int) bool { return true }
	third := func(n int) bool { return n%3 == 0 }
	for _, x := range []struct {
		name   string
		faults []fault
		// from is from when on after the disturbance no turn may be refused lostTries times.
		from time.Duration
	}{
		{"loss of all", []fault{{at: 0, do: loseAll(none)}}, time.Second},
		{"a tenth does not come back", []fault{{at: 0, do: loseAll(tenth)}}, stableWindow},
		{"outage", []fault{{at: -7 * time.Second, do: logIs(logRefusing, 7*time.Second, everyone)}}, time.Second},
		{"outage for a third", []fault{{at: -9 * time.Second, do: logIs(logRefusing, 9*time.Second, third)}}, time.Second},
		{"loss of all in an outage", []fault{
			{at: -5 * time.Second, do: logIs(logSilent, 5*time.Second, everyone)},
			{at: -time.Second, do: loseAll(none)},
		}, stableWindow},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const length = 8
				r := playLarge(1, length*time.Second, x.faults...)
				var perSecond []int
				for s := range length {
					perSecond = append(perSecond, r.refusedIn(s))
				}
				t.Logf("%d turns, refusals in each second %v, turns refused %d times: %d, later than %v: %d", r.sent, perSecond,
					lostTries, r.lostAfter(0), x.from, r.lostAfter(x.from))
				qt.Assert(t, r.lostAfter(x.from), qt.Equals, 0)
			})
		})
	}
}
