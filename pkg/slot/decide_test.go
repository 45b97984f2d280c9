package slot_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
	"github.com/comfreylink/comfreylink/pkg/slot"
)

// steady returns the table of a fleet in which every instance owns slotsEach slots and answers, and the view of one
// instance.
func steady(instances, slotsEach int) (t *slot.Table, v slot.View) {
	t = slot.New(instances * slotsEach)
	for i := range instances {
		w := ids.WriterID(fmt.Sprintf("entry-%03d#0123456789ab", i))
		v.Live = append(v.Live, slot.Member{Writer: w, Instance: slot.InstanceOf(w)})
		c := &record.Claim{Owner: w}
		for s := range slotsEach {
			c.Slots = append(c.Slots, record.SlotEpoch{Slot: ids.Slot(i*slotsEach + s), Epoch: 1})
		}
		if err := t.Apply(ids.Position{Offset: ids.Offset(i)}, w, c); err != nil {
			panic(err)
		}
	}
	v.Self = v.Live[0].Writer
	v.Lease, v.SuspectAfter = 10*time.Second, 3*time.Second
	return t, v
}

// BenchmarkDecide measures the decision that each instance makes ten times a second while nothing changes.
func BenchmarkDecide(b *testing.B) {
	for _, instances := range []int{24, 95, 190, 380} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) {
			t, v := steady(instances, 3)
			now := time.Unix(1_000_000, 0)
			b.ReportAllocs()
			for b.Loop() {
				if bodies := t.Decide(now, v); len(bodies) > 0 {
					b.Fatalf("decided %v", bodies)
				}
			}
		})
	}
}

// Guards against a suspicion that is missing, appended twice or too early, since only unresponsive owners are considered.
func TestOnlyUnresponsiveOwnersAreSuspected(t *testing.T) {
	table, v := steady(24, 3)
	now := time.Unix(1_000_000, 0)
	unresponsive := v.Live[5].Writer
	v.Unresponsive = []slot.UnresponsiveRun{{Writer: unresponsive, Since: now}}
	suspects := func(at time.Time) (writers []ids.WriterID) {
		for _, b := range table.Decide(at, v) {
			if s, ok := b.(*record.Suspect); ok {
				writers = append(writers, s.Writer)
			}
		}
		return writers
	}
	if w := suspects(now.Add(v.SuspectAfter - time.Millisecond)); len(w) > 0 {
		t.Errorf("suspected %v before SuspectAfter", w)
	}
	// At worst this instance is the last to suspect and waits one stagger for each candidate.
	if w := suspects(now.Add(v.SuspectAfter + 24*v.Lease/10)); len(w) != 1 || w[0] != unresponsive {
		t.Errorf("suspected %v, want only %s", w, unresponsive)
	}
	v.Unresponsive = nil
	v.Self = "entry-000#newrun"
	v.Live[0].Writer = v.Self
	if w := suspects(now); len(w) != 1 || w[0] != "entry-000#0123456789ab" {
		t.Errorf("suspected %v, want the instance's own earlier run", w)
	}
}

// Guards against the first instance of a starting fleet claiming every slot before it knows the others. The others would
// then get only one slot per lease by rebalancing, which takes ten minutes with 64 slots and 16 instances.
func TestUnownedSlotsAreClaimedInTurn(t *testing.T) {
	_, v := steady(16, 0)
	table := slot.New(64)
	v.Started = time.Unix(1_000_000, 0)
	if bodies := table.Decide(v.Started, v); len(bodies) > 0 {
		t.Errorf("claimed %v at the start", bodies)
	}
	claimed := func(after time.Duration) (n int) {
		for _, b := range table.Decide(v.Started.Add(after), v) {
			n += len(b.(*record.Claim).Slots)
		}
		return n
	}
	if n := claimed(v.Lease / 10); n == 0 || n > 16 {
		t.Errorf("claimed %d of 64 slots at first, want about 4", n)
	}
	if n := claimed(17 * v.Lease / 10); n != 64 {
		t.Errorf("claimed %d of 64 slots that no other instance claimed, want all", n)
	}
}
