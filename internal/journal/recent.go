package journal

import (
	"errors"
	"fmt"

	"github.com/comfreylink/comfreylink/internal/logservice"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/replay"
)

// entryOverhead is counted for each entry that is kept, besides its data.
const entryOverhead = 64

// recent keeps the last entries that were interpreted, without a gap from the offset since, for peers that cannot read
// the log. The oldest ones are dropped when it is full.
type recent struct {
	maxBytes int
	bytes    int
	since    ids.Offset
	entries  []logservice.Entry
}

func (r *recent) add(e logservice.Entry, kind replay.Kind) {
	switch {
	case kind == replay.NotDue:
		return
	case kind == replay.Scanned || kind == replay.Restored:
		r.entries, r.bytes = nil, 0 // what came before may be missing
		r.since = e.Offset + 1
		return
	}
	// Without room for it, the entry is dropped again at once, and since shows that it is missing.
	r.entries = append(r.entries, e)
	r.bytes += len(e.Data) + entryOverhead
	for r.bytes > r.maxBytes {
		r.bytes -= len(r.entries[0].Data) + entryOverhead
		r.since = r.entries[0].Offset + 1
		r.entries = r.entries[1:]
	}
}

// Recent returns the entries from an offset up to the reader's next one. It returns ok false if there are none, or not
// all are kept.
func (j *Journal) Recent(from ids.Offset) (p logservice.Page, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	next := j.replay.Next()
	if !j.replay.Ready() || from < j.recent.since || from >= next {
		return p, false
	}
	p.Next = next
	for _, e := range j.recent.entries {
		if e.Offset >= from {
			p.Entries = append(p.Entries, e)
		}
	}
	return p, true
}

// Feed folds a page that a peer's journal returned for the offset from, as if the log had returned it. The reader
// continues behind it when it reaches the log again, and passes over entries that it has read meanwhile. The page does
// not count for Fresh: it does not show the end of the stream.
func (j *Journal) Feed(from ids.Offset, p logservice.Page) (err error) {
	defer func() { err = j.annotate(err, "take entries of a peer") }()
	at := from
	for _, e := range p.Entries {
		if e.Offset < at || e.Offset >= p.Next {
			return fmt.Errorf("offset %d is not from %d to %d", e.Offset, at, p.Next-1)
		}
		at = e.Offset + 1
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.replay.Ready() || j.replay.Next() < from {
		return errors.New("the reader looks for a snapshot")
	}
	j.replay.Page(j.replay.Oldest())
	j.applyEntries(p)
	return nil
}
