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

// TestMain runs more and longer schedules than rapid's defaults, and leaves no files, since the printed seed repeats a
// failure. The -rapid flags replace these settings.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "1000", "rapid.steps": "120", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// fleet is an ordered log and runs of instances that append to it and fold it. Nothing happens by itself: a schedule is
// a sequence of steps, so a pause is a time in which a run has none.
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
	fleet     *fleet
	id        ids.WriterID
	rate      float64 // of its clock
	table     *slot.Table
	read      int
	reads     slot.Reads
	lease     slot.Lease
	started   time.Time
	moved     time.Time
	pending   []record.Body // submitted and not folded
	unlanded  []record.Body
	stopping  bool
	drained   []ids.Slot
	reading   bool
	readStart time.Time
	readFrom  int // length of the log at the start of the read
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
	// The margin of a lease covers rates that differ by up to 5%.
	r.rate = 0.98 + 0.01*float64(uniform(t, "rate", 5))
	r.started, r.moved = r.local(), r.local()
	return r
}

// local returns the time of the run's clock.
func (r *run) local() time.Time {
	return time.Unix(1e9, 0).Add(time.Duration(float64(r.fleet.now) * r.rate))
}

func (r *run) beginRead() {
	r.reading, r.readStart, r.readFrom = true, r.local(), len(r.fleet.log)
}

// finishRead folds what the log had at some time since the start of the read.
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
		return !o.Held(r.id, o.Epoch)
	})
}

func (r *run) land() {
	if len(r.unlanded) > 0 {
		r.fleet.log = append(r.fleet.log, entry{r.id, r.unlanded[0]})
		r.unlanded = r.unlanded[1:]
	}
}

// decide submits what the run decides, given the runs that it takes for live and silent. Decided again at once, nothing
// is submitted twice.
func (r *run) decide(t *rapid.T, live []slot.Member, silent []slot.Silence) {
	v := slot.View{
		Self: r.id, Live: live, Silent: silent, Suspicions: r.reads.Suspicions(), Releases: r.reads.Releases(),
		Lease: lease, SuspectAfter: suspectAfter, Stopping: r.stopping, Started: r.started, LastRebalance: r.moved,
		Pending: r.pending,
	}
	if r.stopping {
		r.drained = nil
		for _, s := range r.table.Slots(r.id) {
			r.drained = append(r.drained, s.Slot)
		}
	} else if s, ok := r.table.Rebalance(r.local(), v); ok && len(r.drained) == 0 {
		r.drained, r.moved = []ids.Slot{s}, r.local()
	}
	v.Drained = r.drained
	bodies := r.table.Decide(r.local(), v)
	for _, b := range bodies {
		r.checkStop(t, b)
	}
	r.pending = append(r.pending, bodies...)
	r.unlanded = append(r.unlanded, bodies...)
	v.Pending = r.pending
	if again := r.table.Decide(r.local(), v); len(again) > 0 {
		t.Fatalf("%s decided %+v twice", r.id, again[0])
	}
}

// checkStop fails if a run in a planned stop takes a slot, or hands one over to itself.
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
	return o.Held(r.id, o.Epoch) && r.lease.Valid(r.local(), lease) && !slices.Contains(r.drained, s)
}

// guess decides by a view that may be wrong about every other run.
func (r *run) guess(t *rapid.T) {
	var live []slot.Member
	var silent []slot.Silence
	for _, x := range r.fleet.runs {
		switch {
		case x == r || uniform(t, "live", 4) > 0:
			live = append(live, x.member())
		default:
			silent = append(silent, slot.Silence{Writer: x.id, Since: r.local().Add(-suspectAfter)})
		}
	}
	r.decide(t, live, silent)
}

// know decides by the right view, including the owners that no longer run, silent for as long as given.
func (r *run) know(t *rapid.T, silentFor time.Duration) {
	var live []slot.Member
	var silent []slot.Silence
	known := make(map[ids.WriterID]bool)
	for _, x := range r.fleet.runs {
		known[x.id] = true
		if !x.stopping || x == r {
			live = append(live, x.member())
		}
	}
	for s := range slotCount {
		if w := r.table.Owner(ids.Slot(s)).Owner; w != "" && !known[w] {
			silent = append(silent, slot.Silence{Writer: w, Since: r.local().Add(-silentFor)})
			known[w] = true
		}
	}
	r.decide(t, live, silent)
}

// uniform draws from 0 to n-1. rapid's own ranges prefer small numbers, which makes most steps the same.
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
