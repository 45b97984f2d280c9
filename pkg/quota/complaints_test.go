package quota_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/quota"
)

// complain makes instances report that the owner of shard does not answer.
func (l *logOf) complain(now time.Time, claimed ids.Offset, from ...ids.InstanceID) {
	for _, id := range from {
		l.append(now, quota.Report{
			Run: quota.Run{Instance: id, ID: "1"}, Read: firstOffset + ids.Offset(len(l.reports)),
			Complaints: []quota.Complaint{{Shard: shard, Claimed: claimed}},
		})
	}
}

// Guards against an owner that gives its shard up because of one cut-off instance, fewer than two thirds of those that asked, complaints that
// are old, withdrawn or about an earlier claim, or a moment after its claim; and against one that keeps it although most complain.
func TestComplaints(t *testing.T) {
	for name, test := range map[string]struct {
		from, answered, late []ids.InstanceID
		held, wait           time.Duration
		withdrawn            bool
		claimedBefore        ids.Offset
		want                 bool
	}{
		"one":                 {from: []ids.InstanceID{"b"}, held: time.Minute},
		"two":                 {from: []ids.InstanceID{"b", "c"}, held: time.Minute, want: true},
		"two of three":        {from: []ids.InstanceID{"b", "c"}, answered: []ids.InstanceID{"d"}, held: time.Minute},
		"two of five":         {from: []ids.InstanceID{"b", "c"}, answered: []ids.InstanceID{"d", "e", "f"}, held: time.Minute},
		"answered too late":   {from: []ids.InstanceID{"b", "c"}, answered: []ids.InstanceID{"b", "c"}, held: time.Minute, want: true},
		"not of the fleet":    {from: []ids.InstanceID{"b", "c"}, answered: []ids.InstanceID{"x", "y", "z"}, held: time.Minute, want: true},
		"their calls arrive":  {from: []ids.InstanceID{"b", "c"}, late: []ids.InstanceID{"b", "c"}, held: time.Minute},
		"withdrawn":           {from: []ids.InstanceID{"b", "c"}, held: time.Minute, withdrawn: true},
		"old":                 {from: []ids.InstanceID{"b", "c"}, held: time.Minute, wait: 5 * time.Second},
		"of an earlier claim": {from: []ids.InstanceID{"b", "c"}, held: time.Minute, claimedBefore: 1},
		"claimed just now":    {from: []ids.InstanceID{"b", "c"}, held: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l := &logOf{}
			now := start.Add(quota.LeaseTime + time.Second)
			a, b := l.join(start, "a", "1"), l.join(start, "b", "1")
			for _, id := range []ids.InstanceID{"c", "d", "e", "f"} {
				l.append(now, quota.Report{Run: quota.Run{Instance: id, ID: "1"}})
			}
			claimed := firstOffset + ids.Offset(len(l.reports))
			c.Assert(l.claim(now, a), qt.IsTrue)
			now = now.Add(test.held)
			l.append(now, a.NewReport(now))
			for _, id := range test.answered {
				a.Answered(now, shard, id)
			}
			for _, id := range test.late {
				a.CalledAgain(now, shard, id)
			}
			l.complain(now, claimed-test.claimedBefore, test.from...)
			if test.withdrawn {
				l.append(now, quota.Report{Run: quota.Run{Instance: "c", ID: "1"}})
			}
			now = now.Add(test.wait)
			c.Assert(len(a.GiveUp(now)) > 0, qt.Equals, test.want)
			if !test.want {
				return
			}
			c.Assert(holds(a, now), qt.IsFalse)
			c.Assert(l.claim(now, b), qt.IsFalse, qt.Commentf("it is not released yet"))
			l.append(now, a.NewReport(now))
			c.Assert(l.claim(now, a), qt.IsFalse, qt.Commentf("the owner that gave up claims first"))
			c.Assert(l.claim(now, b), qt.IsTrue)
			c.Assert(holds(b, now), qt.IsTrue)
			c.Assert(holds(a, now), qt.IsFalse)
		})
	}
}

// Guards against a shard that nobody owns because no other instance claims it after it was given up.
func TestGivenUpShardIsClaimedAgain(t *testing.T) {
	c := qt.New(t)
	l := &logOf{}
	now := start.Add(quota.LeaseTime + time.Second)
	a := l.join(start, "a", "1")
	c.Assert(l.claim(now, a), qt.IsTrue)
	now = now.Add(time.Minute)
	l.complain(now, firstOffset, "b", "c")
	c.Assert(a.GiveUp(now), qt.DeepEquals, []quota.Shard{shard})
	l.append(now, a.NewReport(now))
	now = now.Add(quota.LeaseTime)
	c.Assert(l.claim(now, a), qt.IsTrue)
	c.Assert(holds(a, now), qt.IsTrue)
}

// Guards against a shard that two runs grant from because one has given it up, with appends that are late or lost.
func TestOneRunHoldsAShardWithComplaints(t *testing.T) {
	givenUp := 0
	for seed := range uint64(500) {
		givenUp += playModel(t, seed, true)
	}
	qt.Assert(t, givenUp > 500, qt.IsTrue, qt.Commentf("%d shards given up", givenUp))
}

// Guards against a release for complaints that hides tokens granted ahead, because a claim of another shard is written first.
func TestClaimDoesNotReleaseWithoutDebt(t *testing.T) {
	c := qt.New(t)
	owner := newOwner(quota.Limit{Rate: 10, Burst: 1})
	due := grantAhead(owner, start)
	for _, id := range []ids.InstanceID{"b", "c"} {
		owner.Leases.Apply(start, quota.Report{
			Run: quota.Run{Instance: id}, Complaints: []quota.Complaint{{Shard: quota.ShardOf("w", 0), Claimed: 0}},
		})
	}
	c.Assert(owner.Leases.GiveUp(start), qt.DeepEquals, []quota.Shard{quota.ShardOf("w", 0)})
	other := quota.Shard(0)
	for other == quota.ShardOf("w", 0) || owner.Leases.ValidUntil(other) != (time.Time{}) {
		other++
	}
	claim, ok := owner.Leases.NewClaim(start, []quota.Shard{other})
	c.Assert(ok, qt.IsTrue)
	c.Assert(claim.Released, qt.HasLen, 0)
	released := owner.NewReport(start).Released
	c.Assert(released, qt.HasLen, 1)
	c.Assert(released[0].Debt, qt.Equals, due.Sub(start))
}

// Guards against an overloaded owner that hands its shards to the next one to be overloaded at once, and against one that keeps them
// although its answers come too late for long.
func TestSlowOwnerGivesUpLater(t *testing.T) {
	c := qt.New(t)
	l := &logOf{}
	now := start.Add(quota.LeaseTime + time.Second)
	a := l.join(start, "a", "1")
	c.Assert(l.claim(now, a), qt.IsTrue)
	for _, id := range []ids.InstanceID{"b", "c"} {
		l.append(now, quota.Report{Run: quota.Run{Instance: id, ID: "1"}})
	}
	now = now.Add(time.Minute)
	began := now
	for ; len(a.GiveUp(now)) == 0; now = now.Add(time.Second) {
		c.Assert(now.Sub(began) < time.Minute, qt.IsTrue)
		for _, id := range []ids.InstanceID{"b", "c"} {
			a.CalledAgain(now, shard, id)
		}
		l.complain(now, firstOffset, "b", "c")
	}
	c.Assert(now.Sub(began) >= quota.LeaseTime, qt.IsTrue, qt.Commentf("%v", now.Sub(began)))
}
