// The race detector's runtime crashes in processes that have run many simulated fleets; test.sh runs these files without it.

//go:build !race

package grants_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/quota"
)

// ownerOf returns the owner of the first part of the limit, as an instance knows it.
func (i *simInstance) ownerOf() (o quota.Ownership) {
	i.process.limiter.View(func(l *quota.Limiter) { o = l.Leases.Describe(quota.ShardOf(hotWorkspace, 0)) })
	return o
}

// silentOwnerTime returns the longest time until an owner is replaced that does not report either: its lease, and the time between
// reports in a fleet of a number of instances. An owner that gets the calls and
// answers too late has lateTime longer: an instance complains for 4 s until it counts, and one that was answered once counts for 2 s.
func silentOwnerTime(instances int) time.Duration {
	return quota.LeaseTime + 100*time.Millisecond + max(time.Second, time.Duration(instances)*8*time.Millisecond)
}

const lateTime = 6 * time.Second

// callTimeout is how long an instance waits for the answer to a call for a token.
const callTimeout = 60 * time.Millisecond

// delayGrants delays the answers of an instance to calls for tokens by a time between shortest and longest.
func (i *simInstance) delayGrants(shortest, longest time.Duration) {
	grant := i.process.methods["grant"]
	i.process.methods["grant"] = func(ctx context.Context, params json.RawMessage) (any, error) {
		r, err := grant(ctx, params)
		time.Sleep(shortest + time.Duration(i.fleet.intN(int(longest-shortest))))
		return r, err
	}
}

// rareRequests sends requests to random instances, which take tokens as the gateway does, and returns how many of them were refused.
func (f *simFleet) rareRequests(d time.Duration, perSecond int) (asked, refused int) {
	var wait sync.WaitGroup
	var mu sync.Mutex
	all := f.all()
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(time.Second / time.Duration(perSecond)) {
		p := all[f.intN(len(all))].process
		asked++
		wait.Go(func() {
			for giveUpAt := time.Now().Add(maxTokenWait); ; {
				d := p.limiter.Take(context.Background(), hotWorkspace, 0, time.Until(giveUpAt))
				if d.OK {
					return
				}
				if d.Retry > time.Until(giveUpAt) {
					break
				}
				time.Sleep(d.Retry)
			}
			mu.Lock()
			defer mu.Unlock()
			refused++
		})
	}
	wait.Wait()
	return asked, refused
}

// Guards against an owner that other instances do not reach and that keeps its shards for longer than one that does not report, and
// against one that loses them to the complaints of a few cut-off instances, to answers that are often late, or to a short pause.
func TestComplaintsReplaceOnlyOwnersWithoutAnswers(t *testing.T) {
	others := func(f *simFleet, owner ids.InstanceID, count int, do func(i *simInstance)) {
		for _, i := range f.all() {
			if i.id != owner && count > 0 {
				count--
				i.set(func() { do(i) })
			}
		}
	}
	for _, test := range []struct {
		name     string
		do       func(f *simFleet, owner *simInstance)
		replaced bool
		extra    time.Duration
	}{
		{"cut", func(_ *simFleet, owner *simInstance) { owner.set(func() { owner.cut = true }) }, true, 0},
		{"each answer late", func(_ *simFleet, owner *simInstance) { owner.delayGrants(time.Second, 2*time.Second) }, true, lateTime},
		{"two others cut", func(f *simFleet, owner *simInstance) {
			others(f, owner.id, 2, func(i *simInstance) { i.cut = true })
		}, false, 0},
		{"half of the answers late", func(_ *simFleet, owner *simInstance) { owner.delayGrants(0, 2*callTimeout) }, false, 0},
		{"half a second's pause", func(_ *simFleet, owner *simInstance) {
			owner.set(func() { owner.frozenUntil = time.Now().Add(500 * time.Millisecond) })
		}, false, 0},
	} {
		for _, x := range []struct{ instances, perSecond int }{{3, 12}, {fleetSize, 4}, {fleetSize, 40}, {largeFleet, 40}} {
			t.Run(fmt.Sprintf("%s/%d instances, %d a second", test.name, x.instances, x.perSecond), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newSimFleet(1, quota.Limit{Rate: 2 * float64(x.perSecond), Burst: 4}, x.instances)
					defer f.close()
					time.Sleep(warmUp)
					asker := f.all()[0]
					asker.process.limiter.Take(context.Background(), hotWorkspace, 0, maxTokenWait)
					var asked, refused int
					var requests sync.WaitGroup
					requests.Go(func() { asked, refused = f.rareRequests(18*time.Second, x.perSecond) })
					time.Sleep(3 * time.Second)
					before := asker.ownerOf()
					if before.Instance == asker.id {
						asker = f.all()[1]
					}
					test.do(f, f.instances[before.Instance])
					disturbed, replacedAfter := time.Now(), time.Duration(0)
					for time.Since(disturbed) < 14*time.Second {
						time.Sleep(50 * time.Millisecond)
						if o := asker.ownerOf(); replacedAfter == 0 && o.Instance != "" && o.Claimed != before.Claimed {
							replacedAfter = time.Since(disturbed)
						}
					}
					requests.Wait()
					t.Logf("replaced after %v; %d of %d refused", replacedAfter, refused, asked)
					if test.replaced {
						qt.Assert(t, replacedAfter > 0 && replacedAfter <= silentOwnerTime(x.instances)+test.extra, qt.IsTrue)
					} else {
						qt.Assert(t, replacedAfter, qt.Equals, time.Duration(0))
					}
				})
			})
		}
	}
}
