package journal

import (
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Status is a journal's state for metrics and dumps.
type Status struct {
	Stream ids.Stream
	// Next is the offset that is read next; Oldest is the oldest kept offset as of the last read.
	Next, Oldest ids.Offset
	// Ready is false while the reader looks for a snapshot.
	Ready bool
	// Fresh is as returned by the method of that name.
	Fresh time.Time
	// Skipped counts entries that could not be interpreted; Ignored counts accepted entries' records that could not.
	Skipped, Ignored int64
	// Repeated counts entries that were ignored as copies.
	Repeated int64
	// Restored counts the snapshots that the reader restored.
	Restored int64
	// Queued is the number of calls whose records wait for the writer.
	Queued int
	// InFlight reports whether a batch waits to be seen by the reader.
	InFlight bool
	// ReadError and AppendError are those of the last finished request of their kind, nil if it succeeded.
	ReadError, AppendError error
}

// Status returns the present status.
func (j *Journal) Status() Status {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := j.status
	s.Stream = j.config.Stream
	s.Next = j.replay.Next()
	s.Oldest = j.replay.Oldest()
	s.Ready = j.replay.Ready()
	s.Queued = j.queue.len()
	s.InFlight = j.inFlight != nil
	return s
}
