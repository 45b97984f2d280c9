package logcache

import (
	"context"
	"sync"

	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// newestReads makes one read of the newest records of a partition for all who ask while another one is in progress. A read that
// is in progress when somebody asks does not count for them: its state may be older than their question.
type newestReads struct {
	mu              sync.Mutex
	running, queued *newestRead
	reads           partlog.Backoff // only run uses it
}

// newestRead is one read and, once done is closed, its result.
type newestRead struct {
	done    chan struct{}
	entries []partlog.Entry
	end     ids.Offset
	err     error
	// encoded is the result as it is sent to other instances.
	encodeOnce sync.Once
	encoded    newestResult
}

// readNewest returns the newest records of a partition, by a read of the log that begins after the call.
func (l *Log) readNewest(ctx context.Context, p partlog.Partition) (r *newestRead, err error) {
	l.mu.Lock()
	n := l.newest[p]
	if n == nil {
		n = &newestReads{reads: partlog.Backoff{Timeout: readTimeout, Pause: retryPause}}
		l.newest[p] = n
	}
	l.mu.Unlock()
	r = n.next(func(r *newestRead) {
		ctx, cancel := context.WithTimeout(leaseContext(), n.reads.Next())
		defer cancel()
		r.entries, r.end, r.err = l.Log.Newest(ctx, p)
		n.reads.Record(r.err)
	})
	select {
	case <-r.done:
		return r, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// next returns the next read that begins, and begins it if none is in progress.
func (n *newestReads) next(read func(r *newestRead)) (r *newestRead) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.queued != nil {
		return n.queued
	}
	r = &newestRead{done: make(chan struct{})}
	if n.running != nil {
		n.queued = r
		return r
	}
	n.running = r
	go n.run(read)
	return r
}

// run makes reads until nobody waits for one.
func (n *newestReads) run(read func(r *newestRead)) {
	for r := n.running; r != nil; {
		read(r)
		close(r.done)
		n.mu.Lock()
		n.running, n.queued = n.queued, nil
		r = n.running
		n.mu.Unlock()
	}
}
