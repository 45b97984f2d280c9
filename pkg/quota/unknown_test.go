package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/quota"
)

// Guards against a shard that nobody can claim after a loss of all, because each report of any instance that comes before the claim
// makes it fail: many instances report more often than a slow one reads and appends.
func TestUnknownShardIsClaimedInABusyLog(t *testing.T) {
	c := qt.New(t)
	const history = 100
	claimant := quota.NewLeases(start, quota.Run{Instance: "claimant", ID: "1"})
	other := quota.NewLeases(start, quota.Run{Instance: "other", ID: "1"})
	for _, l := range []*quota.Leases{claimant, other} {
		l.Begin(start, history)
	}
	now := start.Add(quota.LeaseTime + time.Second)
	claim, ok := claimant.NewClaim(now, []quota.Shard{shard})
	c.Assert(ok, qt.IsTrue)
	for _, r := range []quota.Report{other.NewReport(now), claim} {
		claimant.Apply(now, r)
		other.Apply(now, r)
	}
	c.Check(holds(claimant, now), qt.IsTrue)
	owner, _ := other.Owner(shard)
	c.Check(owner, qt.Equals, ids.InstanceID("claimant"))
}

// Guards against a shard that two runs grant from because a leaving run, which has missed the next owner's claim in a gap of the log,
// reads its own release late and repeats it as one that had read the claim.
func TestLateReleaseAfterAGap(t *testing.T) {
	c := qt.New(t)
	l := &logOf{}
	leaving, next := l.join(start, "leaving", "1"), l.join(start, "next", "1")
	now := start.Add(quota.LeaseTime + time.Second)
	c.Assert(l.claim(now, leaving), qt.IsTrue)
	leaving.Leave()
	late := leaving.NewReport(now)
	now = now.Add(quota.LeaseTime + time.Second)
	l.readers = []*quota.Leases{next}
	c.Assert(l.claim(now, next), qt.IsTrue)
	leaving.Begin(now, firstOffset+ids.Offset(len(l.reports)))
	l.readers = append(l.readers, leaving)
	l.append(now, late)
	fresh := quota.NewLeases(now, quota.Run{Instance: "fresh", ID: "1"})
	fresh.Begin(now, firstOffset+ids.Offset(len(l.reports)))
	l.readers = append(l.readers, fresh)
	l.append(now, leaving.NewReport(now))
	c.Assert(holds(next, now), qt.IsTrue)
	c.Assert(l.claim(now, fresh), qt.IsFalse)
}

// Guards against a shard that two runs grant from, and against runs that disagree about its owner, with runs that freeze for
// seconds, also while a claim is under way, and whose clocks differ in speed. In half of the schedules runs complain of owners.
func TestFrozenRunsShareNoShard(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		l := &modelLog{random: random, complaints: seed >= 100}
		began := time.Unix(0, 0)
		now, started, held := began, 0, 0
		runs, frozen, speed := make([]*modelRun, 5), make([]time.Time, 5), make([]float64, 5)
		clock := func(n int) time.Time { return began.Add(time.Duration(speed[n] * float64(now.Sub(began)))) }
		for range 2500 {
			now = now.Add(time.Duration(random.IntN(40)) * time.Millisecond)
			l.deliver(now)
			n := random.IntN(len(runs))
			switch {
			case runs[n] == nil || random.IntN(300) == 0:
				started++
				speed[n], frozen[n] = 0.99+random.Float64()/50, began
				run := quota.Run{Instance: ids.InstanceID(fmt.Sprint("i", n)), ID: fmt.Sprint(started)}
				runs[n] = &modelRun{run: run, leases: quota.NewLeases(clock(n), run)}
			case random.IntN(100) == 0:
				frozen[n] = now.Add(time.Duration(random.IntN(9000)) * time.Millisecond)
			}
			if !now.Before(frozen[n]) {
				runs[n].step(clock(n), l)
			}
			for s := range quota.Shard(modelShards) {
				var holders []quota.Run
				owners := make(map[ids.Offset]ids.InstanceID)
				for n, r := range runs {
					if r == nil {
						continue
					}
					if _, _, ok := r.leases.Holds(clock(n), s); ok {
						holders = append(holders, r.run)
					}
					if d := r.leases.Describe(s); d.Certain {
						next, _ := r.leases.Next()
						owner, known := owners[next]
						qt.Assert(t, !known || owner == d.Instance, qt.IsTrue, qt.Commentf("seed %d, %v: owners of shard %d at %d: %s, %s", seed, now.Sub(began), s, next, owner, d.Instance))
						owners[next] = d.Instance
					}
				}
				held += len(holders)
				qt.Assert(t, len(holders) <= 1, qt.IsTrue, qt.Commentf("seed %d, %v: shard %d is held by %v", seed, now.Sub(began), s, holders))
			}
		}
		qt.Check(t, held > 20, qt.IsTrue, qt.Commentf("seed %d: shards held at %d steps only", seed, held))
	}
}
