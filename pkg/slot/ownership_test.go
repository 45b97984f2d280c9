package slot_test

import (
	"bytes"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
	"github.com/comfreylink/comfreylink/pkg/slot"
)

// schedule runs random steps of the fleet and calls check after each.
func schedule(t *rapid.T, check func(*fleet)) *fleet {
	f := newFleet(t)
	steps := []func(r *run){
		func(r *run) { r.beginRead() },
		func(r *run) {
			if r.reading {
				r.finishRead(t, r.readFrom+uniform(t, "more", len(f.log)-r.readFrom+1))
			}
		},
		func(r *run) { r.cycle(t) },
		func(r *run) { r.cycle(t) },
		func(r *run) { r.appendNext() },
		func(r *run) { r.decideWithRandomView(t) },
		func(r *run) { r.decideWithTrueView(t, time.Hour) },
		func(*run) { f.now += time.Duration(uniform(t, "milliseconds", 4000)) * time.Millisecond },
		func(*run) { f.now += time.Duration(uniform(t, "milliseconds", 4000)) * time.Millisecond },
		func(*run) { f.disturb(t) },
		func(*run) { f.disturb(t) },
	}
	t.Repeat(map[string]func(*rapid.T){"step": func(*rapid.T) {
		steps[uniform(t, "step", len(steps))](f.runs[uniform(t, "run", instances)])
		check(f)
	}})
	return f
}

// cycle makes a run read, decide and append without a step of another run in between.
func (r *run) cycle(t *rapid.T) {
	r.beginRead()
	r.finishRead(t, len(r.fleet.log))
	r.decideWithTrueView(t, suspectAfter)
	for len(r.unappended) > 0 {
		r.appendNext()
	}
}

// disturb restarts a run or begins its planned stop, in about a quarter of the calls. Run 0 does not stop.
func (f *fleet) disturb(t *rapid.T) {
	i := uniform(t, "disturb", 8*instances)
	switch {
	case i < instances:
		old := f.runs[i]
		f.runs[i] = f.newRun(t, i)
		if rapid.Bool().Draw(t, "fromSnapshot") {
			data, err := old.table.Snapshot()
			noError(t, err)
			noError(t, f.runs[i].table.Restore(data))
			f.runs[i].read = old.read
		}
	case i > instances && i < 2*instances:
		f.runs[i-instances].stopping = true
	}
}

// holding is a slot that a run owns in an epoch.
type holding struct {
	slot  ids.Slot
	epoch ids.Epoch
}

// Guards against two runs that hold the same slot and epoch, or serve the same slot at the same time, and against
// readers of the same log that fold it to different states.
func TestOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holders := make(map[holding]ids.WriterID)
		f := schedule(t, func(f *fleet) {
			for s := range ids.Slot(slotCount) {
				f.checkSlot(t, s, holders)
			}
		})
		var first []byte
		for _, r := range f.runs {
			r.beginRead()
			r.finishRead(t, len(f.log))
			data, err := r.table.Snapshot()
			noError(t, err)
			if first == nil {
				first = data
			}
			if !bytes.Equal(data, first) {
				t.Fatalf("readers disagree:\n%s\n%s", first, data)
			}
		}
	})
}

func (f *fleet) checkSlot(t *rapid.T, s ids.Slot, holders map[holding]ids.WriterID) {
	var server ids.WriterID
	for _, r := range f.runs {
		if o := r.table.Owner(s); o.HeldBy(r.id, o.Epoch) {
			h := holding{s, o.Epoch}
			if other, ok := holders[h]; ok && other != r.id {
				t.Fatalf("slot %d, epoch %d is held by %s and %s", s, o.Epoch, other, r.id)
			}
			holders[h] = r.id
		}
		if r.serves(s) {
			if server != "" {
				t.Fatalf("slot %d is served by %s and %s", s, server, r.id)
			}
			server = r.id
		}
	}
}

// Guards against accepting the claim of a slot whose owner contradicted its suspicion in time. The test checks in the log
// itself that there is no alive record of the owner between the claim and the suspicion that it names.
func TestAliveKeepsSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := schedule(t, func(*fleet) {})
		table := slot.New(slotCount)
		for i, e := range f.log {
			var before [slotCount]slot.Ownership
			for s := range slotCount {
				before[s] = table.Owner(ids.Slot(s))
			}
			if table.Apply(ids.Position{Offset: ids.Offset(i)}, e.writer, e.body) != nil {
				continue
			}
			claim, ok := e.body.(*record.Claim)
			if !ok {
				continue
			}
			for _, accepted := range table.AcceptedSlots(claim) {
				if o := before[accepted.Slot]; o.Owner != "" && !o.Released && o.Owner != e.writer {
					f.checkSuspicion(t, claim, o.Owner, i)
				}
			}
		}
	})
}

func (f *fleet) checkSuspicion(t *rapid.T, c *record.Claim, owner ids.WriterID, at int) {
	if c.SuspectedAt == nil {
		t.Fatalf("claim at %d takes a slot of %s without a suspicion", at, owner)
	}
	from := int(c.SuspectedAt.Offset)
	if s, ok := f.log[from].body.(*record.Suspect); !ok || from >= at || s.Writer != owner {
		t.Fatalf("claim at %d takes a slot of %s and names the record at %d", at, owner, from)
	}
	alive := func(e entry) bool { return e.writer == owner && e.body.Type() == record.TypeAlive }
	if slices.ContainsFunc(f.log[from:at], alive) {
		t.Fatalf("claim at %d takes a slot of %s, which contradicted the suspicion at %d", at, owner, from)
	}
}

// Guards against slots that stay without an owner, and against a fleet that never stops appending records.
func TestFleetConverges(t *testing.T) {
	const (
		rounds = 75 // of two seconds, for a suspicion, a lease, the turns of four instances and six handovers of a lease each
		quiet  = 20 // last rounds, in which no record may be appended
	)
	rapid.Check(t, func(t *rapid.T) {
		f := schedule(t, func(*fleet) {})
		start := f.now
		var before int
		for round := range rounds {
			if round == rounds-quiet {
				before = len(f.log)
			}
			f.now += 2 * time.Second
			for _, r := range f.runs {
				r.beginRead()
				r.finishRead(t, len(f.log))
				r.decideWithTrueView(t, f.now-start)
				for len(r.unappended) > 0 {
					r.appendNext()
				}
			}
		}
		if n := len(f.log) - before; n > 0 {
			t.Fatalf("%d records in the last %d rounds, the last is %+v", n, quiet, f.log[len(f.log)-1])
		}
		for s := range ids.Slot(slotCount) {
			owned := func(r *run) bool { return r.serves(s) && !r.stopping }
			if !slices.ContainsFunc(f.runs, owned) {
				t.Fatalf("slot %d has no owner: %+v", s, f.runs[0].table.Owner(s))
			}
		}
	})
}
