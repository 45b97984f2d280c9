// Package programs stores the state of agent programs that outlives an instance: the tokens that each program has
// reserved and spent, and the turns from which it may be continued. All records of a program are in one partition of the
// platform's log, so an instance learns everything about a program that it has not seen before by reading one partition.
package programs

import (
	"context"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/hedge"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/recordgate"
	"github.com/comfreylink/comfreylink/pkg/account"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

const (
	// attemptTimeout bounds one call to the log. After an append that timed out, the partition is read to find out whether
	// the append took effect.
	attemptTimeout = 600 * time.Millisecond
	// retryPause is the delay before a failed call to the log is retried.
	retryPause = 40 * time.Millisecond
	// throttledPause is the minimum delay before a throttled call to the log is retried, and half of the maximum.
	throttledPause = 100 * time.Millisecond
	// writeTimeout bounds a write with all its retries. After it, callers are asked to retry later instead of being kept
	// waiting. Settlements that could not be written are retried after the same time.
	writeTimeout = 1200 * time.Millisecond
	// minDropAfter is how long the ledger keeps a program after its last record, unless the log keeps records for longer: a
	// program whose records the log still has must not get its budget once more.
	minDropAfter = 3 * time.Minute
)

// Config holds a store's dependencies.
type Config struct {
	// Self names this instance in log events.
	Self ids.InstanceID
	Log  partlog.Log
	// LogRetention is how long the log keeps records; 0 if it keeps all.
	LogRetention time.Duration
	// Programs are the partitions with the records of programs. Index are the partitions that map turns to programs.
	Programs, Index partlog.Keyspace
	// Leaders calls the instances that write the records of all instances to a partition. If it is nil, each instance writes
	// its own records. With leaders there is no index: turns of other programs are found by asking all leaders.
	Leaders Leaders
	// Observer is notified of each append of the own writers; nil if nobody is.
	Observer Observer
	// Writes is notified of the reservations and turns that are written for requests.
	Writes *recordgate.Gate
	// WriteInterval is the minimum time between the starts of two appends to a partition. What arrives meanwhile is
	// written with one append.
	WriteInterval time.Duration
	Now           func() time.Time
	Logger        *zap.Logger
}

// Observer is notified of appends to the log.
type Observer interface {
	// RecordsWritten reports an append with the number of its records and how long the oldest of them waited for it.
	RecordsWritten(records int, waited time.Duration)
}

// Store holds the state of the programs that this instance serves. It is safe for concurrent use.
type Store struct {
	Config
	turns *turnMemory
	// turnHedges and accountHedges bound the turns and the reservations that are written a second time while a leader is slow.
	turnHedges, accountHedges *hedge.Budget

	mu         sync.Mutex
	partitions map[partlog.Partition]*partition
	indexes    map[partlog.Partition]*index
	retention  time.Duration
	// indexedSince is when the indexes in memory were last cleared. After that, the partitions of the index are read again
	// from the beginning.
	indexedSince time.Time
	// slowAnswer is the last slow answer of the log to a read of nothing.
	slowAnswer   *answer
	slowAnswerAt time.Time
}

// New returns an empty store.
func New(c Config) *Store {
	return &Store{
		Config: c, turns: newTurnMemory(), turnHedges: hedge.NewBudget(), accountHedges: hedge.NewBudget(), partitions: make(map[partlog.Partition]*partition),
		indexes: make(map[partlog.Partition]*index), retention: time.Minute,
	}
}

// partition returns the partition of a program.
func (s *Store) partition(k account.Key) *partition {
	return s.partitionOf(s.Programs.PartitionFor(string(k.Workspace) + "/" + string(k.Program)))
}

func (s *Store) partitionOf(id partlog.Partition) *partition {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partitions[id]
	if p == nil {
		p = &partition{
			store: s, id: id, ledger: account.New(), pools: make(map[account.Key]*pool), elsewhere: make(map[account.Key]ids.Tokens),
			readLock: newLock(), restoreLock: newLock(), reads: partlog.Backoff{Timeout: attemptTimeout, Pause: retryPause},
		}
		s.partitions[id] = p
	}
	return p
}

func (s *Store) allPartitions() (l []*partition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.partitions {
		l = append(l, p)
	}
	return l
}

// DropOld drops programs without recent records and turns that are past their retention. A retention of 0 leaves the
// retention as it was. It is meant to be called every few seconds.
func (s *Store) DropOld(now time.Time, retention time.Duration) {
	for _, p := range s.allPartitions() {
		p.mu.Lock()
		p.ledger.DropIdle(now, max(minDropAfter, s.LogRetention))
		maps.DeleteFunc(p.elsewhere, func(k account.Key, _ ids.Tokens) bool { return p.ledger.Committed(k) == 0 })
		p.mu.Unlock()
	}
	s.dropTurns(now, retention)
}

// Flush settles the pools without running turns and blocks until all waiting records are written or the context ends.
// Settlements that could not be written are repeated a few times.
func (s *Store) Flush(ctx context.Context) {
	var tasks sync.WaitGroup
	for _, p := range s.allPartitions() {
		p.mu.Lock()
		p.settleIdle()
		p.mu.Unlock()
		tasks.Go(func() { p.flush(ctx) })
	}
	tasks.Wait()
}
