// Package turnstore keeps the remembered turns of programs in the platform's log, so that any daemon can continue them.
// A turn is in the partition of its own id and names the turns before it.
package turnstore

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

const (
	// tryTimeout bounds one call to the log.
	tryTimeout = 600 * time.Millisecond
	// retryPause is the wait before a call is made again.
	retryPause = 40 * time.Millisecond
	// keepFactor is how many retentions a turn is kept in memory: a turn that goes on refers to the whole chain.
	keepFactor = 2
	// MaxInput bounds a turn's input, so that a turn fits in one record of the log.
	MaxInput = 128 << 10
)

// ErrNone says that a turn does not exist, or is another workspace's. It is certain.
var ErrNone = errors.New("there is no such turn")

// Turn is one turn of a chain.
type Turn struct {
	ID        call.ID
	Workspace ids.WorkspaceID
	// Chain are the turns before this one, oldest first.
	Chain  []call.ID
	Input  []byte
	Output []byte
	At     time.Time
}

// Config is what a store needs.
type Config struct {
	Log    partlog.Log
	Space  partlog.Space
	Now    func() time.Time
	Logger *zap.Logger
}

// Store holds turns in memory and reads and writes them in the log. It is safe for concurrent use.
type Store struct {
	Config
	mu         sync.Mutex
	turns      map[call.ID]*Turn
	partitions map[partlog.Partition]*partition
	retention  time.Duration
}

// partition is how far a partition was read. Its lock is held during a read.
type partition struct {
	mu     sync.Mutex
	next   ids.Offset
	readAt time.Time // start of the last read that reached the end
}

// New returns a store.
func New(c Config) *Store {
	return &Store{
		Config: c, turns: make(map[call.ID]*Turn), partitions: make(map[partlog.Partition]*partition), retention: time.Minute,
	}
}

// Put writes a turn and returns when the log has it. It tries until the context ends; a turn that is written twice is the
// same turn.
func (s *Store) Put(ctx context.Context, t Turn) (err error) {
	defer func() { err = oops.In("turnstore").With("turn", t.ID).Wrapf(err, "write a turn") }()
	t.At = s.Now()
	record := encode(t)
	for {
		try, cancel := context.WithTimeout(ctx, tryTimeout)
		_, err := s.Log.Append(try, s.Space.Of(string(t.ID)), partlog.Anywhere, record)
		cancel()
		if err == nil {
			s.remember(&t)
			return nil
		}
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
			return err
		}
	}
}

func (s *Store) remember(t *Turn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turns[t.ID] = t
}

func (s *Store) lookup(id call.ID) *Turn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.turns[id]
}

// Chain returns a turn and those before it, oldest first. The error is ErrNone if a read of the log that began after
// asked shows that the workspace has no such turn.
func (s *Store) Chain(ctx context.Context, asked time.Time, ws ids.WorkspaceID, id call.ID) (l []*Turn, err error) {
	last, err := s.get(ctx, asked, id)
	if err != nil {
		return nil, err
	}
	if last.Workspace != ws {
		return nil, ErrNone
	}
	l = make([]*Turn, len(last.Chain)+1)
	l[len(l)-1] = last
	var tasks sync.WaitGroup
	var mu sync.Mutex
	for i, before := range last.Chain {
		if l[i] = s.lookup(before); l[i] != nil {
			continue
		}
		tasks.Go(func() {
			t, getErr := s.get(ctx, asked, before)
			mu.Lock()
			defer mu.Unlock()
			l[i] = t
			if getErr != nil && err == nil {
				err = getErr
			}
		})
	}
	tasks.Wait()
	if errors.Is(err, ErrNone) {
		// The chain is kept as long as its last turn, so this is a fault of the log or of this program.
		events.Log(s.Logger, events.ChainBroken, zap.String("requestId", string(id)))
		return nil, oops.In("turnstore").With("turn", id).Errorf("a turn of the chain is missing")
	}
	return l, err
}

func (s *Store) get(ctx context.Context, asked time.Time, id call.ID) (t *Turn, err error) {
	if t := s.lookup(id); t != nil {
		return t, nil
	}
	where := s.Space.Of(string(id))
	for {
		err := s.read(ctx, asked, where)
		if t := s.lookup(id); t != nil {
			return t, nil
		}
		if err == nil {
			return nil, ErrNone
		}
		if errors.Is(err, partlog.ErrAway) {
			return nil, oops.In("turnstore").With("turn", id).Wrapf(err, "read a turn")
		}
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
			return nil, oops.In("turnstore").With("turn", id).Wrapf(err, "read a turn")
		}
	}
}

// read reads a partition to its end, unless that was done since asked.
func (s *Store) read(ctx context.Context, asked time.Time, id partlog.Partition) error {
	s.mu.Lock()
	p := s.partitions[id]
	if p == nil {
		p = &partition{}
		s.partitions[id] = p
	}
	s.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	for !p.readAt.After(asked) {
		began := s.Now()
		try, cancel := context.WithTimeout(ctx, tryTimeout)
		page, err := s.Log.Read(try, id, p.next, 0)
		cancel()
		var gone *partlog.GoneError
		if errors.As(err, &gone) {
			p.next = gone.First
			continue
		}
		if err != nil {
			return err
		}
		s.take(id, page)
		p.next = page.Next()
		if p.next >= page.End {
			p.readAt = began
		}
	}
	return nil
}

func (s *Store) take(id partlog.Partition, page partlog.Page) {
	for i, data := range page.Records {
		t, err := decode(data)
		if err != nil {
			events.Log(s.Logger, events.EntrySkipped, zap.String("stream", id.Topic),
				zap.Int64("offset", int64(page.From)+int64(i)), zap.String("reason", err.Error()))
			continue
		}
		s.remember(t)
	}
}

// Retain sets how long turns are kept, and forgets older ones. Call it every few seconds.
func (s *Store) Retain(now time.Time, retention time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if retention > 0 {
		s.retention = retention
	}
	for id, t := range s.turns {
		if now.Sub(t.At) > keepFactor*s.retention {
			delete(s.turns, id)
		}
	}
}

// Len returns the number of turns in memory.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.turns)
}
