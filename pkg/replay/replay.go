// Package replay interprets the entries of one stream of the log. It decodes batches, ignores duplicates, passes each
// record to a fold, and handles snapshots and retention, so that every reader of the stream reaches the same state.
//
// A new reader starts at offset 0. As long as the log retains the reader's next offset, the reader interprets every entry
// from there on and ignores the snapshots among them. If the log has truncated that offset, which may be so at the start
// or when a slow reader falls behind, the reader searches for a snapshot. It interprets no entries until it has read all
// parts of a snapshot that covers at least the offset before the oldest retained one. Then it restores that state and
// continues after the last offset that the snapshot covers, which means that it reads some entries again.
//
// If the log has no complete snapshot, the reader cannot know the state before the oldest retained entry. It keeps
// searching in later entries and is not Ready. Its fold keeps the earlier state, so no partial state is ever visible.
package replay

import (
	"errors"
	"fmt"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// ErrNotReady is returned by Snapshot while the reader searches for a snapshot itself.
var ErrNotReady = errors.New("the stream's state is not known: no complete snapshot read yet")

// Fold is the state that results from a stream's records. It must be deterministic, so it uses no clock and no randomness.
type Fold interface {
	// Apply folds one record. A rejected record changes nothing; the error is the reason.
	Apply(at ids.Position, w ids.WriterID, b record.Body) error
	// Snapshot returns the whole state.
	Snapshot() (data []byte, err error)
	// Restore replaces the whole state by that of a snapshot; nothing of the old state may remain. On an error it leaves the
	// state unchanged.
	Restore(data []byte) error
}

// Kind says how an entry was handled.
type Kind int

const (
	// NotDue: the entry was not interpreted, because it was interpreted before or will be read again after a restore.
	NotDue Kind = iota
	// Scanned: the entry was only searched for parts of a snapshot.
	Scanned
	// Restored: the entry completed a snapshot, and the fold was restored from it.
	Restored
	// Applied: the entry's records were passed to the fold.
	Applied
	// Duplicate: the entry's sequence number is not above its writer's last one, so it was ignored.
	Duplicate
	// Malformed: the entry was skipped, or a complete snapshot could not be restored.
	Malformed
)

// Result says how one entry was handled.
type Result struct {
	Kind Kind
	// Writer and Seq are those of the batch if Kind is Applied or Duplicate.
	Writer ids.WriterID
	Seq    int64
	// RecordErrors has one element for each record of an applied batch: nil if the record was accepted, otherwise the reason
	// for its rejection. The error of a malformed record, which is not passed to the fold, wraps record.ErrMalformed.
	RecordErrors []error
	// Err is the error if Kind is Malformed.
	Err error
}

// Replay is one reader's state of one stream. Its methods may not be called concurrently.
type Replay struct {
	fold      Fold
	partBytes int
	writers   writers
	next      ids.Offset
	oldest    ids.Offset
	search    *search // nil if the reader is ready
	reread    bool    // a restore moved next back, so the rest of the page is skipped
}

// New returns a reader that starts at offset 0 with a fold in its initial state.
func New(f Fold) *Replay {
	return &Replay{fold: f, partBytes: MaxPartBytes, writers: make(writers)}
}

// Next returns the offset to read next.
func (r *Replay) Next() ids.Offset { return r.next }

// Oldest returns the oldest offset that the log retained as of the last page.
func (r *Replay) Oldest() ids.Offset { return r.oldest }

// Ready reports whether the fold holds the state before Next. It returns false while the reader searches for a snapshot.
func (r *Replay) Ready() bool { return r.search == nil }

// LastSeq returns the highest sequence number of a writer's interpreted batches, or 0.
func (r *Replay) LastSeq(w ids.WriterID) int64 { return r.writers[w].Seq }

// Page begins a page that was read from Next, when oldest was the oldest offset that the log retained. The caller then
// passes the page's entries to ApplyEntry in order, and the offset after the page to EndPage.
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

// ApplyEntry interprets one entry.
func (r *Replay) ApplyEntry(o ids.Offset, data []byte) Result {
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

// EndPage ends a page; next is the offset after it.
func (r *Replay) EndPage(next ids.Offset) {
	if !r.reread {
		r.next = max(r.next, next)
	}
}

// apply decodes a record and passes it to the fold, except for parts of snapshots.
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

// scan searches an entry for parts of a snapshot and restores the first snapshot that is complete. A malformed entry counts
// as an empty batch; it is reported if the reader reads it again after the restore.
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
			continue // covers entries that follow it, or entries after it are no longer retained
		}
		data, complete := r.search.add(b.Writer, s)
		if !complete {
			continue
		}
		if err := r.restore(data); err != nil {
			return Result{Kind: Malformed, Err: fmt.Errorf("restore the snapshot that covers up to offset %d: %w", s.Covers, err)}
		}
		r.next = s.Covers + 1
		r.search = nil
		r.reread = true
		return Result{Kind: Restored}
	}
	return Result{Kind: Scanned}
}
