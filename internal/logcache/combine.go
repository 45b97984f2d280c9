package logcache

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/rpc"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/leader"
)

const (
	// appendTimeout bounds the first append of a combiner. Appends that were not answered give the next ones more time.
	appendTimeout = time.Second
	// appendPause is the longest pause after the first append that failed.
	appendPause = 100 * time.Millisecond
	// maxCombinedBytes and maxCombinedRecords bound the records of one append.
	maxCombinedBytes   = 512 << 10
	maxCombinedRecords = 512
	// maxWaitingRecords bounds the records that wait for an append.
	maxWaitingRecords = 2048
)

// combiner appends the records of several instances to a partition, one append after the other. A partition makes its appends one at a
// time, however many records they have, and makes those that nobody waits for any more as well. If each instance appended its own
// records, a slow log, or a start of all, would keep the partition busy with what was given up.
type combiner struct {
	log partlog.Log
	p   partlog.Partition

	mu      sync.Mutex
	waiting []*submission
	running bool
	appends partlog.Backoff // only run uses it
}

// submission is what one caller appends, and the result once done is closed.
type submission struct {
	records [][]byte
	done    chan struct{}
	first   ids.Offset
	err     error
}

// errTooManyWaiting is the error of records for which there is no room.
var errTooManyWaiting = errors.Join(partlog.ErrNotApplied, errors.New("too many records wait for an append"))

// combinerOf returns the combiner of a partition.
func (l *Log) combinerOf(p partlog.Partition) *combiner {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.combiners[p]
	if c == nil {
		c = &combiner{log: l.Log, p: p, appends: partlog.Backoff{Timeout: appendTimeout, Pause: appendPause}}
		l.combiners[p] = c
	}
	return c
}

// append appends records with those of others. The outcome is unknown if ctx ends first.
func (c *combiner) append(ctx context.Context, records [][]byte) (first ids.Offset, err error) {
	s := &submission{records: records, done: make(chan struct{})}
	c.mu.Lock()
	n := len(records)
	for _, w := range c.waiting {
		n += len(w.records)
	}
	if n > maxWaitingRecords {
		c.mu.Unlock()
		return 0, errTooManyWaiting
	}
	c.waiting = append(c.waiting, s)
	if !c.running {
		c.running = true
		go c.run()
	}
	c.mu.Unlock()
	select {
	case <-s.done:
		return s.first, s.err
	case <-ctx.Done():
	}
	if c.withdraw(s) {
		return 0, errors.Join(partlog.ErrNotApplied, ctx.Err())
	}
	return 0, errors.Join(partlog.ErrOutcomeUnknown, ctx.Err())
}

// withdraw removes records that are not being appended yet. It reports false if they are.
func (c *combiner) withdraw(s *submission) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, w := range c.waiting {
		if w == s {
			c.waiting = append(c.waiting[:i:i], c.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// run makes appends until no records wait for one.
func (c *combiner) run() {
	for {
		batch := c.take()
		if batch == nil {
			return
		}
		var records [][]byte
		for _, s := range batch {
			records = append(records, s.records...)
		}
		ctx, cancel := context.WithTimeout(leaseContext(), c.appends.Next())
		first, err := c.log.Append(ctx, c.p, partlog.AnyOffset, records...)
		cancel()
		for _, s := range batch {
			s.first, s.err = first, err
			first += ids.Offset(len(s.records))
			close(s.done)
		}
		if pause := c.appends.RecordAppend(err); pause > 0 {
			time.Sleep(pause)
		}
	}
}

// take returns the records of the next append, or none if the combiner stops.
func (c *combiner) take() (batch []*submission) {
	c.mu.Lock()
	defer c.mu.Unlock()
	bytes, count := 0, 0
	for len(c.waiting) > 0 {
		s := c.waiting[0]
		for _, r := range s.records {
			bytes += len(r)
		}
		if count += len(s.records); len(batch) > 0 && (bytes > maxCombinedBytes || count > maxCombinedRecords) {
			break
		}
		batch, c.waiting = append(batch, s), c.waiting[1:]
	}
	c.running = len(batch) > 0
	return batch
}

// Append implements partlog.Log. Unconditional appends to a partition that is read through readers go through them too, together with
// those of the other instances of the zone.
func (l *Log) Append(ctx context.Context, p partlog.Partition, at ids.Offset, records ...[]byte) (first ids.Offset, err error) {
	if at != partlog.AnyOffset {
		return l.Log.Append(ctx, p, at, records...)
	}
	readers, state := l.readersToAsk(ctx, p, true)
	for _, m := range readers {
		if m.Instance == l.Self {
			return l.combinerOf(p).append(ctx, records)
		}
		first, err = l.appendThrough(ctx, m, p, records)
		notApplied := errors.Is(err, partlog.ErrNotApplied)
		// A reader that is alive and waits for a slow log remains the one that appends for all.
		if notApplied || err != nil && !rpc.IsAnswer(err) && ctx.Err() == nil {
			l.recordFailure(ctx, m, p, err)
		}
		if err == nil || !notApplied || ctx.Err() != nil {
			return first, err
		}
	}
	if state.shared {
		return l.combinerOf(p).append(ctx, records)
	}
	return l.Log.Append(ctx, p, at, records...)
}

// appendThrough appends records through another instance.
func (l *Log) appendThrough(ctx context.Context, m leader.Member, p partlog.Partition, records [][]byte) (first ids.Offset, err error) {
	var r appendResult
	params := appendParams{Partition: p, Records: records, TimeoutMs: maxAnswerTime.Milliseconds()}
	if deadline, ok := ctx.Deadline(); ok {
		params.TimeoutMs = time.Until(deadline).Milliseconds()
	}
	err = l.call(ctx, m, 0, methodAppend, params, &r)
	var answered *jsonrpc2.Error
	switch {
	case err == nil:
		return r.First, nil
	case errors.As(err, &answered) && answered.Code == codeNotApplied, errors.Is(err, rpc.ErrUnreachable):
		return 0, errors.Join(partlog.ErrNotApplied, err)
	default:
		return 0, errors.Join(partlog.ErrOutcomeUnknown, err)
	}
}

// serveAppend appends records for another instance.
func (l *Log) serveAppend(ctx context.Context, p appendParams) (any, error) {
	if err := l.checkShared(p.Partition); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, min(time.Duration(p.TimeoutMs)*time.Millisecond, maxAnswerTime))
	defer cancel()
	first, err := l.combinerOf(p.Partition).append(ctx, p.Records)
	if errors.Is(err, partlog.ErrNotApplied) {
		return nil, &jsonrpc2.Error{Code: codeNotApplied, Message: err.Error()}
	}
	return appendResult{First: first}, err
}
