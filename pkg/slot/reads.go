package slot

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Reads records when this instance read suspicions and releases. The zero value is ready for use.
type Reads struct {
	suspicions map[ids.WriterID]SuspicionRead
	releases   map[ids.Slot]ReleaseRead
}

// Observe records now as the time of all suspicions and releases that are new in the table since the last call. A recorded
// time must not be earlier than the read itself, so Observe is called after the records were folded, with the current time.
func (r *Reads) Observe(now time.Time, t *Table) {
	suspicions := make(map[ids.WriterID]SuspicionRead)
	for w, s := range t.suspicions {
		read := SuspicionRead{Writer: w, At: s.At, Read: now}
		if old, ok := r.suspicions[w]; ok && old.At == s.At {
			read = old
		}
		suspicions[w] = read
	}
	releases := make(map[ids.Slot]ReleaseRead)
	for i, o := range t.slots {
		if !o.Released {
			continue
		}
		read := ReleaseRead{Slot: ids.Slot(i), Epoch: o.Epoch, Read: now}
		if old, ok := r.releases[read.Slot]; ok && old.Epoch == o.Epoch {
			read = old
		}
		releases[read.Slot] = read
	}
	r.suspicions, r.releases = suspicions, releases
}

// Suspicions returns the value of View.Suspicions, sorted by writer.
func (r *Reads) Suspicions() []SuspicionRead {
	return slices.SortedFunc(maps.Values(r.suspicions), func(a, b SuspicionRead) int {
		return cmp.Compare(a.Writer, b.Writer)
	})
}

// Releases returns the value of View.Releases, sorted by slot.
func (r *Reads) Releases() []ReleaseRead {
	return slices.SortedFunc(maps.Values(r.releases), func(a, b ReleaseRead) int {
		return cmp.Compare(a.Slot, b.Slot)
	})
}
