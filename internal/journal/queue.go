package journal

import (
	"slices"
	"sync"

	"github.com/comfreylink/comfreylink/pkg/record"
)

const (
	// maxQueuedItems and maxQueuedBytes limit the writer's queue. It fills up only while the log is unavailable. A few
	// appends then empty it, because queued items share entries of up to 1 MiB.
	maxQueuedItems = 1024
	maxQueuedBytes = 8 << 20
	// recordOverhead is the size of {"type":"","body":}, which encloses a record in an entry.
	recordOverhead = 20
)

// item holds the records of one call of Append or Submit, which are appended in the same batch.
type item struct {
	records []record.Record
	size    int  // of the records in the entry, in bytes
	alone   bool // needs an entry of its own
	done    chan struct{}
	// recordErrors and err are set before done is closed.
	recordErrors []error
	err          error
}

func newItem(alone bool, bodies []record.Body) (it *item, err error) {
	it = &item{alone: alone, done: make(chan struct{})}
	for _, b := range bodies {
		r, err := record.New(b)
		if err != nil {
			return nil, err
		}
		it.records = append(it.records, r)
		it.size += len(r.Type) + len(r.Body) + recordOverhead
	}
	return it, nil
}

func (it *item) finish(recordErrors []error, err error) {
	it.recordErrors = recordErrors
	it.err = err
	close(it.done)
}

// queue is the writer's bounded queue. It is not a channel because an item can be withdrawn when its caller gives up, and
// because the queue is also bounded in bytes.
type queue struct {
	mu      sync.Mutex
	items   []*item
	bytes   int
	stopped bool
	filled  chan struct{} // has an element if the queue may hold items
}

func newQueue() *queue {
	return &queue{filled: make(chan struct{}, 1)}
}

func (q *queue) push(it *item) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.stopped {
		return &Error{Code: CodeStopped}
	}
	if len(q.items) >= maxQueuedItems || q.bytes+it.size > maxQueuedBytes {
		return &Error{Code: CodeFull}
	}
	q.items = append(q.items, it)
	q.bytes += it.size
	q.signal()
	return nil
}

// take removes and returns the oldest items whose records fit in one entry, which has maxBytes for records.
func (q *queue) take(maxBytes int) []*item {
	q.mu.Lock()
	defer q.mu.Unlock()
	n, size := 0, 0
	for n < len(q.items) {
		it := q.items[n]
		if n > 0 && (it.alone || q.items[0].alone || size+it.size > maxBytes) {
			break
		}
		size += it.size
		n++
	}
	taken := slices.Clone(q.items[:n])
	q.items = slices.Delete(q.items, 0, n)
	q.bytes -= size
	if len(q.items) > 0 {
		q.signal()
	}
	return taken
}

// withdraw removes an item and reports whether it was still queued.
func (q *queue) withdraw(it *item) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	i := slices.Index(q.items, it)
	if i < 0 {
		return false
	}
	q.items = slices.Delete(q.items, i, i+1)
	q.bytes -= it.size
	return true
}

// stop fails the queued items; later calls of push fail too.
func (q *queue) stop() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stopped = true
	for _, it := range q.items {
		it.finish(nil, &Error{Code: CodeStopped})
	}
	q.items, q.bytes = nil, 0
}

func (q *queue) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.items)
}

func (q *queue) signal() {
	select {
	case q.filled <- struct{}{}:
	default:
	}
}
