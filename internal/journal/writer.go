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

// delays are the waits between requests; each doubles from first to last.
type delays struct {
	// firstRetry follows a failed request.
	firstRetry time.Duration
	// firstRepeat follows an append that succeeded, and gives the reader time to see the entry.
	firstRepeat time.Duration
	last        time.Duration
}

// defaultDelays: the reader usually sees an entry within milliseconds, and a repeat would cost an append of the shared
// rate. The last wait stays below the 5 s for which a configuration is fresh, so that a recovered log is noticed in time.
var defaultDelays = delays{firstRetry: 100 * time.Millisecond, firstRepeat: time.Second, last: 2 * time.Second}

const (
	// envelopeBytes is more than the size of a batch around its records, besides the writer's name.
	envelopeBytes = 64
	// maxEscape is the growth of a byte of a name that JSON has to escape.
	maxEscape = 6
)

// batch is the batch in flight. It ends when the reader has folded it or knows that its number was used otherwise.
type batch struct {
	seq   int64
	data  []byte
	items []*item
	ended chan struct{}
	stale bool // set before ended is closed: the batch has no effect and needs a new number
}

// write is the writer task. It starts when the reader has caught up, because the writer's last number in the stream is
// not known before.
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
		// Waiting before the items are taken lets more of them share the append.
		pause(ctx, j.config.Pace.Take(j.config.Now()))
		if items := j.queue.take(j.maxRecordBytes()); len(items) > 0 {
			j.deliver(ctx, items)
		}
	}
}

// deliver appends the items as one batch until it has ended, or ctx has. In the latter case they stay in flight, and stop
// fails them.
func (j *Journal) deliver(ctx context.Context, items []*item) {
	for {
		b := j.begin(items)
		if b == nil {
			return
		}
		j.repeat(ctx, b)
		if !b.needsNumber() {
			return
		}
	}
}

// begin puts the items in flight under the next number.
func (j *Journal) begin(items []*item) *batch {
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

// repeat appends a batch again and again until it has ended, or ctx has.
func (j *Journal) repeat(ctx context.Context, b *batch) {
	for attempt := 0; ; attempt++ {
		_, err := j.config.Log.Append(ctx, j.config.Stream, b.data)
		if ctx.Err() == nil {
			j.noteAppend(err)
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

// needsNumber reports whether the batch ended because its number was used otherwise.
func (b *batch) needsNumber() bool {
	select {
	case <-b.ended:
		return b.stale
	default:
		return false
	}
}

// wait waits and reports whether the batch is still to be delivered.
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

// settle ends the batch in flight if the reader's last entry decided about it.
//
// An earlier journal of the same writer may have left a batch that arrives only now. If it takes the number of the batch
// in flight, every reader ignores the latter, which then needs another number. So the bytes are compared too.
func (j *Journal) settle(data []byte, res replay.Result) {
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

func (b *batch) succeed(verdicts []error) {
	for _, it := range b.items {
		n := len(it.records)
		it.finish(verdicts[:n:n], nil)
		verdicts = verdicts[n:]
	}
}

func (b *batch) fail(err error) {
	for _, it := range b.items {
		it.finish(nil, err)
	}
}

// noteAppend keeps the last append's error and logs the first of a row.
func (j *Journal) noteAppend(err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if err != nil && j.status.AppendError == nil {
		j.event(events.LogContactLost, zap.String("operation", "append"), zap.Error(err))
	}
	j.status.AppendError = err
}

// maxRecordBytes is the room for records in an entry.
func (j *Journal) maxRecordBytes() int {
	return record.MaxEntryBytes - envelopeBytes - maxEscape*len(j.config.Writer)
}

func (d delays) retry(failures int) time.Duration { return d.backoff(d.firstRetry, failures) }

func (d delays) repeat(attempt int) time.Duration { return d.backoff(d.firstRepeat, attempt) }

// backoff returns a wait that doubles with n up to the last, shortened at random by up to half, so that instances do not
// return to a recovered service all at once.
func (d delays) backoff(first time.Duration, n int) time.Duration {
	wait := d.last
	if n < 16 { // first<<n does not overflow
		wait = min(first<<n, d.last)
	}
	return wait/2 + rand.N(wait/2)
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
