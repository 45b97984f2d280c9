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
	unixMilli = int64(1_000_000) // all clocks agree here; time_test.go has clocks that do not
)

var (
	errTimeout = errors.New("verdict is not known")
	errLease   = errors.New("lease has ended")
	errNetwork = errors.New("connection failed")
)

// TestMain runs more and longer schedules than rapid's defaults, and leaves no files, since the printed seed repeats a
// failure. The -rapid flags replace these settings.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "1000", "rapid.steps": "200", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// world is an ordered log, owners that append to it and fold it, and a target that counts. Nothing happens by itself:
// a schedule is a sequence of steps, so a pause is a time in which an owner has none.
type world struct {
	log     []*appended
	owners  []*owner
	epochs  ids.Epoch
	serial  int
	wire    []*request // sent and not yet at the target
	ran     map[ids.RequestKey]int
	answers map[ids.RequestKey]string
	spent   map[ids.ProgramID]ids.Tokens
	// confirmed are the histories that callers were told are durable.
	confirmed []history
}

type history struct {
	program ids.ProgramID
	turns   []string
}

// appended is a record from its submission on. The writer learns the verdict when it folds the record, if it still waits.
type appended struct {
	writer  ids.WriterID
	body    record.Body
	folded  bool
	verdict error
}

type owner struct {
	world   *world
	id      ids.WriterID
	slot    *program.Slot
	read    int
	epoch   ids.Epoch // claimed
	queue   []*appended
	current []*request
	ledgers map[ids.ProgramID]*turn.Ledger
}

// request is one request of a caller at one owner; exec or call is set.
type request struct {
	id       int
	key      ids.RequestKey
	print    ids.Fingerprint
	program  ids.ProgramID
	exec     *program.Execution
	call     *turn.Call
	before   []string // history sent along
	wait     *appended
	left     bool // has been sent
	arrived  bool // at the target
	answered bool // by the target
	used     ids.Tokens
	told     program.Answer
	finished bool // the caller has been told
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
	// Every run has another retention setting, which must not lead to other verdicts.
	retention := time.Duration(w.serial) * time.Hour
	return &owner{
		world: w, id: ids.WriterID(fmt.Sprintf("i%d#%d", i, w.serial)),
		slot: program.New(program.Options{KeyRetention: retention}),
	}
}

func (o *owner) append(b record.Body) *appended {
	a := &appended{writer: o.id, body: b}
	o.queue = append(o.queue, a)
	return a
}

// land puts the first submitted record into the log.
func (o *owner) land() {
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
	// A reader gets the record from the log's bytes, never the writer's value.
	r, err := record.New(a.body)
	noError(t, err)
	body, err := r.Open()
	noError(t, err)
	verdict := o.slot.Apply(ids.Position{Offset: ids.Offset(o.read)}, a.writer, body)
	o.read++
	if a.writer != o.id {
		return
	}
	a.folded, a.verdict = true, verdict
	if _, ok := body.(*record.Open); ok {
		o.ledgers = make(map[ids.ProgramID]*turn.Ledger)
	}
}

// sync lands and folds everything.
func (o *owner) sync(t *rapid.T) {
	for len(o.queue) > 0 {
		o.land()
	}
	for o.read < len(o.world.log) {
		o.fold(t)
	}
}

// takeOver claims the next epoch. The claim itself is package slot's matter.
func (o *owner) takeOver() {
	o.world.epochs++
	o.epoch = o.world.epochs
	o.append(o.slot.NewOpen(time.UnixMilli(unixMilli), o.epoch, o.id))
}

// serves reports whether the owner has folded its open and no later one.
func (o *owner) serves() bool {
	e, w := o.slot.Epoch()
	return w == o.id && e == o.epoch
}

// crash replaces the run. Its unlanded records and its requests are gone; what is on the wire may still arrive.
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

// arrive lets a request on the wire reach the target, whose answer may be lost.
func (w *world) arrive(t *rapid.T) {
	if len(w.wire) == 0 {
		return
	}
	i := uniform(t, "wire", len(w.wire))
	r := w.wire[i]
	w.wire = append(w.wire[:i:i], w.wire[i+1:]...)
	r.arrived = true
	r.answered = uniform(t, "lost", 8) != 7
	if r.finished && r.told.Run == program.RunNot {
		t.Fatalf("R8: request %d ran after its caller was told notRun", r.id)
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

func (r *request) marker() string { return fmt.Sprintf("%s:%d", r.program, r.id) }

// uniform draws from 0 to n-1. rapid's own ranges prefer small numbers, with which requests seldom come to an end.
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
