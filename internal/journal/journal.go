// Package journal reads and writes one stream of the log. Its reader folds the stream's entries. Its writer appends batches
// of records. The writer takes the result of a batch from the reader, which finds the batch in the stream, and never from
// the log service's answer to the append.
package journal

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/logservice"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
	"github.com/comfreylink/comfreylink/pkg/replay"
)

// Log is the log service.
type Log interface {
	Append(ctx context.Context, s ids.Stream, data []byte) (o ids.Offset, err error)
	Read(ctx context.Context, s ids.Stream, from ids.Offset, maxBytes int, wait time.Duration) (p logservice.Page, err error)
}

// Config is what a journal needs. Every field but Logger is required.
type Config struct {
	Stream ids.Stream
	// Writer names this run of the instance. At most one journal at a time writes to the stream under this name.
	Writer ids.WriterID
	Log    Log
	// Fold belongs to the journal after New. Other code may use it only inside View.
	Fold replay.Fold
	// Pace is shared by all journals of the instance.
	Pace Pace
	// ReadWait is how long a read waits for entries; 0 means DefaultReadWait. On an idle stream the time of Fresh is up to
	// two ReadWaits old, so ReadWait must be well below the lease and the time for which a configuration is fresh.
	ReadWait time.Duration
	// RecentBytes limits the size of the entries that are kept for Recent; 0 keeps none.
	RecentBytes int
	Logger      *zap.Logger
	Now         func() time.Time
}

// DefaultReadWait is the default of Config.ReadWait.
const DefaultReadWait = time.Second

// Journal is one stream's reader and writer. Its methods may be called concurrently.
type Journal struct {
	config Config
	delays delays
	queue  *queue

	mu                sync.Mutex // guards the fields below and the fold
	replay            *replay.Replay
	recent            recent
	seq               int64
	inFlight          *batch
	changed           chan struct{}
	status            Status
	readsFailingSince time.Time

	caughtUp     chan struct{} // closed once the reader has reached the end
	caughtUpOnce sync.Once
	stopped      chan struct{} // closed when Run has ended or the cleanup function was called
	stopOnce     sync.Once
}

// New returns a journal whose reader will start at the beginning of the stream. The function cleanup fails the records that
// are still queued; it is needed only if Run is never called.
func New(c Config) (j *Journal, cleanup func(), err error) {
	defer func() { err = oops.In("journal").Wrapf(err, "journal of stream %q", c.Stream) }()
	if c.Stream == "" || c.Writer == "" || c.Log == nil || c.Fold == nil || c.Pace == nil || c.Now == nil {
		return nil, nil, errors.New("incomplete configuration: Stream, Writer, Log, Fold, Pace and Now are required")
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	if c.ReadWait == 0 {
		c.ReadWait = DefaultReadWait
	}
	c.Logger = c.Logger.With(zap.String("stream", string(c.Stream)))
	j = &Journal{
		config:   c,
		delays:   defaultDelays,
		queue:    newQueue(),
		replay:   replay.New(c.Fold),
		recent:   recent{maxBytes: c.RecentBytes},
		changed:  make(chan struct{}),
		caughtUp: make(chan struct{}),
		stopped:  make(chan struct{}),
	}
	return j, j.stop, nil
}

// Run reads and writes until ctx ends, and returns nil after the reader and the writer task have ended. Records that are
// still queued or in flight then fail with CodeStopped. Run may be called once.
func (j *Journal) Run(ctx context.Context) error {
	defer j.stop()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return j.read(ctx) })
	g.Go(func() error { return j.write(ctx) })
	return g.Wait()
}

// Append appends the records in one entry and blocks until the journal's own reader has folded them. It returns one record
// error for each record: nil if the fold accepted the record, otherwise the reason for its rejection. Without bodies it
// blocks until the records that were submitted before are folded.
//
// If ctx ends first, the error has CodeCanceled. The records may then still be appended later, unless the error's Sent
// returns false: in that case they were withdrawn before the writer took them.
func (j *Journal) Append(ctx context.Context, bodies ...record.Body) (recordErrors []error, err error) {
	defer func() { err = j.annotate(err, "append") }()
	return j.append(ctx, false, bodies)
}

// Submit queues the records for one entry without waiting. It fails at once if the queue is full. Records are appended in
// the order of the calls. Those that are still queued when the journal stops are dropped.
func (j *Journal) Submit(bodies ...record.Body) (err error) {
	defer func() { err = j.annotate(err, "submit") }()
	_, err = j.enqueue(false, bodies)
	return err
}

// WriteSnapshot appends a snapshot of the state folded so far, with one entry for each part. Other records may be appended
// between the parts. It blocks until each part is folded or ctx ends.
func (j *Journal) WriteSnapshot(ctx context.Context) (err error) {
	defer func() { err = j.annotate(err, "write snapshot") }()
	j.mu.Lock()
	parts, err := j.replay.Snapshot()
	j.mu.Unlock()
	if err != nil {
		return err
	}
	for _, part := range parts {
		recordErrors, err := j.append(ctx, true, []record.Body{part})
		if err := errors.Join(append(recordErrors, err)...); err != nil {
			return err
		}
	}
	j.event(events.SnapshotWritten, zap.Int("parts", len(parts)))
	return nil
}

// View runs f while no record is being folded. The function f must not call the journal.
func (j *Journal) View(f func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	f()
}

// CaughtUp blocks until the reader has reached the end of the stream for the first time.
func (j *Journal) CaughtUp(ctx context.Context) (err error) {
	defer func() { err = j.annotate(err, "catch up") }()
	select {
	case <-j.caughtUp:
		return nil
	case <-j.stopped:
		return &Error{Code: CodeStopped}
	case <-ctx.Done():
		return &Error{Code: CodeCanceled, cause: context.Cause(ctx)}
	}
}

// Fresh returns the start time of the last read that returned the entries up to the end of the stream, all of which are
// folded. It returns the zero time before the first such read.
func (j *Journal) Fresh() time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.status.Fresh
}

// Changed returns a channel that is closed when the reader has folded further entries.
func (j *Journal) Changed() <-chan struct{} {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.changed
}

func (j *Journal) append(ctx context.Context, alone bool, bodies []record.Body) (recordErrors []error, err error) {
	it, err := j.enqueue(alone, bodies)
	if err != nil {
		return nil, err
	}
	select {
	case <-it.done:
		return it.recordErrors, it.err
	case <-ctx.Done():
	}
	withdrawn := j.queue.withdraw(it)
	select {
	case <-it.done:
		return it.recordErrors, it.err
	default:
		return nil, &Error{Code: CodeCanceled, sent: !withdrawn, cause: context.Cause(ctx)}
	}
}

func (j *Journal) enqueue(alone bool, bodies []record.Body) (it *item, err error) {
	it, err = newItem(alone, bodies)
	if err != nil {
		return nil, err
	}
	if it.size > j.maxRecordBytes() {
		return nil, &Error{Code: CodeTooLarge}
	}
	return it, j.queue.push(it)
}

func (j *Journal) stop() {
	j.stopOnce.Do(func() { close(j.stopped) })
	j.queue.stop()
	j.mu.Lock()
	defer j.mu.Unlock()
	if b := j.inFlight; b != nil {
		j.inFlight = nil
		b.fail(&Error{Code: CodeStopped, sent: true})
		close(b.ended)
	}
}

func (j *Journal) annotate(err error, action string) error {
	if err == nil {
		return nil
	}
	return oops.In("journal").With("stream", j.config.Stream).Wrapf(err, "%s: stream %s", action, j.config.Stream)
}
