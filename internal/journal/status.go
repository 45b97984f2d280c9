package journal

import (
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Status is a journal's state for metrics and dumps.
type Status struct {
	Stream ids.Stream
	// Next is the offset to read next. Oldest is the oldest offset that the log retained as of the last read.
	Next, Oldest ids.Offset
	// Ready is false while the reader searches for a snapshot.
	Ready bool
	// Fresh is the result of Journal.Fresh.
	Fresh time.Time
	// MalformedEntries counts the entries of kind replay.Malformed: malformed ones, and complete snapshots that could not be
	// restored.
	MalformedEntries int64 `json:"Skipped"`
	// MalformedRecords counts the malformed records in other entries.
	MalformedRecords int64 `json:"Ignored"`
	// Duplicate counts the entries that were ignored as duplicates.
	Duplicate int64 `json:"Repeated"`
	// Restored counts the snapshots that the reader restored.
	Restored int64
	// Queued is the number of Append and Submit calls whose records wait for the writer.
	Queued int
	// InFlight reports whether the writer waits until the reader finds a batch in the stream.
	InFlight bool
	// ReadError and AppendError are the errors of the last read and the last append that ended; nil after a success.
	ReadError, AppendError error
}

// Status returns the current status.
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
