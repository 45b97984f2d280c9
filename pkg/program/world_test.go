package program_test

import (
	"errors"
	"flag"
	"fmt"
	"math/bits"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/program"
	"github.com/comfreylink/comfreylink/pkg/record"
	"github.com/comfreylink/comfreylink/pkg/turn"
)

const (
	workspace = ids.WorkspaceID("akwaaba")
	budget    = ids.Tokens(100)
	maxUse    = ids.Tokens(30)
	chunk     = ids.Tokens(30)
	unixMilli = int64(1_000_000) // shared by all clocks here; time_test.go tests clocks that differ
)

var (
	errTimeout = errors.New("result of the append is not known")
	errLease   = errors.New("lease has ended")
	errNetwork = errors.New("connection failed")
)

// TestMain runs more and longer schedules than rapid's defaults. It writes no failure files, because the printed seed
// reproduces a failure. The -rapid flags override these settings.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "1000", "rapid.steps": "200", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// world is a model of an ordered log, owners that append to it and fold it, and a target that counts what it runs. State
// changes only in the steps of a schedule; an owner that is paused is one that gets no steps for a while.
type world struct {
	log     []*submission
	owners  []*owner
	epochs  ids.Epoch
	serial  int
	network []*request // sent and not yet at the target
	ran     map[ids.RequestKey]int
	answers map[ids.RequestKey]string
	spent   map[ids.ProgramID]ids.Tokens
	// confirmed holds the histories that were reported to callers as durable.
	confirmed []history
}

type history struct {
	program ids.ProgramID
	turns   []string
}

// submission is a record that an owner has submitted to the log. The owner learns whether the fold accepted the record
// when it folds the record itself.
type submission struct {
	writer    ids.WriterID
	body      record.Body
	folded    bool
	rejection error // set with folded
}

type owner struct {
	world   *world
	id      ids.WriterID
	slot    *program.Slot
	read    int           // number of log entries that the owner has read
	epoch   ids.Epoch     // last epoch that the owner opened
	queue   []*submission // not yet in the log
	current []*request    // in progress
	ledgers map[ids.ProgramID]*turn.Ledger
}

// request is one request of a caller at one owner. Either exec or call is set.
type request struct {
	id          int
	key         ids.RequestKey
	fingerprint ids.Fingerprint
	program     ids.ProgramID
	exec        *program.Execution
	call        *turn.Call
	before      []string    // history before this turn, sent with the call
	wait        *submission // record whose result the next step needs
	transmitted bool        // to the network
	arrived     bool        // at the target
	answered    bool        // the target's answer reaches the owner
	used        ids.Tokens
	result      program.Answer
	finished    bool // the caller has the result
}

func newWorld(owners int) *world {
	w := &world{
		ran:     make(map[ids.RequestKey]int),
		answers: make(map[ids.RequestKey]string),
		spent:   make(map[ids.ProgramID]ids.Tokens),
	}
	for range owners {
		w.owners = append(w.owners, w.newOwner(len(w.owners)))
	}
	return w
}

func (w *world) newOwner(i int) *owner {
	w.serial++
	// Every run has a different retention setting, which must not change what the fold accepts.
	retention := time.Duration(w.serial) * time.Hour
	return &owner{
		world: w, id: ids.WriterID(fmt.Sprintf("i%d#%d", i, w.serial)),
		slot: program.New(program.Options{KeyRetention: retention}),
	}
}

func (o *owner) append(b record.Body) *submission {
	a := &submission{writer: o.id, body: b}
	o.queue = append(o.queue, a)
	return a
}

// flushOne moves the owner's oldest submission to the log.
func (o *owner) flushOne() {
	if len(o.queue) > 0 {
		o.world.log = append(o.world.log, o.queue[0])
		o.queue = o.queue[1:]
	}
}

// fold folds the next entry of the log.
func (o *owner) fold(t *rapid.T) {
	if o.read == len(o.world.log) {
		return
	}
	a := o.world.log[o.read]
	// A reader decodes the log's bytes and never shares the writer's value.
	r, err := record.New(a.body)
	noError(t, err)
	body, err := r.Open()
	noError(t, err)
	rejection := o.slot.Apply(ids.Position{Offset: ids.Offset(o.read)}, a.writer, body)
	o.read++
	if a.writer != o.id {
		return
	}
	a.folded, a.rejection = true, rejection
	if _, ok := body.(*record.Open); ok {
		o.ledgers = make(map[ids.ProgramID]*turn.Ledger)
	}
}

// sync moves all of the owner's submissions to the log and folds the log to its end.
func (o *owner) sync(t *rapid.T) {
	for len(o.queue) > 0 {
		o.flushOne()
	}
	for o.read < len(o.world.log) {
		o.fold(t)
	}
}

// takeOver opens the next epoch. Claims are not modeled; package slot tests them.
func (o *owner) takeOver() {
	o.world.epochs++
	o.epoch = o.world.epochs
	o.append(o.slot.NewOpen(time.UnixMilli(unixMilli), o.epoch, o.id))
}

// serves reports whether the owner has folded its own open record and no later one.
func (o *owner) serves() bool {
	e, w := o.slot.Epoch()
	return w == o.id && e == o.epoch
}

// crash replaces an owner by a new run of its instance. The records that are not in the log yet and the requests in
// progress are lost, but requests in the network may still arrive.
func (w *world) crash(t *rapid.T, i int) {
	old := w.owners[i]
	next := w.newOwner(i)
	if rapid.Bool().Draw(t, "fromSnapshot") {
		data, err := old.slot.Snapshot()
		noError(t, err)
		noError(t, next.slot.Restore(data))
		next.read = old.read
	}
	w.owners[i] = next
}

// deliver lets a request in the network reach the target, whose answer may be lost. It checks that no request runs twice
// or after it was reported as not run, and that no budget is exceeded.
func (w *world) deliver(t *rapid.T) {
	if len(w.network) == 0 {
		return
	}
	i := uniform(t, "network", len(w.network))
	r := w.network[i]
	w.network = append(w.network[:i:i], w.network[i+1:]...)
	r.arrived = true
	r.answered = uniform(t, "lost", 8) != 7
	if r.finished && r.result.Run == program.RunNot {
		t.Fatalf("R8: request %d ran after it was reported to its caller as notRun", r.id)
	}
	if r.exec != nil {
		w.ran[r.key]++
		w.answers[r.key] = r.marker()
		if w.ran[r.key] > 1 {
			t.Fatalf("R9: key %s ran %d times", r.key, w.ran[r.key])
		}
		return
	}
	if rapid.Bool().Draw(t, "most") {
		r.used = maxUse
	} else {
		r.used = ids.Tokens(uniform(t, "used", int(maxUse)))
	}
	root := r.program.Root()
	w.spent[root] += r.used
	if w.spent[root] > budget {
		t.Fatalf("R3: %s spent %d tokens of %d", root, w.spent[root], budget)
	}
}

// marker returns the content that identifies the answer to a request.
func (r *request) marker() string { return fmt.Sprintf("%s:%d", r.program, r.id) }

// uniform draws about evenly from 0 to n-1. rapid's own ranges prefer small numbers, with which requests rarely finish.
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

// running returns a request in progress that matches, or nil.
func (o *owner) running(match func(*request) bool) *request {
	for _, r := range o.current {
		if match(r) {
			return r
		}
	}
	return nil
}

func noError(t *rapid.T, err error) {
	if err != nil {
		t.Fatalf("unexpected error: %v", err)
	}
}
