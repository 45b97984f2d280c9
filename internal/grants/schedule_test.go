package grants_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/quota"
)

// The users' rule: in any window of quotaWindow, a workspace's requests that are sent and run are at most
// (rate * window + burst) * (1 + quotaOverage) + quotaSlack.
const (
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
	// configDelay is how long after its publication a limit is known to all instances.
	configDelay = 2 * time.Second
)

// warmUp is the time between the start of the fleet and that of its traffic.
const warmUp = 10 * time.Second

// demand is how many times its rate the workspace sends.
const demand = 5

// use is one request that ran.
type use struct{ sent, ran time.Time }

// traffic sends requests of hotWorkspace to a fleet and records those that run.
type traffic struct {
	fleet *simFleet
	// queued is the share of the requests that are queued after they were admitted; half of them do not run.
	queued float64
	mu     sync.Mutex
	uses   []use
	asked  int
	wait   sync.WaitGroup
}

// run sends perSecond requests a second to random instances until the duration has passed.
func (t *traffic) run(random *rand.Rand, d time.Duration, perSecond int) {
	until := time.Now().Add(d)
	t.fleet.mu.Lock()
	var order []ids.InstanceID
	for id := range t.fleet.instances {
		order = append(order, id)
	}
	t.fleet.mu.Unlock()
	slices.Sort(order)
	for time.Now().Before(until) {
		time.Sleep(time.Second / time.Duration(perSecond))
		to := order[random.IntN(len(order))]
		headroom := float64(random.IntN(5)) / 10
		queued, runs := time.Duration(0), true
		if random.Float64() < t.queued {
			queued, runs = time.Duration(random.IntN(700))*time.Millisecond, random.IntN(2) == 0
		}
		t.asked++
		t.wait.Go(func() { t.send(to, headroom, queued, runs) })
	}
	t.wait.Wait()
}

// send sends one request to an instance, where it is queued for a time and then runs or not.
func (t *traffic) send(to ids.InstanceID, headroom float64, queued time.Duration, runs bool) {
	sent := time.Now()
	t.fleet.mu.Lock()
	p := t.fleet.instances[to].process
	t.fleet.mu.Unlock()
	if p == nil {
		return
	}
	p.waitWhileFrozen()
	if !p.alive() {
		return
	}
	d := p.limiter.Take(context.Background(), hotWorkspace, headroom)
	p.waitWhileFrozen()
	if !d.OK || !p.alive() {
		return
	}
	time.Sleep(queued)
	p.waitWhileFrozen()
	switch {
	case !p.alive():
	case runs:
		t.mu.Lock()
		t.uses = append(t.uses, use{sent, time.Now()})
		t.mu.Unlock()
	default:
		p.limiter.Return(hotWorkspace)
	}
}

// most returns the most requests that were sent and ran in one window that begins in a span of time, and its beginning.
func (t *traffic) most(from, to time.Time) (n int, at time.Time) {
	slices.SortFunc(t.uses, func(a, b use) int { return a.sent.Compare(b.sent) })
	for i, first := range t.uses {
		if first.sent.Before(from) || first.sent.After(to) {
			continue
		}
		end, count := first.sent.Add(quotaWindow), 0
		for _, u := range t.uses[i:] {
			if u.sent.After(end) {
				break
			}
			if !u.ran.After(end) {
				count++
			}
		}
		if count > n {
			n, at = count, first.sent
		}
	}
	return n, at
}

func allowed(l quota.Limit) float64 {
	return (l.Rate*quotaWindow.Seconds()+l.Burst)*(1+quotaOverage) + quotaSlack
}

// fault is one disturbance of the fleet.
type fault struct {
	at  time.Duration
	do  func(f *simFleet)
	why string
}

func each(f *simFleet, share float64, random *rand.Rand, do func(i *simInstance)) {
	f.mu.Lock()
	var l []*simInstance
	for _, i := range f.instances {
		l = append(l, i)
	}
	f.mu.Unlock()
	slices.SortFunc(l, func(a, b *simInstance) int { return compareIDs(a.id, b.id) })
	random.Shuffle(len(l), func(a, b int) { l[a], l[b] = l[b], l[a] })
	for _, i := range l[:int(share*float64(len(l))+0.999)] {
		do(i)
	}
}

func compareIDs(a, b ids.InstanceID) int {
	if a < b {
		return -1
	}
	return 1
}

// randomFault draws a fault of any kind. Its duration is at most 6 s.
func randomFault(random *rand.Rand, at time.Duration) fault {
	own := rand.New(rand.NewPCG(random.Uint64(), 0))
	share := []float64{0.1, 0.3, 0.6, 1}[random.IntN(4)]
	lasts := time.Duration(random.IntN(6000)) * time.Millisecond
	set := func(change func(i *simInstance), undo func(i *simInstance)) func(f *simFleet) {
		return func(f *simFleet) {
			each(f, share, own, func(i *simInstance) {
				f.mu.Lock()
				change(i)
				f.mu.Unlock()
				time.AfterFunc(lasts, func() {
					f.mu.Lock()
					undo(i)
					f.mu.Unlock()
				})
			})
		}
	}
	logTo := func(s logState) func(f *simFleet) {
		return set(func(i *simInstance) { i.log = s }, func(i *simInstance) { i.log = logUp })
	}
	kinds := []struct {
		why string
		do  func(f *simFleet)
	}{
		{"cut from all other instances", set(func(i *simInstance) { i.cut = true }, func(i *simInstance) { i.cut = false })},
		{"frozen", set(func(i *simInstance) { i.frozenUntil = time.Now().Add(lasts) }, func(*simInstance) {})},
		{"killed", func(f *simFleet) { each(f, share, own, func(i *simInstance) { restart(i, i.kill, lasts/4) }) }},
		{"stopped one after the other", func(f *simFleet) {
			n := time.Duration(0)
			each(f, share, own, func(i *simInstance) {
				time.AfterFunc(n*400*time.Millisecond, func() { restart(i, i.leave, 300*time.Millisecond) })
				n++
			})
		}},
		{"clocks apart, seen at the next start", set(func(i *simInstance) {
			i.clockOffset = time.Duration(own.IntN(9800)-4900) * time.Millisecond
		}, func(*simInstance) {})},
		{"log silent", logTo(logSilent)},
		{"log refuses", logTo(logRefusing)},
		{"log slow", logTo(logSlow)},
		{"log loses answers", logTo(logLosingAnswers)},
		{"an instance joins", func(f *simFleet) { f.add(ids.InstanceID(fmt.Sprint("joined", own.Uint32()))) }},
		{"an instance is gone for good", func(f *simFleet) { each(f, 0.01, own, func(i *simInstance) { i.kill() }) }},
	}
	k := kinds[random.IntN(len(kinds))]
	return fault{at: at, do: k.do, why: fmt.Sprintf("%v: %s, share %v, %v", at, k.why, share, lasts)}
}

// restart ends an instance's process and starts a new one after a pause.
func restart(i *simInstance, end func(), pause time.Duration) {
	go func() {
		end()
		time.Sleep(pause)
		i.fleet.mu.Lock()
		down := i.process == nil
		i.fleet.mu.Unlock()
		if down {
			i.start()
		}
	}()
}

// playSchedule runs a fleet under the faults of a seed and returns the workspace's most requests in a window.
func playSchedule(seed uint64, limit quota.Limit, faults []fault, length time.Duration, queued float64) (most int, at time.Duration, ran, asked int) {
	f := newSimFleet(seed, limit, 8)
	time.Sleep(warmUp)
	began := time.Now()
	for _, x := range faults {
		time.AfterFunc(x.at, func() { x.do(f) })
	}
	t := &traffic{fleet: f, queued: queued}
	t.run(rand.New(rand.NewPCG(seed, 1)), length, int(demand*limit.Rate))
	time.Sleep(maxLateAppend)
	f.mu.Lock()
	l := f.instances
	f.mu.Unlock()
	for _, i := range l {
		i.kill()
	}
	time.Sleep(time.Minute)
	n, start := t.most(began, began.Add(length))
	return n, start.Sub(began), len(t.uses), t.asked
}

// schedules is the number of seeds that the schedule test plays, SCHEDULES in the environment or a few.
func schedules() int {
	if n, err := strconv.Atoi(os.Getenv("SCHEDULES")); err == nil {
		return n
	}
	return 12
}

// Guards against a workspace that gets more than its limit because several instances grant at once, a restarted one
// grants again, or tokens are used long after their grant: the incident QUOTA.
func TestNoWindowExceedsTheLimitUnderFaults(t *testing.T) {
	limit := quota.Limit{Rate: 100, Burst: 100}
	for seed := range uint64(schedules()) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 2))
			var faults []fault
			for at := time.Duration(0); at < 16*time.Second; at += time.Duration(random.IntN(4000)) * time.Millisecond {
				faults = append(faults, randomFault(random, at))
			}
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				most, at, ran, asked := playSchedule(seed, limit, faults, 20*time.Second, 0.25)
				t.Logf("%d of %d ran; most in %v: %d from %v on, allowed %.0f", ran, asked, quotaWindow, most, at, allowed(limit))
				if float64(most) > allowed(limit) {
					for _, x := range faults {
						t.Log(x.why)
					}
				}
				c.Assert(float64(most) <= allowed(limit), qt.IsTrue)
			})
		})
	}
}

// checkSchedule plays faults on a fleet, with a workspace at five times its rate.
func checkSchedule(t *testing.T, faults ...fault) {
	limit := quota.Limit{Rate: 100, Burst: 100}
	synctest.Test(t, func(t *testing.T) {
		most, at, ran, asked := playSchedule(1, limit, faults, 20*time.Second, 0)
		t.Logf("%d of %d ran; most in %v: %d from %v on, allowed %.0f", ran, asked, quotaWindow, most, at, allowed(limit))
		comment := qt.Commentf("%d of %d ran; most in %v: %d from %v on, allowed %.0f", ran, asked, quotaWindow, most, at, allowed(limit))
		qt.Assert(t, float64(most) <= allowed(limit), qt.IsTrue, comment)
	})
}

// Guards against several instances that grant one workspace's requests at once because they reach neither each
// other nor the log.
func TestSeparatedInstancesShareOneLimit(t *testing.T) {
	checkSchedule(t, fault{at: 5 * time.Second, do: func(f *simFleet) {
		for _, i := range f.instances {
			i.separate(true)
			time.AfterFunc(3*time.Second, func() { i.separate(false) })
		}
	}})
}

// Guards against grants that are forgotten when all instances restart, so that the workspace gets a burst again each time.
func TestRestartDoesNotForgetGrants(t *testing.T) {
	var faults []fault
	for at := time.Second; at < 6*time.Second; at += 1200 * time.Millisecond {
		faults = append(faults, fault{at: at, do: func(f *simFleet) {
			for _, i := range f.instances {
				restart(i, i.kill, 200*time.Millisecond)
			}
		}})
	}
	checkSchedule(t, faults...)
}

// Guards against tokens that requests hold for seconds, return without having run, and others then use in addition to the
// tokens of their own window.
func TestReturnedTokensKeepTheirAge(t *testing.T) {
	limit := quota.Limit{Rate: 100, Burst: 100}
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newSimFleet(1, limit, 3)
		time.Sleep(warmUp)
		p := f.instances["i0"].process
		take := func(d time.Duration) (n int) {
			for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
				if p.limiter.Take(context.Background(), hotWorkspace, 0).OK {
					n++
				}
			}
			return n
		}
		held := take(2 * time.Second)
		for range held {
			p.limiter.Return(hotWorkspace)
		}
		n := 0
		for range held {
			if p.limiter.Take(context.Background(), hotWorkspace, 0).OK {
				n++
			}
		}
		n += take(quotaWindow)
		for _, i := range f.instances {
			i.kill()
		}
		time.Sleep(time.Minute)
		c.Assert(float64(n) <= allowed(limit), qt.IsTrue, qt.Commentf("%d requests sent and run in %v, allowed %.0f", n, quotaWindow, allowed(limit)))
	})
}
