package slot_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
	"github.com/comfreylink/comfreylink/pkg/slot"
)

func slots(epoch ids.Epoch, list ...ids.Slot) []record.SlotEpoch {
	var l []record.SlotEpoch
	for _, s := range list {
		l = append(l, record.SlotEpoch{Slot: s, Epoch: epoch})
	}
	return l
}

func at(offset int) *ids.Position { return &ids.Position{Offset: ids.Offset(offset)} }

// Guards against a rejected record that changes the state, and against a wrong error.
func TestRejectedRecordsChangeNothing(t *testing.T) {
	c := qt.New(t)
	table := slot.New(4)
	for i, b := range []record.Body{
		&record.Claim{Owner: "a#1", Slots: slots(1, 0, 1)},
		&record.Suspect{By: "a#1", Writer: "a#1"},
		&record.Alive{Writer: "a#1"},
		&record.Suspect{By: "a#1", Writer: "a#1"},
		&record.Claim{Owner: "a#1", Slots: slots(1, 2)},
		&record.Release{Owner: "a#1", Slots: slots(1, 2)},
	} {
		c.Assert(table.Apply(*at(i), "a#1", b), qt.IsNil)
	}
	before, err := table.Snapshot()
	c.Assert(err, qt.IsNil)
	for _, x := range []struct {
		writer ids.WriterID
		body   record.Body
		want   error
	}{
		{"b#1", &record.Claim{Owner: "b#1", Slots: slots(1, 0)}, slot.ErrWrongEpoch},
		{"b#1", &record.Claim{Owner: "b#1", Slots: slots(3, 0), SuspectedAt: at(3)}, slot.ErrWrongEpoch},
		{"b#1", &record.Claim{Owner: "b#1", Slots: slots(2, 0)}, slot.ErrOwned},
		{"b#1", &record.Claim{Owner: "b#1", Slots: slots(2, 0), SuspectedAt: at(1)}, slot.ErrNotSuspected},
		{"b#1", &record.Claim{Owner: "a#1", Slots: slots(2, 0), SuspectedAt: at(3)}, slot.ErrNotWriter},
		{"b#1", &record.Claim{Owner: "b#1", Slots: slots(1, 9)}, slot.ErrUnknownSlot},
		{"b#1", &record.Release{Owner: "b#1", Slots: slots(1, 0)}, slot.ErrNotOwner},
		{"b#1", &record.Release{Owner: "a#1", Slots: slots(1, 0)}, slot.ErrNotWriter},
		{"a#1", &record.Release{Owner: "a#1", Slots: slots(2, 0)}, slot.ErrNotOwner},
		{"a#1", &record.Release{Owner: "a#1", Slots: slots(1, 2)}, slot.ErrNotOwner},
		{"b#1", &record.Suspect{By: "b#1", Writer: "a#1"}, slot.ErrSuspected},
		{"b#1", &record.Suspect{By: "b#1", Writer: "c#1"}, slot.ErrNotOwner},
		{"b#1", &record.Suspect{By: "c#1", Writer: "a#1"}, slot.ErrNotWriter},
		{"b#1", &record.Alive{Writer: "a#1"}, slot.ErrNotWriter},
		{"b#1", &record.Alive{Writer: "b#1"}, slot.ErrNotSuspected},
		{"b#1", &record.ClearRequest{Workspace: "w", Fingerprint: "f"}, slot.ErrNoSuspicion},
		{"b#1", &record.Open{Epoch: 1, Owner: "b#1"}, slot.ErrRecordType},
	} {
		c.Check(table.Apply(*at(9), x.writer, x.body), qt.ErrorIs, x.want, qt.Commentf("%+v", x.body))
		after, err := table.Snapshot()
		c.Assert(err, qt.IsNil)
		c.Check(string(after), qt.Equals, string(before), qt.Commentf("%+v", x.body))
	}
}

// Each slot of a claim is accepted or rejected on its own, and AcceptedSlots returns those that were accepted.
func ExampleTable_AcceptedSlots() {
	table := slot.New(4)
	_ = table.Apply(*at(0), "a#1", &record.Claim{Owner: "a#1", Slots: slots(1, 0, 1)})
	claim := &record.Claim{Owner: "b#1", Slots: slots(1, 1, 2)}
	fmt.Println(table.Apply(*at(1), "b#1", claim), table.AcceptedSlots(claim))
	fmt.Println(table.Slots("a#1"))
	// Output:
	// <nil> [{2 1}]
	// [{0 1} {1 1}]
}

// Guards against a suspicion that stays after its owner has lost all slots, with which slots that the same run claims
// later could be taken from it.
func TestSuspicionEndsWithTheLastSlot(t *testing.T) {
	c := qt.New(t)
	table := slot.New(2)
	c.Assert(table.Apply(*at(0), "a#1", &record.Claim{Owner: "a#1", Slots: slots(1, 0)}), qt.IsNil)
	c.Assert(table.Apply(*at(1), "b#1", &record.Suspect{By: "b#1", Writer: "a#1"}), qt.IsNil)
	c.Assert(table.Apply(*at(2), "b#1", &record.Claim{Owner: "b#1", Slots: slots(2, 0), SuspectedAt: at(1)}), qt.IsNil)
	_, suspected := table.Suspicion("a#1")
	c.Check(suspected, qt.IsFalse)
	c.Assert(table.Apply(*at(3), "a#1", &record.Claim{Owner: "a#1", Slots: slots(1, 1)}), qt.IsNil)
	late := &record.Claim{Owner: "c#1", Slots: slots(2, 1), SuspectedAt: at(1)}
	c.Check(table.Apply(*at(4), "c#1", late), qt.ErrorIs, slot.ErrNotSuspected)
}

// Guards against a request that crashes every target that runs it, and against refusing a request that only ran
// concurrently with it. A target that dies twice counts once.
func TestQuarantine(t *testing.T) {
	c := qt.New(t)
	table := slot.New(1)
	suspect := func(target ids.TargetID) error {
		return table.Apply(*at(0), "a#1", &record.SuspectRequest{Workspace: "w", Fingerprint: "f", Target: target})
	}
	clear := func() error {
		return table.Apply(*at(0), "a#1", &record.ClearRequest{Workspace: "w", Fingerprint: "f"})
	}
	c.Assert(suspect("t1"), qt.IsNil)
	c.Assert(suspect("t1"), qt.ErrorIs, slot.ErrKnownDeath)
	c.Check(table.Quarantined("w", "f"), qt.IsFalse)
	c.Assert(clear(), qt.IsNil)
	c.Assert(suspect("t2"), qt.IsNil)
	c.Check(table.Quarantined("w", "f"), qt.IsFalse)
	c.Assert(suspect("t1"), qt.IsNil)
	c.Check(table.Quarantined("w", "f"), qt.IsTrue)
	c.Check(table.Quarantined("other", "f"), qt.IsFalse)
	c.Check(clear(), qt.ErrorIs, slot.ErrNoSuspicion)
	data, err := table.Snapshot()
	c.Assert(err, qt.IsNil)
	c.Assert(table.Restore(data), qt.IsNil)
	c.Check(table.Quarantined("w", "f"), qt.IsTrue)
}

// Guards against a lease that is still valid after the claimant's wait because the owner's clock is up to 5% slower.
func TestLeaseEndsBeforeTheClaim(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slower := rapid.Float64Range(0.95, 1).Draw(t, "slower")
		span := time.Duration(rapid.Int64Range(100, 60_000).Draw(t, "leaseMillis")) * time.Millisecond
		fresh := time.Unix(1e9, 0)
		claimed := fresh.Add(time.Duration(math.Round(float64(span) * slower)))
		if slot.LeaseValid(claimed, fresh, span) {
			t.Fatalf("valid %s after the read, with a lease of %s", claimed.Sub(fresh), span)
		}
	})
}

// Guards against a slot that stays free because the preferred instance is live but does not claim it, and against an
// earlier run of this instance that keeps its slots until others suspect it.
func TestDecideWithoutHelpFromOthers(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1e9, 0)
	v := slot.View{Self: "i0#2", Lease: lease, SuspectAfter: suspectAfter, Started: start, LastRebalance: start}
	for i := range 3 {
		w := ids.WriterID(fmt.Sprintf("i%d#2", i))
		v.Live = append(v.Live, slot.Member{Writer: w, Instance: slot.InstanceOf(w)})
	}
	table := slot.New(64)
	claimed := func(after time.Duration) int {
		n := 0
		for _, b := range table.Decide(start.Add(after), v) {
			n += len(b.(*record.Claim).Slots)
		}
		return n
	}
	first := claimed(time.Second)
	c.Check(claimed(0), qt.Equals, 0)
	c.Check(first > 0 && first < 64, qt.IsTrue, qt.Commentf("%d", first))
	c.Check(claimed(3*time.Second), qt.Equals, 64)

	c.Assert(table.Apply(*at(0), "i0#1", &record.Claim{Owner: "i0#1", Slots: slots(1, 0)}), qt.IsNil)
	c.Check(table.Decide(start, v), qt.DeepEquals, []record.Body{&record.Suspect{By: "i0#2", Writer: "i0#1"}})
}

// Guards against a suspected owner that can read the log but not append to it, and serves concurrently with the claimant.
func TestSuspicionStopsTheLease(t *testing.T) {
	c := qt.New(t)
	table := slot.New(1)
	c.Assert(table.Apply(*at(0), "a#1", &record.Claim{Owner: "a#1", Slots: slots(1, 0)}), qt.IsNil)
	var l slot.Lease
	start := time.Unix(1e9, 0)
	c.Check(l.Valid(start, lease), qt.IsFalse)
	l.Observe(table, "a#1", start)
	c.Assert(table.Apply(*at(1), "b#1", &record.Suspect{By: "b#1", Writer: "a#1"}), qt.IsNil)
	l.Observe(table, "a#1", start.Add(lease/2))
	c.Check(l.Valid(start.Add(lease/2), lease), qt.IsTrue)
	c.Check(l.Valid(start.Add(lease), lease), qt.IsFalse)
	c.Assert(table.Apply(*at(2), "a#1", &record.Alive{Writer: "a#1"}), qt.IsNil)
	l.Observe(table, "a#1", start.Add(lease))
	c.Check(l.Valid(start.Add(lease), lease), qt.IsTrue)
}

// Guards against handovers that do not even out the number of slots, or that follow each other in less than a lease.
func TestRebalance(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1e9, 0)
	v := slot.View{
		Self: "i0#1", Lease: lease, LastRebalance: start,
		Live: []slot.Member{{Writer: "i0#1", Instance: "i0"}, {Writer: "i1#1", Instance: "i1"}},
	}
	claim := func(table *slot.Table, w ids.WriterID, from, to ids.Slot) {
		for s := from; s < to; s++ {
			c.Assert(table.Apply(*at(int(s)), w, &record.Claim{Owner: w, Slots: slots(1, s)}), qt.IsNil)
		}
	}
	later := start.Add(lease)
	uneven := slot.New(16)
	claim(uneven, "i0#1", 0, 12)
	claim(uneven, "i1#1", 12, 16)
	_, ok := uneven.Rebalance(later, v)
	c.Check(ok, qt.IsTrue)
	_, ok = uneven.Rebalance(later.Add(-1), v)
	c.Check(ok, qt.IsFalse, qt.Commentf("less than a lease after the last handover"))

	draining := v
	draining.Drained = []ids.Slot{0}
	_, ok = uneven.Rebalance(later, draining)
	c.Check(ok, qt.IsFalse, qt.Commentf("another slot is being handed over"))
	alone := v
	alone.Live = v.Live[:1]
	_, ok = uneven.Rebalance(later, alone)
	c.Check(ok, qt.IsFalse, qt.Commentf("no other instance is live"))

	even := slot.New(16)
	claim(even, "i0#1", 0, 8)
	claim(even, "i1#1", 8, 16)
	_, ok = even.Rebalance(later, v)
	c.Check(ok, qt.IsFalse, qt.Commentf("both own the same number"))
}
