// Package logstore is a stand-in for the platform's log service. It keeps append-only streams in memory and serves them over
// HTTP, with limited retention, a limited append rate and faults that are set at run time.
package logstore

import (
	"context"
	"sync"
	"time"
)

// Options configures the limits of a store. A zero field means no limit.
type Options struct {
	// Retention is how long an entry is kept.
	Retention time.Duration
	// MaxEntries is the number of entries kept in each stream.
	MaxEntries int
	// AppendsPerSecond limits the appends to all streams together. Bursts of up to one second's worth are allowed.
	AppendsPerSecond float64
}

// Entry is one entry of a stream.
type Entry struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
	at     time.Time
}

// Page is the result of a read.
type Page struct {
	// Oldest is the offset of the oldest kept entry, or of the next append if none is kept.
	Oldest int64 `json:"oldest"`
	// Next is the offset to read from next.
	Next    int64   `json:"next"`
	Entries []Entry `json:"entries"`
}

// Store holds the streams. A stream is created by its first use.
type Store struct {
	options Options

	mu         sync.Mutex
	streams    map[string]*stream
	tokens     float64 // token bucket of the append rate
	refilledAt time.Time
}

// stream holds the kept entries of a stream.
type stream struct {
	oldest  int64 // offset of entries[0]
	entries []Entry
	changed chan struct{} // closed by the next append
}

// NewStore returns an empty store.
func NewStore(o Options) *Store {
	return &Store{options: o, streams: make(map[string]*stream), tokens: o.AppendsPerSecond}
}

// Append adds an entry to a stream and returns its offset. ok is false if the append rate is exceeded.
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

// Read returns entries of a stream, starting at offset from. It returns at least one entry if there is one, and more as
// long as their data has at most maxBytes in total. The next append closes changed.
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

// Poll is like Read but blocks until there is an entry, wait has elapsed or ctx ends.
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

// Trim deletes the entries of a stream whose offset is below oldest.
func (s *Store) Trim(name string, oldest int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.stream(name)
	t.drop(int(min(oldest, t.next()) - t.oldest))
}

// stream returns the stream and creates it if necessary. The caller holds the lock.
func (s *Store) stream(name string) *stream {
	t := s.streams[name]
	if t == nil {
		t = &stream{changed: make(chan struct{})}
		s.streams[name] = t
	}
	return t
}

// prune deletes the entries of a stream that exceed the retention limits. The caller holds the lock.
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

// take takes a token from the bucket of the append rate and reports whether there was one. The caller holds the lock.
func (s *Store) take(now time.Time) bool {
	rate := s.options.AppendsPerSecond
	if rate <= 0 {
		return true
	}
	if !s.refilledAt.IsZero() {
		s.tokens = min(rate, s.tokens+rate*now.Sub(s.refilledAt).Seconds())
	}
	s.refilledAt = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// next returns the offset of the next append.
func (t *stream) next() int64 { return t.oldest + int64(len(t.entries)) }

// drop deletes the n oldest entries.
func (t *stream) drop(n int) {
	if n <= 0 {
		return
	}
	clear(t.entries[:n]) // lets the garbage collector free the data although the array stays in use
	t.entries = t.entries[n:]
	t.oldest += int64(n)
}
