package config_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"github.com/comfreylink/comfreylink/pkg/config"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// counter is a workspace whose burst the operators increment.
const counter = "workspace/counter"

// batch is one log entry with one publish. If the answer to an append was lost, the batch is in the log twice.
type batch struct {
	writer  ids.WriterID
	seq     int
	publish record.Publish
}

// reader folds the log as package replay does.
type reader struct {
	catalog *config.Catalog
	next    int
	seqs    map[ids.WriterID]int
}

func newReader() *reader { return &reader{catalog: config.New(), seqs: map[ids.WriterID]int{}} }

// step folds one entry and returns the error with which its publish was rejected. repeated means that the entry is a
// second copy.
func (r *reader) step(t *rapid.T, log []batch) (b batch, rejection error, repeated bool) {
	b = log[r.next]
	at := ids.Position{Offset: ids.Offset(r.next)}
	r.next++
	if b.seq <= r.seqs[b.writer] {
		return b, nil, true
	}
	r.seqs[b.writer] = b.seq
	before := r.catalog.Revision()
	rejection = r.catalog.Apply(at, b.writer, &b.publish)
	switch after := r.catalog.Revision(); {
	case rejection == nil && after != ids.Revision(at.Offset):
		t.Fatalf("accepted at %d, but the revision is %d", at.Offset, after)
	case rejection != nil && after != before:
		t.Fatalf("ignored at %d, but the revision went from %d to %d", at.Offset, before, after)
	}
	return b, rejection, false
}

// operator publishes increments of the counter workspace's burst, based on what it last read.
type operator struct {
	*reader
	name     ids.WriterID
	seq      int
	pending  *batch
	accepted int
}

func (o *operator) read(t *rapid.T, log []batch, limit int) {
	for ; limit > 0 && o.next < len(log); limit-- {
		b, rejection, repeated := o.step(t, log)
		if repeated || b.writer != o.name {
			continue
		}
		if rejection == nil {
			o.accepted++
		}
		o.pending = nil
	}
}

func (o *operator) publish() batch {
	object, _ := o.catalog.Current().Object(counter)
	var w config.Workspace
	if err := json.Unmarshal(object.Document, &w); err != nil {
		panic(err)
	}
	w.Burst++
	o.seq++
	b := batch{o.name, o.seq, record.Publish{Object: counter, Base: object.Revision, Document: encode(w)}}
	o.pending = &b
	return b
}

// Guards against a lost or reverted publish when operators race, answers are lost, batches are repeated and readers
// start from snapshots. Each accepted publish adds one to the burst, so the sum shows if one was overwritten.
func TestOperatorsRace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := []batch{
			{"setup", 1, record.Publish{Object: "template/brain", Base: ids.NoRevision, Document: templateDocument}},
			{"setup", 2, record.Publish{Object: counter, Base: ids.NoRevision, Document: workspaceDocument}},
		}
		operators := make([]*operator, rapid.IntRange(2, 4).Draw(t, "operators"))
		for i := range operators {
			operators[i] = &operator{reader: newReader(), name: ids.WriterID(fmt.Sprintf("operator-%d", i))}
			operators[i].read(t, log, len(log))
		}
		var repeats []batch
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			o := rapid.SampledFrom(operators).Draw(t, "operator")
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				o.read(t, log, rapid.IntRange(1, 5).Draw(t, "entries"))
			case 1:
				if o.pending == nil {
					log = append(log, o.publish())
				}
			case 2: // The answer was lost, so the same batch is appended again later.
				if o.pending != nil {
					repeats = append(repeats, *o.pending)
				}
			case 3:
				log, repeats = append(log, repeats...), nil
			case 4:
				log = append(log, drawPublish(t, len(log)))
			}
		}
		checkReaders(t, append(log, repeats...), operators)
	})
}

// drawPublish draws a publish that may be stale, invalid or a removal, of any object except the counter.
func drawPublish(t *rapid.T, length int) batch {
	objects := []string{"template/brain", "template/desk", "workspace/a", "workspace/b", "gadget/x", "template/"}
	documents := []string{string(templateDocument), string(workspaceDocument), "null", `{"rate":-1}`, `{"other":1}`, "["}
	return batch{ids.WriterID(fmt.Sprintf("any-%d", length)), 1, record.Publish{
		Object:   rapid.SampledFrom(objects).Draw(t, "object"),
		Base:     ids.Revision(rapid.IntRange(-1, length).Draw(t, "base")),
		Document: json.RawMessage(rapid.SampledFrom(documents).Draw(t, "document")),
	}}
}

// checkReaders checks that each accepted publish is in force, and that the operators, a reader that starts from a
// snapshot and one that reads the whole log have the same state.
func checkReaders(t *rapid.T, log []batch, operators []*operator) {
	fresh := newReader()
	snapshotAt := rapid.IntRange(0, len(log)).Draw(t, "snapshot after")
	var restored *reader
	for {
		if fresh.next == snapshotAt {
			restored = restore(t, fresh)
		}
		if fresh.next == len(log) {
			break
		}
		fresh.step(t, log)
	}
	for restored.next < len(log) {
		restored.step(t, log)
	}
	want := snapshot(t, fresh)
	if got := snapshot(t, restored); got != want {
		t.Fatalf("restored after %d entries:\n%s\nfolded from the start:\n%s", snapshotAt, got, want)
	}
	accepted := 0
	for _, o := range operators {
		o.read(t, log, len(log))
		if got := snapshot(t, o.reader); got != want {
			t.Fatalf("%s has\n%s\nwant\n%s", o.name, got, want)
		}
		accepted += o.accepted
	}
	w, _ := fresh.catalog.Workspace("counter")
	if w.Burst != initialBurst+accepted {
		t.Fatalf("%d publishes were accepted, %d are in force", accepted, w.Burst-initialBurst)
	}
}

func restore(t *rapid.T, from *reader) *reader {
	r := newReader()
	if err := r.catalog.Restore([]byte(snapshot(t, from))); err != nil {
		t.Fatal(err)
	}
	r.next, r.seqs = from.next, maps.Clone(from.seqs)
	return r
}

func snapshot(t *rapid.T, r *reader) string {
	data, err := r.catalog.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
