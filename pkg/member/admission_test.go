package member_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/member"
)

const freshFor = 5 * time.Second

// Guards against admitting requests although the withdrawal of a key may have been missed, and against needless refusals.
func TestAdmit(t *testing.T) {
	now := epoch
	for name, test := range map[string]struct {
		k    member.Knowledge
		want member.Basis
	}{
		"own":                  {member.Knowledge{OwnRead: now.Add(-5 * time.Second), Listed: 3}, member.OwnContact},
		"own too old":          {member.Knowledge{OwnRead: now.Add(-5001 * time.Millisecond), Listed: 3}, member.Stale},
		"peer":                 {member.Knowledge{PeerRead: now.Add(-5 * time.Second), Listed: 3}, member.PeerContact},
		"half":                 {member.Knowledge{Revision: 1, Listed: 4, NoContact: 2}, member.Stale},
		"more than half":       {member.Knowledge{Revision: 1, Listed: 4, NoContact: 3}, member.NobodyHasContact},
		"lacks a revision":     {member.Knowledge{Revision: 1, HighestRevision: 2, Listed: 4, NoContact: 4}, member.Stale},
		"without a revision":   {member.Knowledge{Revision: ids.NoRevision, HighestRevision: ids.NoRevision, Listed: 1, NoContact: 1}, member.Stale},
		"nothing listed":       {member.Knowledge{Revision: 1}, member.Stale},
		"alone, without a log": {member.Knowledge{Revision: 1, Listed: 1, NoContact: 1}, member.NobodyHasContact},
	} {
		t.Run(name, func(t *testing.T) {
			qt.New(t).Assert(test.k.Admit(now, freshFor), qt.Equals, test.want)
		})
	}
}

// bases counts the given instances by their basis of admission.
func (f *fleet) bases(l ...int) map[member.Basis]int {
	n := map[member.Basis]int{}
	for _, i := range l {
		n[f.views[i].Knowledge(f.now).Admit(f.now, freshFor)]++
	}
	return n
}

func from(a, b int) (l []int) {
	for i := a; i < b; i++ {
		l = append(l, i)
	}
	return l
}

// Guards against a log outage stopping the whole fleet, at the current and the planned fleet size, with a tenth of the
// listed instances dead.
func TestAllAdmitWhileNobodyHasContact(t *testing.T) {
	for _, n := range []int{16, 24, 380} {
		f := newFleet(n)
		f.run(5 * time.Second)
		f.hasLog = func(int) bool { return false }
		dead := n / 10
		for i := range dead {
			f.down[i] = true
		}
		f.run(8 * time.Second)
		admitted := 0
		for range 5 {
			f.run(time.Second)
			admitted += f.bases(from(dead, n)...)[member.NobodyHasContact]
		}
		share := float64(admitted) / float64(5*(n-dead))
		t.Logf("%d instances: %.2f%% admit", n, 100*share)
		if share < 0.99 {
			t.Errorf("%.2f%% of %d instances admit without a log", 100*share, n)
		}
	}
}

// Guards against refusals at the start of a log outage, before instances know that nobody has contact.
func TestNoRefusalsAtTheStartOfAnOutage(t *testing.T) {
	for _, n := range []int{1, 2, 3, 8, 16, 24, 32} {
		for early := range 2 {
			f := newFleet(n)
			f.run(5 * time.Second)
			f.hasLog = func(i int) bool { return i%2 < early } // if early is 1, half of them lose contact later
			f.run(time.Duration(early) * 900 * time.Millisecond)
			f.hasLog = func(int) bool { return false }
			for range 100 {
				f.run(step)
				if b := f.bases(from(0, n)...); b[member.Stale] > 0 {
					t.Errorf("some of %d instances refuse; instances by basis of admission: %v", n, b)
				}
			}
		}
	}
}

// Guards against a half of a split fleet admitting while it has no log, and against the half with the log refusing.
func TestSplitFleet(t *testing.T) {
	c := qt.New(t)
	f := newFleet(24)
	f.run(5 * time.Second)
	f.cut = func(from, to int) bool { return (from < 12) != (to < 12) }
	f.hasLog = func(n int) bool { return n < 12 }
	f.run(15 * time.Second)
	c.Check(f.bases(from(0, 12)...), qt.DeepEquals, map[member.Basis]int{member.OwnContact: 12})
	c.Check(f.bases(from(12, 24)...), qt.DeepEquals, map[member.Basis]int{member.Stale: 12})
	f.hasLog = func(int) bool { return false }
	f.run(15 * time.Second)
	c.Check(f.bases(from(0, 24)...), qt.DeepEquals, map[member.Basis]int{member.Stale: 24})
}

// Guards against an instance that cannot reach the log refusing although its peers can reach it, and against its
// admitting while it lacks their revision.
func TestContactIsLearnedWithTheRevision(t *testing.T) {
	c := qt.New(t)
	f := newFleet(16)
	f.run(3 * time.Second)
	f.hasLog = func(n int) bool { return n != 3 }
	f.run(15 * time.Second)
	c.Check(f.bases(3), qt.DeepEquals, map[member.Basis]int{member.PeerContact: 1})
	for i := range f.revision {
		if i != 3 {
			f.revision[i]++
		}
	}
	f.run(10 * time.Second)
	c.Check(f.bases(3), qt.DeepEquals, map[member.Basis]int{member.Stale: 1})
	f.revision[3]++
	f.run(step)
	c.Check(f.bases(3), qt.DeepEquals, map[member.Basis]int{member.PeerContact: 1})
}

// Guards against an instance that starts in an outage admitting without a configuration, and against its refusing once it
// has one.
func TestNewcomerDuringOutage(t *testing.T) {
	c := qt.New(t)
	f := newFleet(16)
	f.down[5] = true
	f.revision[5] = ids.NoRevision
	f.run(5 * time.Second)
	f.hasLog = func(int) bool { return false }
	f.lastContact[5] = time.Time{}
	f.run(15 * time.Second)
	f.down[5] = false
	f.run(8 * time.Second)
	c.Check(f.bases(5), qt.DeepEquals, map[member.Basis]int{member.Stale: 1})
	f.revision[5] = f.revision[0]
	f.run(step)
	c.Check(f.bases(5), qt.DeepEquals, map[member.Basis]int{member.NobodyHasContact: 1})
}

// Guards against statements of no contact that still count after the instances that made them have contact again.
func TestContactWithdrawsTheStatement(t *testing.T) {
	c := qt.New(t)
	f := newFleet(4)
	f.hasLog = func(int) bool { return false }
	f.run(10 * time.Second)
	c.Assert(f.views[0].Knowledge(f.now).NoContact, qt.Equals, 4)
	f.hasLog = func(n int) bool { return n != 0 }
	f.run(4 * time.Second)
	c.Assert(f.views[0].Knowledge(f.now).NoContact <= 2, qt.IsTrue) // itself, and one that it does not probe
}
