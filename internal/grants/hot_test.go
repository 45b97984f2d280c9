// The race detector's runtime crashes in processes that have run many simulated fleets; test.sh runs these files without it.

//go:build !race

package grants_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/quota"
)

// hotTenant is what becomes of the requests of one workspace that sends many times its limit.
type hotTenant struct {
	fleet *simFleet
	wait  sync.WaitGroup

	mu                                sync.Mutex
	asked, ran, exceeded, unavailable int
	uses                              []use
	calls                             map[ids.InstanceID]int // for tokens, at each instance
}

// serveSlowly makes an instance serve calls for tokens one after the other, each in a time, also if the caller has given up.
func (h *hotTenant) serveSlowly(i *simInstance, perCall time.Duration) {
	var mu sync.Mutex
	var busyUntil time.Time
	for _, name := range []string{"grant", "confirm"} {
		method := i.process.methods[name]
		i.process.methods[name] = func(ctx context.Context, params json.RawMessage) (any, error) {
			mu.Lock()
			if now := time.Now(); busyUntil.Before(now) {
				busyUntil = now
			}
			busyUntil = busyUntil.Add(perCall)
			served := time.Until(busyUntil)
			mu.Unlock()
			h.mu.Lock()
			h.calls[i.id]++
			h.mu.Unlock()
			time.Sleep(served)
			if served > callTimeout { // the server knows how long the caller waits
				expired, cancel := context.WithCancel(ctx)
				cancel()
				ctx = expired
			}
			return method(ctx, params)
		}
	}
}

// run sends requests to random instances for a time. Every second one is a first request of a program.
func (h *hotTenant) run(d time.Duration, perSecond int) {
	all := h.fleet.all()
	h.mu.Lock()
	h.asked, h.ran, h.exceeded, h.unavailable = 0, 0, 0, 0
	clear(h.calls)
	h.mu.Unlock()
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(time.Second / time.Duration(perSecond)) {
		p := all[h.fleet.intN(len(all))].process
		headroom, wait := 0.2, 300*time.Millisecond
		if h.fleet.intN(2) == 0 {
			headroom, wait = 0, 1200*time.Millisecond
		}
		h.asked++
		h.wait.Go(func() { h.send(p, headroom, wait) })
	}
}

// send sends one request, which takes its token as the gateway does.
func (h *hotTenant) send(p *simProcess, headroom float64, wait time.Duration) {
	sent := time.Now()
	for giveUpAt := sent.Add(wait); ; {
		d := p.limiter.Take(context.Background(), hotWorkspace, headroom, max(time.Until(giveUpAt), 0))
		if !d.OK && d.Retry <= time.Until(giveUpAt) {
			time.Sleep(d.Retry)
			continue
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		switch {
		case d.OK:
			h.ran++
			h.uses = append(h.uses, use{sent, time.Now()})
		case d.Unavailable:
			h.unavailable++
		default:
			h.exceeded++
		}
		return
	}
}

// mostCalls returns the calls for tokens at the instance that had the most, per second.
func (h *hotTenant) mostCalls(d time.Duration) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	most := 0
	for _, n := range h.calls {
		most = max(most, n)
	}
	return float64(most) / d.Seconds()
}

// Guards against a workspace far above its limit whose requests overload the owners of its parts: it gets less than its limit, its
// requests are refused as if the limit were not known, and refusals go on when it sends less than its limit again.
func TestHotTenantGetsItsLimit(t *testing.T) {
	limit := quota.Limit{Rate: 318, Burst: 318}
	const length = 6 * time.Second
	for _, x := range []struct {
		instances, perSecond int
		perCall, settle      time.Duration
	}{
		{largeFleet, 4400, time.Millisecond, 4 * time.Second},
		{largeFleet, 4400, 2 * time.Millisecond, 10 * time.Second},
		{largeFleet, 640, time.Millisecond, 4 * time.Second},
		{fleetSize, 4400, time.Millisecond, 4 * time.Second},
	} {
		t.Run(fmt.Sprintf("%d instances, %d a second, %v a call", x.instances, x.perSecond, x.perCall), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSimFleet(1, limit, x.instances)
				defer f.close()
				h := &hotTenant{fleet: f, calls: make(map[ids.InstanceID]int)}
				for _, i := range f.all() {
					h.serveSlowly(i, x.perCall)
				}
				time.Sleep(warmUp)
				h.run(x.settle, x.perSecond/10)
				h.run(x.settle, x.perSecond)
				h.run(length, x.perSecond)
				share, calls := float64(h.ran)/(limit.Rate*length.Seconds()), h.mostCalls(length)
				t.Logf("granted %.2f of the limit, %d x 503, %d x 429 of %d, %.0f calls a second at one owner", share, h.unavailable, h.exceeded, h.asked, calls)
				qt.Check(t, share >= 0.9, qt.IsTrue)
				qt.Check(t, h.unavailable*20 <= h.exceeded, qt.IsTrue)
				h.run(x.settle, int(limit.Rate/2))
				h.run(length, int(limit.Rate/2))
				h.wait.Wait()
				t.Logf("at half of the limit %d of %d refused", h.unavailable+h.exceeded, h.asked)
				qt.Check(t, h.unavailable+h.exceeded, qt.Equals, 0)
				slices.SortFunc(h.uses, func(a, b use) int { return a.sent.Compare(b.sent) })
				tr := traffic{uses: h.uses}
				most, _ := tr.most(h.uses[0].sent, time.Now())
				t.Logf("most in %v: %d, guaranteed %.0f", quotaWindow, most, guaranteed(limit))
				qt.Check(t, float64(most) <= guaranteed(limit), qt.IsTrue)
			})
		})
	}
}
