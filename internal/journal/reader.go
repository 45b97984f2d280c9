package journal

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/logservice"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
	"github.com/comfreylink/comfreylink/pkg/replay"
)

// readBytes is the maximum size of a page. It is several times record.MaxEntryBytes, so that a page can show that it reaches
// the end of the stream.
const readBytes = 4 << 20

// read is the reader task. A read waits for new entries only if the previous read reached the end of the stream. So the
// reader notices at once that it has caught up with an idle stream, or that the log is available again.
func (j *Journal) read(ctx context.Context) error {
	wait := time.Duration(0)
	for failures := 0; ctx.Err() == nil; {
		started := j.config.Now()
		from := j.next()
		p, err := j.config.Log.Read(ctx, j.config.Stream, from, readBytes, wait)
		if err == nil && p.Next < from {
			err = fmt.Errorf("the log returned next offset %d for a read from offset %d", p.Next, from)
		}
		if ctx.Err() != nil {
			return nil
		}
		j.updateReadStatus(err)
		if err != nil {
			pause(ctx, j.delays.retry(failures))
			failures++
			wait = 0
			continue
		}
		failures = 0
		returnedEarly := len(p.Entries) == 0 && j.config.Now().Sub(started) < wait/2
		wait = 0
		if j.apply(p, started) {
			wait = j.config.ReadWait
		}
		if returnedEarly { // the log service did not wait for entries
			pause(ctx, j.delays.retry(0))
		}
	}
	return nil
}

func (j *Journal) next() ids.Offset {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.replay.Next()
}

// apply folds a page that was read from the log by a read that began at the time started. It reports whether the reader has
// reached the end of the stream.
func (j *Journal) apply(p logservice.Page, started time.Time) (atEnd bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.beginPage(p.Oldest)
	j.applyEntries(p)
	// A reader that searches for a snapshot waits for entries at the end too, but has no state that could be up to date.
	atEnd = p.AtEnd && j.replay.Next() >= p.Next
	if atEnd && j.replay.Ready() {
		j.status.Fresh = started
		j.caughtUpOnce.Do(func() { close(j.caughtUp) })
	}
	return atEnd
}

// applyEntries folds the entries of a page. The caller holds the lock.
func (j *Journal) applyEntries(p logservice.Page) {
	applied := false
	for _, e := range p.Entries {
		res := j.replay.ApplyEntry(e.Offset, e.Data)
		j.recent.add(e, res.Kind)
		j.count(e.Offset, res)
		j.endInFlight(e.Data, res)
		applied = applied || res.Kind == replay.Applied || res.Kind == replay.Restored
	}
	j.replay.EndPage(p.Next)
	if applied {
		close(j.changed)
		j.changed = make(chan struct{})
	}
}

// beginPage begins a page of the log and logs an event if the reader has to search for a snapshot.
func (j *Journal) beginPage(oldest ids.Offset) {
	ready := j.replay.Ready()
	next := j.replay.Next()
	j.replay.Page(oldest)
	if ready && !j.replay.Ready() {
		j.event(events.SnapshotNeeded, zap.Int64("next", int64(next)), zap.Int64("oldest", int64(oldest)))
	}
}

// count updates the status by the result of an entry, and logs what was skipped or rejected.
func (j *Journal) count(o ids.Offset, res replay.Result) {
	switch res.Kind {
	case replay.Malformed:
		j.status.MalformedEntries++
		j.event(events.EntrySkipped, zap.Int64("offset", int64(o)), zap.NamedError("reason", res.Err))
	case replay.Duplicate:
		j.status.Duplicate++
	case replay.Restored:
		j.status.Restored++
		j.event(events.SnapshotRestored, zap.Int64("offset", int64(o)), zap.Int64("next", int64(j.replay.Next())))
	case replay.Applied:
		for i, reason := range res.RecordErrors {
			if errors.Is(reason, record.ErrMalformed) {
				j.status.MalformedRecords++
				j.event(events.EntrySkipped, zap.Int64("offset", int64(o)), zap.Int("index", i), zap.NamedError("reason", reason))
			} else if reason != nil {
				j.event(events.RecordIgnored, zap.Int64("offset", int64(o)), zap.Int("index", i),
					zap.String("writer", string(res.Writer)), zap.NamedError("reason", reason))
			}
		}
	}
}

// event logs an event. The logger adds the name of the stream.
func (j *Journal) event(e *events.Event, fields ...zap.Field) {
	events.Log(j.config.Logger, e, fields...)
}

// updateReadStatus stores the result of a read. It logs the first of consecutive failures, and the success that ends them.
func (j *Journal) updateReadStatus(err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if err != nil && j.status.ReadError == nil {
		j.readsFailingSince = j.config.Now()
		j.event(events.LogContactLost, zap.String("operation", "read"), zap.Error(err))
	}
	if err == nil && j.status.ReadError != nil {
		j.event(events.LogContactRegained, zap.Duration("duration", j.config.Now().Sub(j.readsFailingSince)))
	}
	j.status.ReadError = err
}
