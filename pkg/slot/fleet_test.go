package slot_test

import (
	"flag"
	"fmt"
	"math/bits"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
	"github.com/comfreylink/comfreylink/pkg/slot"
)

const (
	slotCount    = 6
	instances    = 4
	lease        = 10 * time.Second
	suspectAfter = 3 * time.Second
)

// TestMain runs more and longer schedules than rapid does by default. It writes no failure files, since the printed seed
// reproduces a failure. The -rapid flags override these settings.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "1000", "rapid.steps": "120", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// fleet is an ordered log and runs of instances that append to it and fold it. Everything happens in the steps of a
// schedule, so a run is paused for as long as it gets no step.
type fleet struct {
	now    time.Duration
	log    []entry
	runs   []*run
	serial int
}

type entry struct {
	writer ids.WriterID
	body   record.Body
}

type run struct {
	fleet         *fleet
	id            ids.WriterID
	clockRate     float64 // relative to fleet.now
	table         *slot.Table
	read          int // number of log entries folded
	reads         slot.Reads
	lease         slot.Lease
	started       time.Time
	lastRebalance time.Time
	pending       []record.Body // submitted and not yet folded by this run
	unappended    []record.Body // submitted and not yet in the log
	stopping      bool
	drained       []ids.Slot
	reading       bool
	readStart     time.Time
	readFrom      int // length of the log at the start of the read
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{}
	for i := range instances {
		f.runs = append(f.runs, f.newRun(t, i))
	}
	return f
}

func (f *fleet) newRun(t *rapid.T, i int) *run {
	f.serial++
	r := &run{fleet: f, id: ids.WriterID(fmt.Sprintf("i%d#%d", i, f.serial)), table: slot.New(slotCount)}
	// The lease margin covers rates that differ by up to 5%.
	r.clockRate = 0.98 + 0.01*float64(uniform(t, "rate", 5))
	r.started, r.lastRebalance = r.local(), r.local()
	return r
}

// local returns the time of the run's clock.
func (r *run) local() time.Time {
	return time.Unix(1e9, 0).Add(time.Duration(float64(r.fleet.now) * r.clockRate))
}

func (r *run) beginRead() {
	r.reading, r.readStart, r.readFrom = true, r.local(), len(r.fleet.log)
}

// finishRead folds the log up to end, its length at some time since the start of the read.
func (r *run) finishRead(t *rapid.T, end int) {
	if !r.reading {
		return
	}
	r.reading = false
	for ; r.read < end; r.read++ {
		e := r.fleet.log[r.read]
		encoded, err := record.New(e.body)
		noError(t, err)
		body, err := encoded.Open()
		noError(t, err)
		_ = r.table.Apply(ids.Position{Offset: ids.Offset(r.read)}, e.writer, body)
		if e.writer == r.id {
			r.pending = r.pending[1:]
		}
	}
	r.lease.Observe(r.table, r.id, r.readStart)
	r.reads.Observe(r.local(), r.table)
	r.drained = slices.DeleteFunc(r.drained, func(s ids.Slot) bool {
		o := r.table.Owner(s)
		return !o.HeldBy(r.id, o.Epoch)
	})
}

// appendNext appends the oldest submitted record to the log.
func (r *run) appendNext() {
	if len(r.unappended) > 0 {
		r.fleet.log = append(r.fleet.log, entry{r.id, r.unappended[0]})
		r.unappended = r.unappended[1:]
	}
}

// decide submits what the run decides, given the runs that it considers live and unresponsive. It fails the test if a
// second decision right afterwards returns any record.
func (r *run) decide(t *rapid.T, live []slot.Member, unresponsive []slot.UnresponsiveRun) {
	v := slot.View{
		Self: r.id, Live: live, Unresponsive: unresponsive, Suspicions: r.reads.Suspicions(), Releases: r.reads.Releases(),
		Lease: lease, SuspectAfter: suspectAfter, Stopping: r.stopping, Started: r.started, LastRebalance: r.lastRebalance,
		Pending: r.pending,
	}
	if r.stopping {
		r.drained = nil
		for _, s := range r.table.Slots(r.id) {
			r.drained = append(r.drained, s.Slot)
		}
	} else if s, ok := r.table.Rebalance(r.local(), v); ok && len(r.drained) == 0 {
		r.drained, r.lastRebalance = []ids.Slot{s}, r.local()
	}
	v.Drained = r.drained
	bodies := r.table.Decide(r.local(), v)
	for _, b := range bodies {
		r.checkStop(t, b)
	}
	r.pending = append(r.pending, bodies...)
	r.unappended = append(r.unappended, bodies...)
	v.Pending = r.pending
	if again := r.table.Decide(r.local(), v); len(again) > 0 {
		t.Fatalf("%s decided %+v twice", r.id, again[0])
	}
}

// checkStop fails the test if a run in a planned stop claims a slot, or releases one with itself as successor.
func (r *run) checkStop(t *rapid.T, b record.Body) {
	_, claims := b.(*record.Claim)
	release, releases := b.(*record.Release)
	if r.stopping && (claims || releases && release.Successor == r.id) {
		t.Fatalf("%s is stopping and decided %+v", r.id, b)
	}
}

func (r *run) member() slot.Member {
	return slot.Member{Writer: r.id, Instance: slot.InstanceOf(r.id)}
}

// serves reports whether the run serves a slot: it holds the slot and its lease, and is not draining the slot.
func (r *run) serves(s ids.Slot) bool {
	o := r.table.Owner(s)
	return o.HeldBy(r.id, o.Epoch) && r.lease.Valid(r.local(), lease) && !slices.Contains(r.drained, s)
}

// decideWithRandomView decides with a view that may be wrong about every other run.
func (r *run) decideWithRandomView(t *rapid.T) {
	var live []slot.Member
	var unresponsive []slot.UnresponsiveRun
	for _, x := range r.fleet.runs {
		switch {
		case x == r || uniform(t, "live", 4) > 0:
			live = append(live, x.member())
		default:
			unresponsive = append(unresponsive, slot.UnresponsiveRun{Writer: x.id, Since: r.local().Add(-suspectAfter)})
		}
	}
	r.decide(t, live, unresponsive)
}

// decideWithTrueView decides with the correct view. Owners that no longer run have been unresponsive for unresponsiveFor.
func (r *run) decideWithTrueView(t *rapid.T, unresponsiveFor time.Duration) {
	var live []slot.Member
	var unresponsive []slot.UnresponsiveRun
	known := make(map[ids.WriterID]bool)
	for _, x := range r.fleet.runs {
		known[x.id] = true
		if !x.stopping || x == r {
			live = append(live, x.member())
		}
	}
	for s := range slotCount {
		if w := r.table.Owner(ids.Slot(s)).Owner; w != "" && !known[w] {
			unresponsive = append(unresponsive, slot.UnresponsiveRun{Writer: w, Since: r.local().Add(-unresponsiveFor)})
			known[w] = true
		}
	}
	r.decide(t, live, unresponsive)
}

// uniform draws a number from 0 to n-1. rapid's own ranges prefer small numbers, which would make most steps the same.
func uniform(t *rapid.T, label string, n int) int {
	v := 0
	for range bits.Len(uint(n-1)) + 1 {
		v *= 2
		if rapid.Bool().Draw(t, label) {
			v++
		}
	}
	return v % n
}

func noError(t *rapid.T, err error) {
	if err != nil {
		t.Fatalf("unexpected error: %v", err)
	}
}
