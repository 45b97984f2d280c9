// Package programs keeps what outlives a daemon of each agent program: the tokens it has reserved and spent, and the
// turns it may be continued from. All records of a program are in one partition of the platform's log, so that one read
// tells a daemon everything about a program that it has not seen before.
package programs

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/pkg/account"
)

const (
	// tryTimeout bounds one call to the log, after which the partition is read to see what became of it.
	tryTimeout = 600 * time.Millisecond
	// retryPause is the wait before a call that the log did not take is made again.
	retryPause = 40 * time.Millisecond
	// busyPause is the shortest wait after a call that the log refused as too many, and half of the longest.
	busyPause = 100 * time.Millisecond
	// giveUpAfter bounds the time for a write. Callers are told to come back rather than kept waiting.
	giveUpAfter = 1200 * time.Millisecond
	// dropAfter is how long the account of a program without records is remembered.
	dropAfter = 3 * time.Minute
)

// Config is what a store needs.
type Config struct {
	Log partlog.Log
	// Programs are the partitions of programs, Index those that tell which program a turn belongs to.
	Programs, Index partlog.Keyspace
	Now             func() time.Time
	Logger          *zap.Logger
}

// Store keeps the programs that come to this daemon. It is safe for concurrent use.
type Store struct {
	Config

	mu         sync.Mutex
	partitions map[partlog.Partition]*partition
	indexes    map[partlog.Partition]*index
	turns      map[call.ID]*Turn
	retention  time.Duration
	// indexedSince is when the index was last read from its beginning.
	indexedSince time.Time
}

// New returns a store.
func New(c Config) *Store {
	return &Store{
		Config: c, partitions: make(map[partlog.Partition]*partition), indexes: make(map[partlog.Partition]*index),
		turns: make(map[call.ID]*Turn), retention: time.Minute,
	}
}

func (s *Store) partition(k account.Key) *partition {
	id := s.Programs.PartitionFor(string(k.Workspace) + "/" + string(k.Program))
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partitions[id]
	if p == nil {
		p = &partition{store: s, id: id, book: account.New(), pools: make(map[account.Key]*pool)}
		s.partitions[id] = p
	}
	return p
}

func (s *Store) all() (l []*partition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.partitions {
		l = append(l, p)
	}
	return l
}

// DropOld forgets programs without records for some time and turns beyond their retention; 0 keeps the retention. Call
// it every few seconds.
func (s *Store) DropOld(now time.Time, retention time.Duration) {
	for _, p := range s.all() {
		p.mu.Lock()
		p.book.DropIdle(now, dropAfter)
		p.mu.Unlock()
	}
	s.dropTurns(now, retention)
}

// Flush settles what is reserved in vain and writes what waits, until the context ends.
func (s *Store) Flush(ctx context.Context) {
	for _, p := range s.all() {
		p.mu.Lock()
		p.settleIdle()
		p.start()
		p.mu.Unlock()
	}
	for _, p := range s.all() {
		for p.busy() && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
	}
}
