package programs

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/pkg/account"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

const (
	// keepFactor is how many retentions a turn is kept in memory: a turn that goes on refers to the whole chain.
	keepFactor = 2
	// MaxInput bounds a turn's input, so that a turn fits in one record of the log.
	MaxInput = 128 << 10
)

// ErrNone says that a turn does not exist, or is another workspace's. It is certain.
var ErrNone = errors.New("there is no such turn")

// Turn is one turn of a chain.
type Turn struct {
	ID      call.ID
	Program account.Key
	// Chain are the turns before this one, oldest first.
	Chain  []call.ID
	Input  []byte
	Output []byte
	At     time.Time
}

// index is how far a partition of the index was read, and what it holds.
type index struct {
	mu       sync.Mutex // held during a read
	next     ids.Offset
	readAt   time.Time
	programs map[call.ID]account.Key
}

// Put writes a turn and returns when the log has it. It tries until the context ends; a turn that is written twice is the
// same turn.
func (s *Store) Put(ctx context.Context, t Turn) (err error) {
	defer func() { err = oops.In("programs").With("turn", t.ID).Wrapf(err, "write a turn") }()
	t.At = s.Now()
	p := s.partition(t.Program)
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.Go(func() error {
		first, err := s.append(ctx, p.id, encodeTurn(t))
		if err == nil {
			p.mu.Lock()
			p.advance(first, 1)
			p.mu.Unlock()
		}
		return err
	})
	tasks.Go(func() error {
		_, err := s.append(ctx, s.Index.PartitionFor(string(t.ID)), encodeIndex(t))
		return err
	})
	if err := tasks.Wait(); err != nil {
		return err
	}
	s.remember(&t)
	return nil
}

// append writes a record that may be there twice, until the context ends.
func (s *Store) append(ctx context.Context, p partlog.Partition, record []byte) (first ids.Offset, err error) {
	for {
		try, cancel := context.WithTimeout(ctx, tryTimeout)
		first, err = s.Log.Append(try, p, partlog.AnyOffset, record)
		cancel()
		if err == nil {
			return first, nil
		}
		// An outage may be shorter than the time that the caller waits, so that the log is tried again even if it is away.
		select {
		case <-time.After(pauseAfter(err)):
		case <-ctx.Done():
			return 0, err
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

// Chain returns a turn and those before it, oldest first; program is the one that goes on with them. The error is ErrNone
// if reads of the log that began after asked show that the workspace has no such turn.
func (s *Store) Chain(ctx context.Context, asked time.Time, program account.Key, id call.ID) (l []*Turn, err error) {
	last, err := s.get(ctx, asked, program, id)
	if err != nil {
		return nil, err
	}
	if last.Program.Workspace != program.Workspace {
		return nil, ErrNone
	}
	for _, before := range last.Chain {
		t, err := s.get(ctx, asked, last.Program, before)
		if errors.Is(err, ErrNone) {
			// The chain is kept as long as its last turn, so this is a fault of the log or of this program.
			events.Log(s.Logger, events.ChainBroken, zap.String("requestId", string(id)))
			return nil, oops.In("programs").With("turn", id).Errorf("a turn of the chain is missing")
		}
		if err != nil {
			return nil, err
		}
		l = append(l, t)
	}
	return append(l, last), nil
}

// get returns a turn: from memory, from the partition of the program that goes on with it, or from that of its own.
func (s *Store) get(ctx context.Context, asked time.Time, program account.Key, id call.ID) (t *Turn, err error) {
	if t := s.lookup(id); t != nil {
		return t, nil
	}
	defer func() {
		if err != nil && !errors.Is(err, ErrNone) {
			err = oops.In("programs").With("turn", id).Wrapf(err, "read a turn")
		}
	}()
	if err := s.partition(program).readUntilDone(ctx, asked); err != nil {
		return nil, err
	}
	if t := s.lookup(id); t != nil {
		return t, nil
	}
	own, ok, err := s.programOf(ctx, asked, id)
	if err != nil {
		return nil, err
	}
	if !ok {
		return nil, ErrNone
	}
	if err := s.partition(own).readUntilDone(ctx, asked); err != nil {
		return nil, err
	}
	if t := s.lookup(id); t != nil {
		return t, nil
	}
	// The turn was being written when its daemon ended, so that no caller has seen its end.
	return nil, ErrNone
}

// programOf returns the program that a turn belongs to, by the index.
func (s *Store) programOf(ctx context.Context, asked time.Time, id call.ID) (k account.Key, ok bool, err error) {
	where := s.Index.PartitionFor(string(id))
	s.mu.Lock()
	x := s.indexes[where]
	if x == nil {
		x = &index{programs: make(map[call.ID]account.Key)}
		s.indexes[where] = x
	}
	s.mu.Unlock()
	x.mu.Lock()
	defer x.mu.Unlock()
	for !x.readAt.After(asked) {
		if err := s.readIndex(ctx, where, x); err != nil {
			if err := pause(ctx, err); err != nil {
				return k, false, err
			}
		}
	}
	k, ok = x.programs[id]
	return k, ok, nil
}

// readIndex reads one page of the index.
func (s *Store) readIndex(ctx context.Context, where partlog.Partition, x *index) error {
	began := s.Now()
	page, err := partlog.ReadRetained(ctx, s.Log, where, x.next, tryTimeout)
	if err != nil {
		return err
	}
	for i, data := range page.Records {
		id, k, err := decodeIndex(data)
		if err != nil {
			events.Log(s.Logger, events.EntrySkipped, zap.String("stream", where.Topic),
				zap.Int64("offset", int64(page.From)+int64(i)), zap.String("reason", err.Error()))
			continue
		}
		x.programs[id] = k
	}
	x.next = page.Next()
	if x.next >= page.End {
		x.readAt = began
	}
	return nil
}

// dropTurns forgets turns beyond their retention.
func (s *Store) dropTurns(now time.Time, retention time.Duration) {
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
	if now.Sub(s.indexedSince) > keepFactor*s.retention {
		clear(s.indexes)
		s.indexedSince = now
	}
}

// Turns returns the number of turns in memory.
func (s *Store) Turns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.turns)
}
