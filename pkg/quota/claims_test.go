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

const (
	// modelShards is the number of shards that the runs of the model compete for.
	modelShards = 3
	// maxLate is how much later than it was sent an append of the model takes effect.
	maxLate = 9 * time.Second
)

// modelRun is one run of an instance of the model, with what it has read of the log.
type modelRun struct {
	run    quota.Run
	leases *quota.Leases
	read   ids.Offset
	// stalled is until when the run reads nothing.
	stalled time.Time
}

// modelLog is a log whose appends take effect at once, late or never.
type modelLog struct {
	random  *rand.Rand
	records []quota.Report
	late    []lateAppend
	// complaints is set if reports complain of owners, which may give shards up.
	complaints bool
	givenUp    int
}

type lateAppend struct {
	at     time.Time
	report quota.Report
}

func (l *modelLog) append(now time.Time, r quota.Report) {
	switch l.random.IntN(6) {
	case 0:
		l.late = append(l.late, lateAppend{now.Add(time.Duration(l.random.Int64N(int64(maxLate)))), r})
	case 1:
	default:
		l.records = append(l.records, r)
	}
}

func (l *modelLog) deliver(now time.Time) {
	kept := l.late[:0]
	for _, a := range l.late {
		if now.Before(a.at) {
			kept = append(kept, a)
			continue
		}
		l.records = append(l.records, a.report)
	}
	l.late = kept
}

// step lets a run read, report or claim.
func (r *modelRun) step(now time.Time, l *modelLog) {
	if _, ok := r.leases.Next(); !ok {
		r.read = ids.Offset(max(0, len(l.records)-l.random.IntN(20)))
		r.leases.Begin(now, r.read)
	}
	if !now.Before(r.stalled) && l.random.IntN(3) > 0 {
		for ; r.read < ids.Offset(len(l.records)); r.read++ {
			if l.random.IntN(40) == 0 {
				break // the rest is read later
			}
			r.leases.Apply(now, l.records[r.read])
		}
		l.givenUp += len(r.leases.GiveUp(now))
	}
	switch l.random.IntN(30) {
	case 0:
		r.stalled = now.Add(time.Duration(l.random.IntN(6000)) * time.Millisecond)
	case 1:
		r.read = ids.Offset(len(l.records))
		r.leases.Begin(now, r.read) // the log forgets
	case 2, 3, 4, 5, 6, 7, 8:
		report := r.leases.NewReport(now)
		for s := range quota.Shard(modelShards) {
			if l.complaints && l.random.IntN(3) == 0 {
				report.Complaints = append(report.Complaints, quota.Complaint{Shard: s, Claimed: r.leases.Describe(s).Claimed})
			}
		}
		l.append(now, report)
	case 9, 10, 11, 12, 13, 14, 15, 16:
		var wanted []quota.Shard
		for s := range quota.Shard(modelShards) {
			if l.random.IntN(2) == 0 {
				wanted = append(wanted, s)
			}
		}
		if claim, ok := r.leases.NewClaim(now, wanted); ok {
			l.append(now, claim)
		}
	case 17:
		if l.random.IntN(20) == 0 {
			r.leases.Leave()
		}
	}
}

// Guards against a shard that two runs grant from after appends, claims among them, that took effect seconds late, with runs that
// begin in the middle of the log, stop reading, or read a part of what is new.
func TestOneRunHoldsAShard(t *testing.T) {
	for seed := range uint64(500) {
		playModel(t, seed, false)
	}
}

// playModel plays one schedule and returns how many shards were given up because of complaints.
func playModel(t *testing.T, seed uint64, complaints bool) (givenUp int) {
	random := rand.New(rand.NewPCG(seed, 0))
	l := &modelLog{random: random, complaints: complaints}
	now := time.Unix(0, 0)
	runs, started := make([]*modelRun, 5), 0
	held := 0
	for range 1500 {
		now = now.Add(time.Duration(random.IntN(40)) * time.Millisecond)
		l.deliver(now)
		n := random.IntN(len(runs))
		if runs[n] == nil || random.IntN(600) == 0 {
			started++
			run := quota.Run{Instance: ids.InstanceID(fmt.Sprint("i", n)), ID: fmt.Sprint(started)}
			runs[n] = &modelRun{run: run, leases: quota.NewLeases(now, run)}
		}
		runs[n].step(now, l)
		for s := range quota.Shard(modelShards) {
			var holders []quota.Run
			for _, r := range runs {
				if r == nil {
					continue
				}
				if _, _, ok := r.leases.Holds(now, s); ok {
					holders = append(holders, r.run)
				}
			}
			held += len(holders)
			qt.Assert(t, len(holders) <= 1, qt.IsTrue, qt.Commentf("seed %d, %v: shard %d is held by %v", seed, now.Sub(time.Unix(0, 0)), s, holders))
		}
	}
	qt.Check(t, held > 20, qt.IsTrue, qt.Commentf("seed %d: shards held at %d steps only", seed, held))
	return l.givenUp
}

// Guards against a run that takes a valid claim for void, and claims beside its owner, because it has read only a repetition of the
// release before the claim.
func TestRepeatedReleaseBeforeAClaim(t *testing.T) {
	c := qt.New(t)
	const s = quota.Shard(1)
	newRun := func(id ids.InstanceID, from ids.Offset) *quota.Leases {
		l := quota.NewLeases(start, quota.Run{Instance: id, ID: "1"})
		l.Begin(start, from)
		return l
	}
	leaving, next, fresh := newRun("leaving", 0), newRun("next", 0), newRun("fresh", 2)
	claim, ok := leaving.NewClaim(start, []quota.Shard{s})
	c.Assert(ok, qt.IsTrue)
	leaving.Apply(start, claim)
	next.Apply(start, claim)
	leaving.Leave()
	release := leaving.NewReport(start)
	leaving.Apply(start, release)
	next.Apply(start, release)
	// The release is repeated before the claim of one who has read its first report.
	claim, ok = next.NewClaim(start, []quota.Shard{s})
	c.Assert(ok, qt.IsTrue)
	for _, r := range []quota.Report{leaving.NewReport(start), claim} {
		next.Apply(start, r)
		fresh.Apply(start, r)
	}
	if claim, ok = fresh.NewClaim(start, []quota.Shard{s}); ok {
		fresh.Apply(start, claim) // the other has not read it yet
	}
	held := 0
	for _, l := range []*quota.Leases{next, fresh} {
		if _, _, ok := l.Holds(start, s); ok {
			held++
		}
	}
	c.Assert(held, qt.Equals, 1)
}

// Guards against an owner that can't judge later claims, and so grants beside the next owner, because a claim from before its
// history took effect after its own.
func TestOwnerJudgesClaimsFromBeforeItsHistory(t *testing.T) {
	c := qt.New(t)
	const s = quota.Shard(1)
	const history = 100
	owner := quota.NewLeases(start, quota.Run{Instance: "owner", ID: "1"})
	owner.Begin(start, history)
	next := quota.NewLeases(start, quota.Run{Instance: "next", ID: "1"})
	next.Begin(start, 0)
	late := quota.NewLeases(start, quota.Run{Instance: "late", ID: "1"})
	late.Begin(start, 0)
	lateClaim, ok := late.NewClaim(start, []quota.Shard{s})
	c.Assert(ok, qt.IsTrue)
	for range history {
		next.Skip()
	}
	now := start.Add(quota.LeaseTime + time.Second)
	claim, ok := owner.NewClaim(now, []quota.Shard{s})
	c.Assert(ok, qt.IsTrue)
	for _, r := range []quota.Report{claim, lateClaim} {
		owner.Apply(now, r)
		next.Apply(now, r)
	}
	// The owner freezes, and another report lies between what the next owner had read and its claim.
	now = now.Add(quota.LeaseTime + time.Second)
	claim, ok = next.NewClaim(now, []quota.Shard{s})
	c.Assert(ok, qt.IsTrue)
	for _, r := range []quota.Report{{Run: quota.Run{Instance: "third", ID: "1"}}, claim, owner.NewReport(now)} {
		owner.Apply(now, r)
		next.Apply(now, r)
	}
	_, _, ok = next.Holds(now, s)
	c.Assert(ok, qt.IsTrue)
	_, _, ok = owner.Holds(now, s)
	c.Assert(ok, qt.IsFalse)
}
