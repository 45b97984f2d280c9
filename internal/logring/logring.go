// Package logring buffers log lines so that writing a line never blocks the caller. Lines that arrive while the buffer is
// full are counted and dropped.
package logring

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
)

// ringLines is the maximum number of lines in the buffer.
const ringLines = 4096

// batchBytes is the size at which a batch of lines is written even if more lines are waiting.
const batchBytes = 64 << 10

// Ring is a buffered writer of whole lines. It is safe for concurrent use.
type Ring struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// New returns a ring that writes to w; cleanup writes the buffered lines and stops the ring.
func New(w io.Writer) (r *Ring, cleanup func()) {
	r = &Ring{lines: make(chan []byte, ringLines), done: make(chan struct{})}
	go r.run(w)
	return r, func() {
		r.once.Do(func() { close(r.lines) })
		<-r.done
	}
}

func (r *Ring) run(w io.Writer) {
	defer close(r.done)
	var b bytes.Buffer
	for line := range r.lines {
		b.Write(line)
		for more := true; more && b.Len() < batchBytes; {
			select {
			case next, ok := <-r.lines:
				more = ok
				b.Write(next)
			default:
				more = false
			}
		}
		// The error is ignored because there is nowhere else to log it.
		_, _ = w.Write(b.Bytes())
		b.Reset()
	}
}

// Write adds one line to the buffer, or drops it if the buffer is full. It implements io.Writer and never returns an error.
func (r *Ring) Write(line []byte) (n int, err error) {
	select {
	case r.lines <- bytes.Clone(line):
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (r *Ring) Dropped() int64 { return r.dropped.Load() }
