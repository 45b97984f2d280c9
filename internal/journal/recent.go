package journal

import (
	"errors"
	"fmt"

	"github.com/comfreylink/comfreylink/internal/logservice"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/replay"
)

// entryOverhead is the size that is counted for each kept entry in addition to its data.
const entryOverhead = 64

// recent keeps the last entries that the reader interpreted, for peers that cannot read the log. It has all entries from
// the offset first on. When it is full, the oldest entries are dropped.
type recent struct {
	maxBytes int
	bytes    int
	first    ids.Offset
	entries  []logservice.Entry
}

func (r *recent) add(e logservice.Entry, kind replay.Kind) {
	switch {
	case kind == replay.NotDue:
		return
	case kind == replay.Scanned || kind == replay.Restored:
		r.entries, r.bytes = nil, 0 // entries before this one may be missing
		r.first = e.Offset + 1
		return
	}
	// An entry that is larger than the limit is dropped again at once, and first is the offset after it.
	r.entries = append(r.entries, e)
	r.bytes += len(e.Data) + entryOverhead
	for r.bytes > r.maxBytes {
		r.bytes -= len(r.entries[0].Data) + entryOverhead
		r.first = r.entries[0].Offset + 1
		r.entries = r.entries[1:]
	}
}

// Recent returns the entries from an offset up to the reader's next offset. It returns false if there are none or if some
// of them are not kept.
func (j *Journal) Recent(from ids.Offset) (p logservice.Page, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	next := j.replay.Next()
	if !j.replay.Ready() || from < j.recent.first || from >= next {
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

// Feed folds a page that a peer's Recent returned for the offset from, as if the log had returned it. It skips entries that
// the reader has already folded. When the log is available again, the reader continues after the page. The page does not
// affect Fresh and CaughtUp, because it does not show the end of the stream.
func (j *Journal) Feed(from ids.Offset, p logservice.Page) (err error) {
	defer func() { err = j.annotate(err, "apply entries of a peer") }()
	at := from
	for _, e := range p.Entries {
		if e.Offset < at || e.Offset >= p.Next {
			return fmt.Errorf("offset %d is not in the expected range from %d to %d", e.Offset, at, p.Next-1)
		}
		at = e.Offset + 1
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.replay.Ready() || j.replay.Next() < from {
		return errors.New("the reader searches for a snapshot or has not reached the page")
	}
	j.replay.Page(j.replay.Oldest())
	j.applyEntries(p)
	return nil
}
