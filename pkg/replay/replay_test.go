package replay

import (
	"encoding/json"
	"errors"
	"flag"
	"os"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("2000")
	}
	os.Exit(m.Run())
}

// chainedFold is a fold whose state depends on every accepted record, its position and the order of the records.
type chainedFold struct {
	Epoch ids.Epoch `json:"epoch"`
	Sum   uint64    `json:"sum"`
}

func (f *chainedFold) Apply(at ids.Position, w ids.WriterID, b record.Body) error {
	switch b := b.(type) {
	case *record.Open:
		if b.Epoch <= f.Epoch {
			return errors.New("old epoch")
		}
		f.Epoch = b.Epoch
	case *record.Reserve:
		if b.Epoch < f.Epoch {
			return errors.New("old epoch")
		}
		f.Sum = f.Sum*31 + uint64(b.UpTo)
	default:
		return errors.New("not of this stream")
	}
	f.Sum = f.Sum*31 + uint64(at.Offset)*7 + uint64(at.Index) + uint64(len(w))
	return nil
}

func (f *chainedFold) Snapshot() ([]byte, error) { return json.Marshal(f) }

func (f *chainedFold) Restore(data []byte) error {
	var restored chainedFold
	if err := json.Unmarshal(data, &restored); err != nil {
		return err
	}
	*f = restored
	return nil
}

type reader struct {
	*Replay
	name     ids.WriterID
	fold     *chainedFold
	restores int
}

func newReader(name string) *reader {
	f := &chainedFold{}
	r := &reader{Replay: New(f), name: ids.WriterID(name), fold: f}
	r.partBytes = 40 // so that a snapshot has several parts
	return r
}

func (r *reader) state(t interface{ Fatal(...any) }) string {
	data, err := r.encode()
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// garbage holds entries that comfreylink did not write. The last one is a snapshot that covers an offset far ahead.
var garbage = []string{
	"",
	"{",
	`{"writer":"a"}`,
	`{"writer":"a","seq":1000,"records":7}`,
	`{"writer":"x","seq":1,"records":[{"type":"snapshot","body":{"covers":1000,"part":0,"parts":1,"data":"eyJ3cml0ZXJzIjp7fX0Ke30="}}]}`,
}

// world is a stream with limited retention, its readers, and the state that a reader of all entries has at each offset.
type world struct {
	t         *rapid.T
	entries   [][]byte
	oldest    int
	model     chainedFold // has each batch once, where it was first appended
	reference *reader
	states    []string // by next offset
	readers   []*reader
	seqs      map[ids.WriterID]int64
	unsent    []record.Batch // parts of snapshots, to be appended in order
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, reference: newReader("reference"), seqs: map[ids.WriterID]int64{}}
	w.reference.Page(0)
	w.states = []string{w.reference.state(t)}
	return w
}

func (w *world) append(data []byte) {
	w.reference.ApplyEntry(ids.Offset(len(w.entries)), data)
	if *w.reference.fold != w.model {
		w.t.Fatalf("after offset %d:\ngot  %+v\nwant %+v", len(w.entries), *w.reference.fold, w.model)
	}
	w.entries = append(w.entries, data)
	w.states = append(w.states, w.reference.state(w.t))
}

func (w *world) appendBatch(b record.Batch) {
	for i, rec := range b.Records {
		if body, err := rec.Open(); err == nil {
			_ = w.model.Apply(ids.Position{Offset: ids.Offset(len(w.entries)), Index: i}, b.Writer, body)
		}
	}
	data, err := b.Encode()
	if err != nil {
		w.t.Fatal(err)
	}
	w.append(data)
}

func (w *world) batch(writer ids.WriterID, bodies ...record.Body) record.Batch {
	w.seqs[writer]++
	b := record.Batch{Writer: writer, Seq: w.seqs[writer]}
	for _, body := range bodies {
		rec, err := record.New(body)
		if err != nil {
			w.t.Fatal(err)
		}
		b.Records = append(b.Records, rec)
	}
	return b
}

func (w *world) snapshot(r *reader) (batches []record.Batch) {
	parts, err := r.Snapshot()
	if err != nil && !errors.Is(err, ErrNotReady) {
		w.t.Fatal(err)
	}
	for _, p := range parts {
		batches = append(batches, w.batch(r.name, p))
	}
	return batches
}

func (w *world) read(r *reader, n int) {
	from := max(int(r.Next()), w.oldest)
	r.Page(ids.Offset(w.oldest))
	for i := from; i < min(from+n, len(w.entries)); i++ {
		if r.ApplyEntry(ids.Offset(i), w.entries[i]).Kind == Restored {
			r.restores++
		}
	}
	r.EndPage(ids.Offset(min(from+n, len(w.entries))))
	if !r.Ready() {
		return
	}
	if got, want := r.state(w.t), w.states[r.Next()]; got != want {
		w.t.Fatalf("%s at offset %d after %d restores:\ngot  %s\nwant %s", r.name, r.Next(), r.restores, got, want)
	}
}

// step carries out one random event.
func (w *world) step() {
	t := w.t
	switch rapid.IntRange(0, 9).Draw(t, "event") {
	case 0, 1, 2: // a writer's next batch
		name := ids.WriterID(rapid.SampledFrom([]string{"a", "b", "cc"}).Draw(t, "writer"))
		var bodies []record.Body
		for range rapid.IntRange(0, 2).Draw(t, "records") {
			epoch := ids.Epoch(rapid.IntRange(0, 4).Draw(t, "epoch")) // 0 is invalid
			if rapid.Bool().Draw(t, "open") {
				bodies = append(bodies, &record.Open{Epoch: epoch, Owner: name})
				continue
			}
			bodies = append(bodies, &record.Reserve{Epoch: epoch, Workspace: "w", Program: "p", UpTo: ids.Tokens(len(w.entries))})
		}
		w.appendBatch(w.batch(name, bodies...))
	case 3: // a late copy of any entry that was ever appended
		if len(w.entries) > 0 {
			w.append(w.entries[rapid.IntRange(0, len(w.entries)-1).Draw(t, "copied")])
		}
	case 4:
		w.append([]byte(rapid.SampledFrom(garbage).Draw(t, "garbage")))
	case 5: // a reader starts to write a snapshot
		if len(w.readers) > 0 {
			w.unsent = append(w.unsent, w.snapshot(rapid.SampledFrom(w.readers).Draw(t, "snapshot by"))...)
		}
	case 6: // some of the waiting parts are appended
		n := min(len(w.unsent), rapid.IntRange(1, 8).Draw(t, "parts"))
		for _, b := range w.unsent[:n] {
			w.appendBatch(b)
		}
		w.unsent = w.unsent[n:]
	case 7:
		w.oldest = rapid.IntRange(w.oldest, len(w.entries)).Draw(t, "oldest")
	case 8:
		w.readers = append(w.readers, newReader("reader"+strconv.Itoa(len(w.readers))))
	case 9:
		if len(w.readers) > 0 {
			w.read(rapid.SampledFrom(w.readers).Draw(t, "reader"), rapid.IntRange(1, 12).Draw(t, "entries"))
		}
	}
}

// Guards against readers that reach different states. Whatever entries are repeated, late, malformed or truncated, a reader
// that is ready has the state that a reader of all entries has at that offset, and one complete snapshot makes every reader
// ready.
func TestReadersReachTheSameState(t *testing.T) {
	restores, truncated := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			w.step()
		}
		for _, b := range w.snapshot(w.reference) {
			w.appendBatch(b)
		}
		w.readers = append(w.readers, newReader("last"))
		for _, r := range w.readers {
			if int(r.Next()) < w.oldest && r.Next() > 0 {
				truncated++
			}
			for range 100 { // more than twice the reads that any stream needs
				w.read(r, 7)
			}
			if r.Next() != ids.Offset(len(w.entries)) {
				t.Fatalf("%s does not read on after offset %d", r.name, r.Next())
			}
			if !r.Ready() && len(w.entries) > 0 {
				t.Fatalf("%s did not find the last snapshot", r.name)
			}
			restores += r.restores
		}
	})
	t.Logf("%d restores, %d readers whose next offset was truncated at the end", restores, truncated)
	if !t.Failed() && (restores < 1000 || truncated < 100) {
		t.Errorf("%d restores, %d readers whose next offset was truncated: the schedules cover too little, want at least 1000 and 100", restores, truncated)
	}
}

// Guards against a reader that is ready although the entries before the oldest retained one are lost and no snapshot is
// complete.
func TestNoCompleteSnapshot(t *testing.T) {
	c := qt.New(t)
	r := newReader("r")
	r.Page(3)
	c.Assert(r.ApplyEntry(3, []byte(`{"writer":"a","seq":1,"records":[]}`)).Kind, qt.Equals, Scanned)
	part := `{"writer":"a","seq":2,"records":[{"type":"snapshot","body":{"covers":3,"part":0,"parts":2,"data":""}}]}`
	c.Assert(r.ApplyEntry(4, []byte(part)).Kind, qt.Equals, Scanned)
	c.Assert(r.Ready(), qt.IsFalse)
	_, err := r.Snapshot()
	c.Assert(err, qt.ErrorIs, ErrNotReady)
}

// Guards against a state that is joined from parts of different snapshots.
func TestPartsOfDifferentSnapshotsAreNotJoined(t *testing.T) {
	c := qt.New(t)
	var s search
	_, complete := s.add("a", &record.Snapshot{Covers: 3, Part: 1, Parts: 2, Data: []byte("old")})
	c.Assert(complete, qt.IsFalse)
	_, complete = s.add("a", &record.Snapshot{Covers: 7, Part: 0, Parts: 2, Data: []byte("new 0,")})
	c.Assert(complete, qt.IsFalse)
	_, complete = s.add("b", &record.Snapshot{Covers: 7, Part: 1, Parts: 2, Data: []byte("other")})
	c.Assert(complete, qt.IsFalse)
	data, complete := s.add("a", &record.Snapshot{Covers: 7, Part: 1, Parts: 2, Data: []byte("new 1")})
	c.Assert(complete, qt.IsTrue)
	c.Assert(string(data), qt.Equals, "new 0,new 1")
}

// Guards against an unknown or invalid record that prevents the other records of its batch from being folded.
func TestMalformedRecordAffectsOnlyItself(t *testing.T) {
	c := qt.New(t)
	r := newReader("r")
	res := r.ApplyEntry(0, []byte(`{"writer":"a","seq":1,"records":[{"type":"new","body":{}},{"type":"open","body":{"epoch":1,"owner":"a"}},{"type":"open","body":{}}]}`))
	c.Assert(res.RecordErrors[0], qt.ErrorIs, record.ErrMalformed)
	c.Assert(res.RecordErrors[1], qt.IsNil)
	c.Assert(res.RecordErrors[2], qt.ErrorIs, record.ErrMalformed)
	c.Assert(r.fold.Epoch, qt.Equals, ids.Epoch(1))
}

// Guards against a list of writers that grows with every restart.
func TestWritersAreBounded(t *testing.T) {
	c := qt.New(t)
	ws := make(writers)
	for i := range MaxWriters + 10 {
		c.Assert(ws.admit(ids.WriterID(strconv.Itoa(i)), 1, ids.Offset(i)), qt.IsTrue)
	}
	c.Assert(ws, qt.HasLen, MaxWriters)
	c.Assert(ws["9"].Seq, qt.Equals, int64(0))
	c.Assert(ws["10"].Seq, qt.Equals, int64(1))
}
