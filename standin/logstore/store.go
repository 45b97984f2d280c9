// Package logstore is a stand-in of the platform's log service: append-only streams in memory, served over HTTP, with
// limited retention, a limited rate of appends and faults that are switched at run time.
package logstore

import (
	"context"
	"sync"
	"time"
)

// Options limit a store; a zero field means no limit.
type Options struct {
	// Retention is how long an entry is kept.
	Retention time.Duration
	// MaxEntries is the number of entries kept in a stream.
	MaxEntries int
	// AppendsPerSecond is the rate of appends to all streams together; up to a second's worth may come at once.
	AppendsPerSecond float64
}

// Entry is one entry of a stream.
type Entry struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
	at     time.Time
}

// Page is the answer to a read.
type Page struct {
	// Oldest is the offset of the oldest kept entry, or of the next one if none is kept.
	Oldest int64 `json:"oldest"`
	// Next is the offset to read from next.
	Next    int64   `json:"next"`
	Entries []Entry `json:"entries"`
}

// Store holds the streams. A stream is created by its first use.
type Store struct {
	options Options

	mu      sync.Mutex
	streams map[string]*stream
	tokens  float64
	filled  time.Time
}

type stream struct {
	oldest  int64
	entries []Entry
	changed chan struct{} // closed by the next append
}

// NewStore returns an empty store.
func NewStore(o Options) *Store {
	return &Store{options: o, streams: make(map[string]*stream), tokens: o.AppendsPerSecond}
}

// Append adds an entry and returns its offset; ok is false if the rate of appends is used up.
func (s *Store) Append(now time.Time, name string, data []byte) (offset int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.take(now) {
		return 0, false
	}
	t := s.stream(name)
	offset = t.next()
	t.entries = append(t.entries, Entry{Offset: offset, Data: data, at: now})
	s.prune(now, t)
	close(t.changed)
	t.changed = make(chan struct{})
	return offset, true
}

// Read returns entries from an offset on. It returns at least one entry if there is one, and further ones as long as
// their data has at most maxBytes in total. Changed is closed by the next append.
func (s *Store) Read(now time.Time, name string, from int64, maxBytes int) (p Page, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.stream(name)
	s.prune(now, t)
	from = min(max(from, t.oldest), t.next())
	p = Page{Oldest: t.oldest, Next: from, Entries: []Entry{}}
	size := 0
	for _, e := range t.entries[from-t.oldest:] {
		size += len(e.Data)
		if size > maxBytes && len(p.Entries) > 0 {
			break
		}
		p.Entries = append(p.Entries, e)
		p.Next = e.Offset + 1
	}
	return p, t.changed
}

// Poll is Read, but waits until there is an entry, the wait is over or ctx ends.
func (s *Store) Poll(ctx context.Context, name string, from int64, maxBytes int, wait time.Duration) Page {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		p, changed := s.Read(time.Now(), name, from, maxBytes)
		if len(p.Entries) > 0 {
			return p
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return p
		}
	}
}

// Trim drops the entries of a stream before an offset.
func (s *Store) Trim(name string, oldest int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.stream(name)
	t.drop(int(min(oldest, t.next()) - t.oldest))
}

func (s *Store) stream(name string) *stream {
	t := s.streams[name]
	if t == nil {
		t = &stream{changed: make(chan struct{})}
		s.streams[name] = t
	}
	return t
}

func (s *Store) prune(now time.Time, t *stream) {
	if s.options.MaxEntries > 0 {
		t.drop(len(t.entries) - s.options.MaxEntries)
	}
	if s.options.Retention <= 0 {
		return
	}
	n := 0
	for n < len(t.entries) && now.Sub(t.entries[n].at) > s.options.Retention {
		n++
	}
	t.drop(n)
}

func (s *Store) take(now time.Time) bool {
	rate := s.options.AppendsPerSecond
	if rate <= 0 {
		return true
	}
	if !s.filled.IsZero() {
		s.tokens = min(rate, s.tokens+rate*now.Sub(s.filled).Seconds())
	}
	s.filled = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

func (t *stream) next() int64 { return t.oldest + int64(len(t.entries)) }

func (t *stream) drop(n int) {
	if n <= 0 {
		return
	}
	clear(t.entries[:n]) // lets the data be collected while the array is in use
	t.entries = t.entries[n:]
	t.oldest += int64(n)
}
