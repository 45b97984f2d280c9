// Package fifo admits one holder for each name at a time, in the order of arrival.
package fifo

import (
	"context"
	"sync"
)

// FIFO keeps a line for each name that has a holder.
type FIFO struct {
	mu    sync.Mutex
	lines map[string]*line
}

type line struct {
	waiting []chan struct{}
}

// New returns a FIFO without holders.
func New() *FIFO { return &FIFO{lines: map[string]*line{}} }

// Acquire waits until all earlier arrivals for the name have released it. It returns the release function.
func (f *FIFO) Acquire(ctx context.Context, name string) (release func(), err error) {
	f.mu.Lock()
	l := f.lines[name]
	if l == nil {
		f.lines[name] = &line{}
		f.mu.Unlock()
		return func() { f.release(name) }, nil
	}
	turn := make(chan struct{})
	l.waiting = append(l.waiting, turn)
	f.mu.Unlock()
	select {
	case <-turn:
		return func() { f.release(name) }, nil
	case <-ctx.Done():
		f.abandon(name, turn)
		return nil, ctx.Err()
	}
}

func (f *FIFO) release(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pass(name)
}

func (f *FIFO) pass(name string) {
	l := f.lines[name]
	if len(l.waiting) == 0 {
		delete(f.lines, name)
		return
	}
	next := l.waiting[0]
	l.waiting = l.waiting[1:]
	close(next)
}

// abandon leaves the line; if the turn was given at the same moment, it is passed on.
func (f *FIFO) abandon(name string, turn chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.lines[name]
	for i, w := range l.waiting {
		if w == turn {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			return
		}
	}
	f.pass(name)
}

// Busy reports whether the name has a holder.
func (f *FIFO) Busy(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lines[name] != nil
}
