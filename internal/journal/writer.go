package journal

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/pkg/record"
	"github.com/comfreylink/comfreylink/pkg/replay"
)

// delays are the waits between requests. Each one doubles from its first value up to last.
type delays struct {
	// firstRetry follows a failed request.
	firstRetry time.Duration
	// firstRepeat follows a successful append, so that the reader has time to read the entry.
	firstRepeat time.Duration
	last        time.Duration
}

// defaultDelays are the delays of all journals outside tests. The reader usually reads an entry within milliseconds, while a
// needless repeat would use up an append of the shared rate. The last wait is below the 5 s for which a configuration is
// fresh, so that a log that is available again is noticed in time.
var defaultDelays = delays{firstRetry: 100 * time.Millisecond, firstRepeat: time.Second, last: 2 * time.Second}

const (
	// envelopeBytes is an upper bound for the size of a batch without its records and the writer's name.
	envelopeBytes = 64
	// maxEscape is the largest number of bytes that JSON needs for one byte of a name, as in \u0000.
	maxEscape = 6
)

// batch is a batch in flight. It ends when the reader has folded it, or has found that its sequence number was used for
// another batch.
type batch struct {
	seq   int64
	data  []byte
	items []*item
	ended chan struct{}
	stale bool // set before ended is closed; the batch has no effect and needs a new sequence number
}

// write is the writer task. It starts when the reader has caught up, because the writer's last sequence number in the
// stream is not known before.
func (j *Journal) write(ctx context.Context) error {
	select {
	case <-j.caughtUp:
	case <-ctx.Done():
		return nil
	}
	for {
		select {
		case <-j.queue.filled:
		case <-ctx.Done():
			return nil
		}
		// The wait comes before the items are taken, so that more items share the append.
		pause(ctx, j.config.Pace.Take(j.config.Now()))
		if items := j.queue.take(j.maxRecordBytes()); len(items) > 0 {
			j.deliver(ctx, items)
		}
	}
}

// deliver appends the items as one batch until the batch or ctx has ended. If ctx has ended, the items stay in flight, and
// Journal.stop fails them.
func (j *Journal) deliver(ctx context.Context, items []*item) {
	for {
		b := j.startBatch(items)
		if b == nil {
			return
		}
		j.repeat(ctx, b)
		if !b.needsNewSeq() {
			return
		}
	}
}

// startBatch puts the items in flight as a batch with the next sequence number. If the batch is too large, startBatch fails
// the items and returns nil.
func (j *Journal) startBatch(items []*item) *batch {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.seq = max(j.seq, j.replay.LastSeq(j.config.Writer)) + 1
	b := &batch{seq: j.seq, items: items, ended: make(chan struct{})}
	entry := record.Batch{Writer: j.config.Writer, Seq: j.seq}
	for _, it := range items {
		entry.Records = append(entry.Records, it.records...)
	}
	data, err := entry.Encode()
	if err != nil || len(data) > record.MaxEntryBytes {
		b.fail(&Error{Code: CodeTooLarge, cause: err})
		return nil
	}
	b.data = data
	j.inFlight = b
	return b
}

// repeat appends a batch repeatedly until the batch or ctx has ended.
func (j *Journal) repeat(ctx context.Context, b *batch) {
	for attempt := 0; ; attempt++ {
		_, err := j.config.Log.Append(ctx, j.config.Stream, b.data)
		if ctx.Err() == nil {
			j.updateAppendStatus(err)
		}
		wait := j.delays.repeat(attempt)
		if err != nil {
			wait = j.delays.retry(attempt)
		}
		if !b.wait(ctx, wait) || !b.wait(ctx, j.config.Pace.Take(j.config.Now())) {
			return
		}
	}
}

// needsNewSeq reports whether the batch ended because its sequence number was used for another batch.
func (b *batch) needsNewSeq() bool {
	select {
	case <-b.ended:
		return b.stale
	default:
		return false
	}
}

// wait waits for d, or until the batch or ctx has ended. It reports whether neither has ended.
func (b *batch) wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-b.ended:
		return false
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// endInFlight ends the batch in flight if the entry that the reader has just interpreted shows what became of it.
//
// A late append of an earlier journal of the same writer may use the sequence number of the batch in flight. Every reader
// then ignores the batch in flight as a duplicate, and it needs a new number. Therefore the bytes are compared too.
func (j *Journal) endInFlight(data []byte, res replay.Result) {
	b := j.inFlight
	if b == nil {
		return
	}
	same := res.Writer == j.config.Writer && res.Seq == b.seq && bytes.Equal(data, b.data)
	switch {
	case res.Kind == replay.Applied && same:
		b.succeed(res.RecordErrors)
	case j.replay.LastSeq(j.config.Writer) < b.seq:
		return
	case res.Kind == replay.Restored:
		b.fail(&Error{Code: CodeOutcomeUnknown, sent: true})
	default:
		b.stale = true
		j.event(events.BatchRenumbered, zap.Int64("seq", b.seq), zap.Int64("lastSeq", j.replay.LastSeq(j.config.Writer)),
			zap.Int("kind", int(res.Kind)), zap.String("writer", string(res.Writer)), zap.Int64("offset", int64(j.replay.Next()-1)))
	}
	j.inFlight = nil
	close(b.ended)
}

// succeed finishes each item with the record errors of its records.
func (b *batch) succeed(recordErrors []error) {
	for _, it := range b.items {
		n := len(it.records)
		it.finish(recordErrors[:n:n], nil)
		recordErrors = recordErrors[n:]
	}
}

func (b *batch) fail(err error) {
	for _, it := range b.items {
		it.finish(nil, err)
	}
}

// updateAppendStatus stores the result of an append and logs the first of consecutive failures.
func (j *Journal) updateAppendStatus(err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if err != nil && j.status.AppendError == nil {
		j.event(events.LogContactLost, zap.String("operation", "append"), zap.Error(err))
	}
	j.status.AppendError = err
}

// maxRecordBytes returns the size that is available for records in an entry.
func (j *Journal) maxRecordBytes() int {
	return record.MaxEntryBytes - envelopeBytes - maxEscape*len(j.config.Writer)
}

func (d delays) retry(failures int) time.Duration { return d.backoff(d.firstRetry, failures) }

func (d delays) repeat(attempt int) time.Duration { return d.backoff(d.firstRepeat, attempt) }

// backoff returns a wait that doubles with n up to d.last. It is shortened at random by up to half, so that the instances
// do not all return to a recovered service at the same time.
func (d delays) backoff(first time.Duration, n int) time.Duration {
	wait := d.last
	if n < 16 { // first<<n does not overflow
		wait = min(first<<n, d.last)
	}
	return wait/2 + rand.N(wait/2)
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
