// Package logring writes log lines without ever blocking the callers: lines wait in a bounded ring, and those that find
// it full are counted and left out.
package logring

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
)

// ringLines bounds the lines that wait.
const ringLines = 4096

// batchBytes is how much is written at once at most.
const batchBytes = 64 << 10

// Ring is a writer of whole lines. It is safe for concurrent use.
type Ring struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// New returns a ring in front of a writer; cleanup writes what waits.
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
		// There is nowhere to report that the log cannot be written.
		_, _ = w.Write(b.Bytes())
		b.Reset()
	}
}

// Write implements io.Writer for one line. It never blocks and never fails.
func (r *Ring) Write(line []byte) (n int, err error) {
	select {
	case r.lines <- bytes.Clone(line):
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were left out so far.
func (r *Ring) Dropped() int64 { return r.dropped.Load() }
