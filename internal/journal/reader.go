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

// readBytes is several times record.MaxEntryBytes, so that a page can show that it reaches the stream's end.
const readBytes = 4 << 20

// read is the reader task. A read waits for entries only if the one before it reached the stream's end, so that a
// start on an idle stream and the return of the log are noticed at once.
func (j *Journal) read(ctx context.Context) error {
	wait := time.Duration(0)
	for failures := 0; ctx.Err() == nil; {
		started := j.config.Now()
		from := j.next()
		p, err := j.config.Log.Read(ctx, j.config.Stream, from, readBytes, wait)
		if err == nil && p.Next < from {
			err = fmt.Errorf("the stream ends at offset %d, but was read up to %d before", p.Next, from)
		}
		if ctx.Err() != nil {
			return nil
		}
		j.noteRead(err)
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
		if returnedEarly { // the service does not wait for entries
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

// apply folds a page that was read from the reader's next offset, and reports whether it has reached the stream's end.
func (j *Journal) apply(p logservice.Page, started time.Time) (atEnd bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.beginPage(p.Oldest)
	j.applyEntries(p)
	// A reader that looks for a snapshot waits for entries too, but knows no state that could be up to date.
	atEnd = p.AtEnd && j.replay.Next() >= p.Next
	if atEnd && j.replay.Ready() {
		j.status.Fresh = started
		j.caughtUpOnce.Do(func() { close(j.caughtUp) })
	}
	return atEnd
}

// applyEntries folds the entries of a page. The lock is held.
func (j *Journal) applyEntries(p logservice.Page) {
	applied := false
	for _, e := range p.Entries {
		res := j.replay.Entry(e.Offset, e.Data)
		j.recent.add(e, res.Kind)
		j.count(e.Offset, res)
		j.settle(e.Data, res)
		applied = applied || res.Kind == replay.Applied || res.Kind == replay.Restored
	}
	j.replay.Advance(p.Next)
	if applied {
		close(j.changed)
		j.changed = make(chan struct{})
	}
}

func (j *Journal) beginPage(oldest ids.Offset) {
	ready := j.replay.Ready()
	next := j.replay.Next()
	j.replay.Page(oldest)
	if ready && !j.replay.Ready() {
		j.event(events.SnapshotNeeded, zap.Int64("next", int64(next)), zap.Int64("oldest", int64(oldest)))
	}
}

func (j *Journal) count(o ids.Offset, res replay.Result) {
	switch res.Kind {
	case replay.Malformed:
		j.status.Skipped++
		j.event(events.EntrySkipped, zap.Int64("offset", int64(o)), zap.NamedError("reason", res.Err))
	case replay.Duplicate:
		j.status.Repeated++
	case replay.Restored:
		j.status.Restored++
		j.event(events.SnapshotRestored, zap.Int64("offset", int64(o)), zap.Int64("next", int64(j.replay.Next())))
	case replay.Applied:
		for i, v := range res.RecordErrors {
			if errors.Is(v, record.ErrMalformed) {
				j.status.Ignored++
				j.event(events.EntrySkipped, zap.Int64("offset", int64(o)), zap.Int("index", i), zap.NamedError("reason", v))
			} else if v != nil {
				j.event(events.RecordIgnored, zap.Int64("offset", int64(o)), zap.Int("index", i),
					zap.String("writer", string(res.Writer)), zap.NamedError("reason", v))
			}
		}
	}
}

// event logs an event; the logger names the stream.
func (j *Journal) event(e *events.Event, fields ...zap.Field) {
	events.Log(j.config.Logger, e, fields...)
}

// noteRead keeps the last read's error and logs the first of a row.
func (j *Journal) noteRead(err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if err != nil && j.status.ReadError == nil {
		j.lost = j.config.Now()
		j.event(events.LogContactLost, zap.String("operation", "read"), zap.Error(err))
	}
	if err == nil && j.status.ReadError != nil {
		j.event(events.LogContactRegained, zap.Duration("duration", j.config.Now().Sub(j.lost)))
	}
	j.status.ReadError = err
}
