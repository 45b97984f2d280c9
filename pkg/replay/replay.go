// Package replay interprets the entries of one stream of the log: it decodes batches, ignores repeated ones, gives each
// record to a fold, and handles snapshots and retention, so that every reader of the stream reaches the same state.
//
// A reader whose next offset is kept interprets every entry from there on; a new reader starts at offset 0. If the next
// offset is no longer kept, at the start or because retention overtook a slow reader, the reader looks for a snapshot:
// it interprets nothing until it has read all parts of one that covers at least the offset before the oldest kept one.
// It restores that state and continues behind the snapshot's last covered offset, reading some entries again. Snapshots
// met while following are ignored.
//
// If no complete snapshot is kept, the state before the oldest kept entry is lost to this reader. It keeps looking in
// later entries, is not Ready, and never shows a partial state as the present one: its fold keeps what it had before.
package replay

import (
	"errors"
	"fmt"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// ErrNotReady is returned by Snapshot while the reader looks for a snapshot itself.
var ErrNotReady = errors.New("the stream's state is not known: no complete snapshot read yet")

// Fold is the state that a stream's records build up. It must be deterministic: no clock, no randomness.
type Fold interface {
	// Apply gives the fold one record; an error tells why the record is ignored.
	Apply(at ids.Position, w ids.WriterID, b record.Body) error
	// Snapshot returns the whole state.
	Snapshot() (data []byte, err error)
	// Restore replaces the whole state, of which nothing may remain. On an error it leaves the state as it was.
	Restore(data []byte) error
}

// Kind tells what became of an entry.
type Kind int

const (
	// NotDue: the entry is not due, because it was interpreted before or has to be read again after a restore.
	NotDue Kind = iota
	// Scanned: the entry was only searched for a part of a snapshot.
	Scanned
	// Restored: the entry completed a snapshot, and the fold was restored from it.
	Restored
	// Applied: the entry's records were given to the fold.
	Applied
	// Duplicate: the entry's sequence number is not above its writer's last, and it was ignored.
	Duplicate
	// Malformed: the entry was skipped, or a complete snapshot could not be restored.
	Malformed
)

// Result is the outcome of one entry.
type Result struct {
	Kind Kind
	// Writer and Seq are those of the batch if Kind is Applied or Duplicate.
	Writer ids.WriterID
	Seq    int64
	// RecordErrors has one element for each record of an applied batch: nil if accepted, otherwise why it is ignored. It
	// wraps record.ErrMalformed for a record that did not reach the fold.
	RecordErrors []error
	// Err tells why the entry is malformed.
	Err error
}

// Replay is one reader's state of one stream. Its methods may not be called concurrently.
type Replay struct {
	fold      Fold
	partBytes int
	writers   writers
	next      ids.Offset
	oldest    ids.Offset
	search    *search // nil while following
	reread    bool    // a restore moved next back: the rest of the page is not due
}

// New returns a reader that starts at offset 0 with a fold in its initial state.
func New(f Fold) *Replay {
	return &Replay{fold: f, partBytes: MaxPartBytes, writers: make(writers)}
}

// Next returns the offset to read from.
func (r *Replay) Next() ids.Offset { return r.next }

// Oldest returns the oldest kept offset as of the last page.
func (r *Replay) Oldest() ids.Offset { return r.oldest }

// Ready reports whether the fold holds the state before Next; it does not while the reader looks for a snapshot.
func (r *Replay) Ready() bool { return r.search == nil }

// LastSeq returns the highest sequence number of a writer's interpreted batches, or 0.
func (r *Replay) LastSeq(w ids.WriterID) int64 { return r.writers[w].Seq }

// Page begins a page that was read from Next, with the oldest offset kept at that time. Its entries are then given to
// Entry in order, and its next offset to Advance.
func (r *Replay) Page(oldest ids.Offset) {
	r.reread = false
	r.oldest = max(r.oldest, oldest)
	if r.next >= r.oldest {
		return
	}
	r.next = r.oldest
	if r.search == nil {
		r.search = &search{}
	}
}

// Entry interprets one entry.
func (r *Replay) Entry(o ids.Offset, data []byte) Result {
	if r.reread || o < r.next {
		return Result{Kind: NotDue}
	}
	r.next = o + 1
	b, err := record.Decode(data)
	if r.search != nil {
		return r.scan(o, b)
	}
	if err != nil {
		return Result{Kind: Malformed, Err: err}
	}
	res := Result{Writer: b.Writer, Seq: b.Seq, Kind: Duplicate}
	if !r.writers.admit(b.Writer, b.Seq, o) {
		return res
	}
	res.Kind = Applied
	res.RecordErrors = make([]error, len(b.Records))
	for i, rec := range b.Records {
		res.RecordErrors[i] = r.apply(ids.Position{Offset: o, Index: i}, b.Writer, rec)
	}
	return res
}

// Advance ends a page with the offset that follows it.
func (r *Replay) Advance(next ids.Offset) {
	if !r.reread {
		r.next = max(r.next, next)
	}
}

func (r *Replay) apply(at ids.Position, w ids.WriterID, rec record.Record) error {
	body, err := rec.Open()
	if err != nil {
		return err
	}
	if body.Type() == record.TypeSnapshot {
		return nil
	}
	return r.fold.Apply(at, w, body)
}

// scan searches an entry for parts of a snapshot. A malformed entry is an empty batch here; it is reported if it is
// read again after the restore.
func (r *Replay) scan(o ids.Offset, b record.Batch) Result {
	for _, rec := range b.Records {
		if rec.Type != record.TypeSnapshot {
			continue
		}
		body, err := rec.Open()
		if err != nil {
			continue
		}
		s := body.(*record.Snapshot)
		if s.Covers >= o || s.Covers < r.oldest-1 {
			continue // not a state of the past, or one that cannot be continued
		}
		data, complete := r.search.add(b.Writer, s)
		if !complete {
			continue
		}
		if err := r.restore(data); err != nil {
			return Result{Kind: Malformed, Err: fmt.Errorf("restore the snapshot covering %d: %w", s.Covers, err)}
		}
		r.next = s.Covers + 1
		r.search = nil
		r.reread = true
		return Result{Kind: Restored}
	}
	return Result{Kind: Scanned}
}
