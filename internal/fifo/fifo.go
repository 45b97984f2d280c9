// Package fifo provides locks by name that are granted in the order of arrival.
package fifo

import (
	"context"
	"sync"
)

// FIFO is a set of named locks. It is safe for concurrent use.
type FIFO struct {
	mu sync.Mutex
	// queues has an entry for each name that has a holder.
	queues map[string]*queue
}

// queue holds the requests that wait for a name, in the order of arrival.
type queue struct {
	waiting []chan struct{}
}

// New returns a FIFO whose locks are all free.
func New() *FIFO { return &FIFO{queues: map[string]*queue{}} }

// Acquire blocks until all earlier requests for the name have released it or given up, or until ctx ends. It returns
// the function that releases the name.
func (f *FIFO) Acquire(ctx context.Context, name string) (release func(), err error) {
	f.mu.Lock()
	q := f.queues[name]
	if q == nil {
		f.queues[name] = &queue{}
		f.mu.Unlock()
		return func() { f.release(name) }, nil
	}
	granted := make(chan struct{})
	q.waiting = append(q.waiting, granted)
	f.mu.Unlock()
	select {
	case <-granted:
		return func() { f.release(name) }, nil
	case <-ctx.Done():
		f.cancel(name, granted)
		return nil, ctx.Err()
	}
}

func (f *FIFO) release(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.grantNext(name)
}

// grantNext gives the name to the next request in the queue, or frees it if none waits.
func (f *FIFO) grantNext(name string) {
	q := f.queues[name]
	if len(q.waiting) == 0 {
		delete(f.queues, name)
		return
	}
	next := q.waiting[0]
	q.waiting = q.waiting[1:]
	close(next)
}

// cancel takes a request out of the queue. If it was granted the name at the same moment, the name goes to the next
// one.
func (f *FIFO) cancel(name string, granted chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	q := f.queues[name]
	for i, w := range q.waiting {
		if w == granted {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
	f.grantNext(name)
}

// Busy reports whether the name has a holder.
func (f *FIFO) Busy(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.queues[name] != nil
}
