package logcache

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/comfreylink/comfreylink/internal/pacedlog"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/logpace"
)

const (
	// readWait is how long a reader's read waits for new records. With readTimeout it bounds the age of what the reader returns.
	readWait = 300 * time.Millisecond
	// readInterval is the least time between two reads of a partition.
	readInterval = 150 * time.Millisecond
	// readTimeout bounds a read of a reader, in addition to readWait.
	readTimeout = time.Second
	// retryPause is the delay after a failed read.
	retryPause = 100 * time.Millisecond
	// idleTimeout is how long a partition is read after it was last asked for.
	idleTimeout = 10 * time.Second
	// maxTailBytes bounds the records that are kept of a partition, and maxPageBytes those that are returned at once, unless a
	// single record is larger.
	maxTailBytes = 2 << 20
	maxPageBytes = 1 << 20
)

// errNotCached is the error of a read from a record that the reader does not have any more.
var errNotCached = errors.New("the reader does not have the record")

// leaseContext returns the context of calls to the log for a whole zone. What all instances follow has the priority of leases.
func leaseContext() context.Context { return pacedlog.WithKind(context.Background(), logpace.Lease) }

// tail holds the newest records of a partition, which this instance reads for others.
type tail struct {
	log     partlog.Log
	p       partlog.Partition
	backlog ids.Offset
	now     func() time.Time

	mu      sync.Mutex
	running bool
	lastUse time.Time
	first   ids.Offset // of records
	records [][]byte
	bytes   int
	// end and retained are the end of the partition and its oldest record, according to the last read.
	end, retained ids.Offset
	// asOf is when the last read was sent that was answered, and complete whether it reached the end of the partition.
	asOf     time.Time
	complete bool
	err      error         // of the last read
	changed  chan struct{} // closed after each read
	packed   packedPage
}

// tailOf returns the tail of a partition.
func (l *Log) tailOf(p partlog.Partition) *tail {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.tails[p]
	if t == nil {
		t = &tail{log: l.Log, p: p, backlog: l.Backlogs[p], now: l.Now, changed: make(chan struct{})}
		l.tails[p] = t
	}
	return t
}

// read returns records from an offset on. If there are none yet, it waits up to wait for some. The page's Age says when the log
// had this state.
func (t *tail) read(ctx context.Context, from ids.Offset, wait time.Duration) (page partlog.Page, err error) {
	asked := t.now()
	for {
		page, changed, done, err := t.tryRead(asked, from, wait)
		if done || err != nil {
			return page, err
		}
		var over <-chan time.Time
		if left := wait - t.now().Sub(asked); left > 0 {
			over = time.After(left)
		}
		select {
		case <-changed:
		case <-over:
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
}

// tryRead returns what can be returned now to a read that was asked for at a time; done is false if it must wait until changed is
// closed or its wait is over.
func (t *tail) tryRead(asked time.Time, from ids.Offset, wait time.Duration) (page partlog.Page, changed <-chan struct{}, done bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.start(now, from)
	next := t.first + ids.Offset(len(t.records))
	switch {
	case t.err != nil:
		return page, nil, false, t.err
	case t.asOf.IsZero():
		return page, t.changed, false, nil
	case from < t.first:
		return page, nil, false, errNotCached
	case from >= next && (!t.complete || now.Sub(asked) < wait):
		return page, t.changed, false, nil
	}
	page = partlog.Page{From: from, First: t.retained, End: max(t.end, from), Age: now.Sub(t.asOf) - now.Sub(asked)}
	bytes := 0
	for i := int(from - t.first); i < len(t.records); i++ {
		if bytes += len(t.records[i]); bytes > maxPageBytes && len(page.Records) > 0 {
			break
		}
		page.Records = append(page.Records, t.records[i])
	}
	return page, nil, true, nil
}

// start begins to read the partition if that is not done already. The caller holds the lock.
func (t *tail) start(now time.Time, from ids.Offset) {
	t.lastUse = now
	if t.running {
		return
	}
	t.running, t.err, t.asOf, t.complete = true, nil, time.Time{}, false
	t.first, t.records, t.bytes = max(from-t.backlog, 0), nil, 0
	go t.follow()
}

// follow reads the partition until nobody has asked for it for idleTimeout.
func (t *tail) follow() {
	reads := partlog.Backoff{Timeout: readTimeout, Pause: retryPause}
	for {
		sent := t.now()
		t.mu.Lock()
		if sent.Sub(t.lastUse) > idleTimeout {
			t.running, t.err = false, nil
			t.wake()
			t.mu.Unlock()
			return
		}
		next, wait := t.first+ids.Offset(len(t.records)), readWait
		if !t.complete {
			wait = 0
		}
		t.mu.Unlock()
		ctx, cancel := context.WithTimeout(leaseContext(), wait+reads.Next())
		page, err := t.log.Read(ctx, t.p, next, wait)
		cancel()
		t.apply(sent, page, err)
		pause := readInterval - t.now().Sub(sent)
		failedPause := reads.Record(err)
		switch {
		case err != nil:
			pause = max(failedPause, retryPause)
		case page.Next() < page.End:
			pause = 0
		}
		if pause > 0 {
			time.Sleep(pause)
		}
	}
}

// apply adds the result of a read that was sent at a time. After an error, all reads fail until one succeeds: their callers have
// other ways to the log.
func (t *tail) apply(sent time.Time, page partlog.Page, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.wake()
	var truncated *partlog.TruncatedError
	if errors.As(err, &truncated) {
		t.first, t.records, t.bytes = truncated.First, nil, 0
	}
	if t.err = err; err != nil {
		return
	}
	t.records = append(t.records, page.Records...)
	for _, r := range page.Records {
		t.bytes += len(r)
	}
	for len(t.records) > 1 && t.bytes > maxTailBytes {
		t.bytes -= len(t.records[0])
		t.first, t.records = t.first+1, t.records[1:]
	}
	t.asOf, t.end, t.retained, t.complete = sent, page.End, page.First, page.Next() >= page.End
}

// wake wakes up those that wait for a read. The caller holds the lock.
func (t *tail) wake() {
	close(t.changed)
	t.changed = make(chan struct{})
}
