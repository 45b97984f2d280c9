// Package journal reads and writes one stream of the log. Its reader folds the stream's entries; its writer appends
// batches of records and learns from the reader, never from the answer to the append, what became of them.
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
	// Fold is only used by the journal from now on; others look at it inside View.
	Fold replay.Fold
	// Pace is shared by all journals of the instance.
	Pace Pace
	// ReadWait is how long a read waits for entries, DefaultReadWait if it is 0. On an idle stream Fresh is up to twice
	// as old, so it must stay well below the lease and the time for which a configuration is fresh.
	ReadWait time.Duration
	// RecentBytes bounds the entries that are kept for Recent; 0 keeps none.
	RecentBytes int
	Logger      *zap.Logger
	Now         func() time.Time
}

// DefaultReadWait is the ReadWait of a journal whose Config names none.
const DefaultReadWait = time.Second

// Journal is one stream's reader and writer. Its methods may be called concurrently.
type Journal struct {
	config Config
	delays delays
	queue  *queue

	mu       sync.Mutex // guards the fields below and the fold
	replay   *replay.Replay
	recent   recent
	seq      int64
	inFlight *batch
	changed  chan struct{}
	status   Status
	lost     time.Time // when reads began to fail

	caughtUp     chan struct{} // closed once the reader has reached the end
	caughtUpOnce sync.Once
	stopped      chan struct{} // closed when Run has ended or the journal is given up
	stopOnce     sync.Once
}

// New returns a journal whose reader will start at the beginning of the stream. Cleanup fails the records that still
// wait; it is needed only if Run is never called.
func New(c Config) (j *Journal, cleanup func(), err error) {
	defer func() { err = oops.In("journal").Wrapf(err, "journal of stream %q", c.Stream) }()
	if c.Stream == "" || c.Writer == "" || c.Log == nil || c.Fold == nil || c.Pace == nil || c.Now == nil {
		return nil, nil, errors.New("incomplete configuration")
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

// Run reads and writes until ctx ends, and returns nil after both tasks have ended. Records that wait then fail with
// CodeStopped. It may be called once.
func (j *Journal) Run(ctx context.Context) error {
	defer j.stop()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return j.read(ctx) })
	g.Go(func() error { return j.write(ctx) })
	return g.Wait()
}

// Append appends the records in one entry and waits until the journal's own reader has folded them. Each verdict is nil
// if the record was accepted, or tells why the fold ignores it. Without bodies it waits for the records that were
// submitted before.
//
// If ctx ends before, the error has CodeCanceled. The records may then still be appended later, unless its Sent is
// false: they were withdrawn before the writer took them.
func (j *Journal) Append(ctx context.Context, bodies ...record.Body) (verdicts []error, err error) {
	defer func() { err = j.annotate(err, "append") }()
	return j.append(ctx, false, bodies)
}

// Submit queues the records for one entry without waiting. It fails at once if the queue is full. Records are appended
// in the order of the calls; those that still wait when the journal stops are dropped.
func (j *Journal) Submit(bodies ...record.Body) (err error) {
	defer func() { err = j.annotate(err, "submit") }()
	_, err = j.enqueue(false, bodies)
	return err
}

// WriteSnapshot appends a snapshot of the state folded so far, one entry for each part, with other records in between.
// Until ctx ends it waits for each part.
func (j *Journal) WriteSnapshot(ctx context.Context) (err error) {
	defer func() { err = j.annotate(err, "write snapshot") }()
	j.mu.Lock()
	parts, err := j.replay.Snapshot()
	j.mu.Unlock()
	if err != nil {
		return err
	}
	for _, part := range parts {
		verdicts, err := j.append(ctx, true, []record.Body{part})
		if err := errors.Join(append(verdicts, err)...); err != nil {
			return err
		}
	}
	j.event(events.SnapshotWritten, zap.Int("parts", len(parts)))
	return nil
}

// View runs f while no record is applied. F must not call the journal.
func (j *Journal) View(f func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	f()
}

// CaughtUp waits until the reader has reached the end of the stream once.
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

// Fresh returns the start of the last read that showed the reader up to date: it returned the entries up to the
// stream's end, and all are folded. It is the zero time before the first such read.
func (j *Journal) Fresh() time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.status.Fresh
}

// Changed returns a channel that is closed when the next entry has been applied.
func (j *Journal) Changed() <-chan struct{} {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.changed
}

func (j *Journal) append(ctx context.Context, alone bool, bodies []record.Body) (verdicts []error, err error) {
	it, err := j.enqueue(alone, bodies)
	if err != nil {
		return nil, err
	}
	select {
	case <-it.done:
		return it.verdicts, it.err
	case <-ctx.Done():
	}
	withdrawn := j.queue.withdraw(it)
	select {
	case <-it.done:
		return it.verdicts, it.err
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
