package quota_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/quota"
)

const shard quota.Shard = 7

// logOf is a log of reports that several runs read.
type logOf struct {
	reports []quota.Report
	readers []*quota.Leases
}

// firstOffset is the offset of the first report that is retained.
const firstOffset = 30

func (l *logOf) join(now time.Time, instance ids.InstanceID, run string) *quota.Leases {
	leases := quota.NewLeases(now, quota.Run{Instance: instance, ID: run})
	leases.Begin(now, firstOffset)
	for _, r := range l.reports {
		leases.Apply(now, r)
	}
	l.readers = append(l.readers, leases)
	return leases
}

// append appends a report, which all readers read at once.
func (l *logOf) append(now time.Time, r quota.Report) {
	l.reports = append(l.reports, r)
	for _, reader := range l.readers {
		reader.Apply(now, r)
	}
}

func (l *logOf) claim(now time.Time, leases *quota.Leases) bool {
	r, ok := leases.NewClaim(now, []quota.Shard{shard})
	if ok {
		l.append(now, r)
	}
	return ok
}

func holds(l *quota.Leases, now time.Time) bool {
	_, _, ok := l.Holds(now, shard)
	return ok
}

// Guards against two instances that grant from one shard: the next one claims only after the lease of the last one has ended.
func TestClaimWaitsForTheLease(t *testing.T) {
	c := qt.New(t)
	l := &logOf{}
	now := start
	a, b := l.join(now, "a", "1"), l.join(now, "b", "1")
	c.Assert(l.claim(now, a), qt.IsFalse, qt.Commentf("an unknown owner may hold a lease"))
	now = now.Add(quota.LeaseTime + time.Second)
	c.Assert(l.claim(now, a), qt.IsTrue)
	c.Assert(holds(a, now), qt.IsTrue)
	now = now.Add(2 * time.Second)
	l.append(now, a.NewReport(now))
	now = now.Add(quota.LeaseTime)
	c.Assert(holds(a, now), qt.IsFalse)
	c.Assert(l.claim(now, b), qt.IsFalse)
	now = now.Add(time.Second)
	c.Assert(l.claim(now, b), qt.IsTrue)
	l.append(now, a.NewReport(now))
	c.Assert(holds(a, now), qt.IsFalse, qt.Commentf("the lost shard does not come back with a new lease"))
	c.Assert(holds(b, now), qt.IsTrue)
}

// Guards against a lease that is counted from when the log took a report, which may be long after it was sent.
func TestLeaseCountsFromTheSending(t *testing.T) {
	c := qt.New(t)
	l := &logOf{}
	a := l.join(start, "a", "1")
	now := start.Add(quota.LeaseTime + time.Second)
	c.Assert(l.claim(now, a), qt.IsTrue)
	late := a.NewReport(now)
	l.append(now.Add(3*time.Second), late)
	c.Assert(holds(a, now.Add(quota.LeaseTime)), qt.IsFalse)
}

// Guards against refusals for the time of a lease after a planned stop or a restart, where the last owner is known to have
// ended.
func TestReleasedShardIsFreeAtOnce(t *testing.T) {
	c := qt.New(t)
	l := &logOf{}
	a, b := l.join(start, "a", "1"), l.join(start, "b", "1")
	now := start.Add(quota.LeaseTime + time.Second)
	c.Assert(l.claim(now, a), qt.IsTrue)
	again := l.join(now, "a", "2")
	free, ok := again.FreeAt(shard)
	c.Assert(ok, qt.IsTrue)
	c.Assert(free, qt.Equals, now, qt.Commentf("the earlier run on the instance has ended"))
	a.Leave()
	c.Assert(holds(a, now), qt.IsFalse)
	l.append(now, a.NewReport(now))
	c.Assert(l.claim(now, a), qt.IsFalse)
	c.Assert(l.claim(now, b), qt.IsTrue)
	l.append(now, a.NewReport(now))
	c.Assert(holds(b, now), qt.IsTrue, qt.Commentf("a second release does not concern the next owner"))
}

// Guards against an instance that trusts an old statement about a shard although it has not read the reports that the
// statement's writer had not read either.
func TestStatementsBeforeTheHistoryAreNotCertain(t *testing.T) {
	c := qt.New(t)
	now := start
	fresh := quota.NewLeases(now, quota.Run{Instance: "a", ID: "2"})
	fresh.Begin(now, 100)
	owned := []quota.Owned{{Shard: shard, Claimed: 50}}
	fresh.Apply(now, quota.Report{Run: quota.Run{Instance: "a", ID: "1"}, Seq: 9, Read: 90, Owned: owned})
	_, ok := fresh.NewClaim(now, []quota.Shard{shard})
	c.Assert(ok, qt.IsFalse)
	fresh.Apply(now, quota.Report{Run: quota.Run{Instance: "a", ID: "1"}, Seq: 10, Read: 101, Owned: owned})
	_, ok = fresh.NewClaim(now, []quota.Shard{shard})
	c.Assert(ok, qt.IsTrue)
}

// Guards against an owner that goes on although the log has forgotten reports that it has not read, which may hold a claim.
func TestGapEndsOwnership(t *testing.T) {
	c := qt.New(t)
	l := &logOf{}
	a := l.join(start, "a", "1")
	now := start.Add(quota.LeaseTime + time.Second)
	c.Assert(l.claim(now, a), qt.IsTrue)
	a.Begin(now, 40)
	c.Assert(holds(a, now), qt.IsFalse)
	_, ok := a.NewClaim(now.Add(quota.LeaseTime), []quota.Shard{shard})
	c.Assert(ok, qt.IsFalse)
	_, ok = a.NewClaim(now.Add(quota.LeaseTime+time.Second), []quota.Shard{shard})
	c.Assert(ok, qt.IsTrue)
}

// Guards against a fleet that starts for the first time and refuses all requests for the time of a lease.
func TestShardThatWasNeverClaimedIsFree(t *testing.T) {
	c := qt.New(t)
	first := quota.NewLeases(start, quota.Run{Instance: "a", ID: "1"})
	first.Begin(start, 0)
	_, ok := first.NewClaim(start, []quota.Shard{shard})
	c.Assert(ok, qt.IsTrue)
}

// Guards against the parts of one workspace's limit that are all claimed by the same instance.
func TestPartsHaveDifferentCandidates(t *testing.T) {
	c := qt.New(t)
	l := &logOf{}
	a := l.join(start, "a", "1")
	for _, id := range []ids.InstanceID{"b", "c", "d"} {
		l.append(start, quota.Report{Run: quota.Run{Instance: id, ID: "1"}, Seq: 1})
	}
	l.append(start, a.NewReport(start))
	first := make(map[ids.InstanceID]bool)
	for part := range quota.Parts {
		first[a.Candidates(start, quota.ShardOf("w", part), "", 1)[0]] = true
	}
	c.Assert(first, qt.HasLen, 4)
}

// Guards against owners on the weakest instances, which all instances call, and against parts of a limit at fewer owners because few
// instances are strong.
func TestCandidatesAreStrong(t *testing.T) {
	for name, x := range map[string]struct{ weak, strong, want int }{
		"half":       {weak: 10, strong: 10, want: 4},
		"few strong": {weak: 18, strong: 2, want: 4},
		"one strong": {weak: 3, strong: 1, want: 4},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l := &logOf{}
			a := l.join(start, "a", "1")
			cpu := make(map[ids.InstanceID]float64)
			for i := range x.weak + x.strong {
				id := ids.InstanceID(fmt.Sprint("i", i))
				if cpu[id] = 0.2; i >= x.weak {
					cpu[id] = 1
				}
				l.append(start, quota.Report{Run: quota.Run{Instance: id, ID: "1"}, CPU: cpu[id]})
			}
			first := make(map[ids.InstanceID]bool)
			for part := range quota.Parts {
				id := a.Candidates(start, quota.ShardOf("w", part), "", 1)[0]
				first[id] = true
				c.Check(x.strong < x.weak || cpu[id] == 1, qt.IsTrue, qt.Commentf("%s is weak", id))
			}
			c.Check(first, qt.HasLen, x.want)
			c.Check(a.Candidates(start, quota.ShardOf("w", 0), "", 100), qt.HasLen, x.weak+x.strong)
		})
	}
}
