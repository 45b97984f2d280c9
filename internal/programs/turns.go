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
	"github.com/comfreylink/comfreylink/internal/pacedlog"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/recordgate"
	"github.com/comfreylink/comfreylink/pkg/account"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/logpace"
)

const (
	// keepFactor is the number of retention times for which a turn is kept in memory after a turn has last needed it. The
	// second one covers clocks of instances that differ.
	keepFactor = 2
	// MaxInput is the maximum size of a turn's input in bytes. It lets a turn fit into one record of the log.
	MaxInput = 128 << 10
	// partitionsForOutage is how many partitions in a row must not take a turn for that to count as a failure of the log.
	partitionsForOutage = 2
	// maxCopyBytes bounds the turns that are copied with one append. The platform's log takes 2 MiB.
	maxCopyBytes = 1 << 20
)

// ErrTurnNotFound is the error for a turn that definitely does not exist or belongs to another workspace.
var ErrTurnNotFound = errors.New("there is no such turn")

// Turn is one turn of a chain.
type Turn struct {
	ID      call.ID
	Program account.Key
	// Chain lists the turns before this one, oldest first.
	Chain  []call.ID
	Input  []byte
	Output []byte
	// At is when the turn's record, or the newest copy of it, was written.
	At time.Time
}

// index holds what was read of one partition of the index.
type index struct {
	mu       sync.Mutex // held during a read
	next     ids.Offset // offset of the next record to read
	readAt   time.Time  // start of the last read that reached the end
	programs map[call.ID]account.Key
	reads    partlog.Backoff
}

// Put blocks until a turn and its index record are in the log, and retries until the context ends. A turn that is written
// twice by a retry does no harm.
func (s *Store) Put(ctx context.Context, t Turn) (err error) {
	defer func() { err = oops.In("programs").With("turn", t.ID).Wrapf(err, "write a turn") }()
	t.At = s.Now()
	if s.Leaders != nil {
		return s.putThroughLeader(ctx, s.turnPartitions(t.Program), &t)
	}
	p := s.partition(t.Program)
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.Go(func() error {
		first, err := s.appendWithRetry(ctx, p.id, encodeTurn(t))
		if err == nil {
			p.mu.Lock()
			p.advance(first, 1)
			p.mu.Unlock()
		}
		return err
	})
	tasks.Go(func() error {
		_, err := s.appendWithRetry(ctx, s.Index.PartitionFor(string(t.ID)), encodeIndex(t))
		return err
	})
	tasks.Go(func() error { return s.copyOldTurns(ctx, p, t.Chain) })
	if err := tasks.Wait(); err != nil {
		return err
	}
	s.turns.add(&t, p)
	return nil
}

// putThroughLeader blocks until a turn and the copies of old turns that it continues are in the log, and retries until the
// context ends.
func (s *Store) putThroughLeader(ctx context.Context, places []*partition, t *Turn) error {
	chunks := divideIntoChunks(s.copiesOfOldTurns(t.Chain))
	w := s.Writes.Begin(places[0].id)
	for _, turns := range append(chunks, []*Turn{t}) {
		p, err := s.writeWithRetry(ctx, places, encodeTurns(turns), w)
		if err != nil {
			w.GiveUp()
			return err
		}
		for _, written := range turns {
			s.turns.add(written, p)
		}
	}
	w.End(nil)
	return nil
}

// writeWithRetry writes turns through the leader of one of the partitions, and returns that partition. It retries with the next
// one until the context ends: a leader may be unable to use its partition while the others are well.
func (s *Store) writeWithRetry(ctx context.Context, places []*partition, turns [][]byte, w *recordgate.Write) (p *partition, err error) {
	for try := 0; ; try++ {
		place, spare := places[try%len(places)], places[(try+1)%len(places)]
		w.Try(place.id)
		p, err = s.writeTurns(ctx, place, spare, turns, w)
		if err == nil {
			return p, nil
		}
		if (try+1)%min(partitionsForOutage, len(places)) == 0 {
			w.AttemptFailed(err)
		}
		select {
		case <-time.After(throttledDelay()):
		case <-ctx.Done():
			return nil, err
		}
	}
}

// copyOldTurns writes the turns of a chain once more whose records the log would delete while a turn that continues them is
// retained. The copies are in the partition of the program that continues the chain.
func (s *Store) copyOldTurns(ctx context.Context, p *partition, chain []call.ID) error {
	for _, copies := range divideIntoChunks(s.copiesOfOldTurns(chain)) {
		if _, err := s.appendWithRetry(ctx, p.id, encodeTurns(copies)...); err != nil {
			return err
		}
		for _, t := range copies {
			s.turns.add(t, p)
		}
	}
	return nil
}

// copiesOfOldTurns returns copies of the turns of a chain that expire soon, as they are written at this time.
func (s *Store) copiesOfOldTurns(chain []call.ID) (copies []*Turn) {
	now := s.Now()
	for _, id := range chain {
		t := s.turns.lookup(id)
		if t == nil || !s.expiresSoon(t, now) {
			continue
		}
		renewed := *t
		renewed.At = now
		copies = append(copies, &renewed)
	}
	return copies
}

// divideIntoChunks divides turns into chunks whose records have at most maxCopyBytes together. A larger turn is a chunk of its own.
func divideIntoChunks(turns []*Turn) (chunks [][]*Turn) {
	size := 0
	for _, t := range turns {
		bytes := len(encodeTurn(*t))
		if len(chunks) == 0 || size+bytes > maxCopyBytes {
			chunks, size = append(chunks, nil), 0
		}
		last := len(chunks) - 1
		chunks[last] = append(chunks[last], t)
		size += bytes
	}
	return chunks
}

// expiresSoon reports whether the log may delete a turn's record before a turn that ends now is past its retention. Records
// are copied late enough that a turn is not copied with each turn of its chain: when they are a quarter of the log's
// retention old, or half of what the log's retention exceeds the turns' by if that is shorter.
func (s *Store) expiresSoon(t *Turn, now time.Time) bool {
	if s.LogRetention == 0 {
		return false
	}
	s.mu.Lock()
	retention := s.retention
	s.mu.Unlock()
	earliest := min(s.LogRetention/4, (s.LogRetention-retention)/2)
	return now.Sub(t.At) > max(earliest, s.LogRetention-keepFactor*retention)
}

// appendWithRetry appends records and retries until the context ends. Retries may write them twice.
func (s *Store) appendWithRetry(ctx context.Context, p partlog.Partition, records ...[]byte) (first ids.Offset, err error) {
	ctx = pacedlog.WithKind(ctx, logpace.TurnEnd)
	for {
		try, cancel := context.WithTimeout(ctx, attemptTimeout)
		first, err = s.Log.Append(try, p, partlog.AnyOffset, records...)
		cancel()
		if err == nil {
			return first, nil
		}
		// An outage may be shorter than the caller's wait, so retry even if the log is unavailable.
		select {
		case <-time.After(retryDelay(err)):
		case <-ctx.Done():
			return 0, err
		}
	}
}

// Chain returns a turn and the turns before it, oldest first. The program is the one that continues the chain; it may be
// another one than the turn's. The error is ErrTurnNotFound if reads of the log that began after notBefore show that the
// workspace has no such turn.
func (s *Store) Chain(ctx context.Context, notBefore time.Time, program account.Key, id call.ID) (l []*Turn, err error) {
	if s.Leaders != nil {
		l, err := s.fetchChain(ctx, notBefore, program, id)
		if err == nil {
			if owner := l[len(l)-1].Program.Workspace; owner != program.Workspace {
				s.logNotFound(program, id, zap.String("owner", string(owner)))
				return nil, ErrTurnNotFound
			}
		}
		return l, err
	}
	last, err := s.get(ctx, notBefore, program, id)
	if err != nil {
		return nil, err
	}
	if last.Program.Workspace != program.Workspace {
		return nil, ErrTurnNotFound
	}
	for _, before := range last.Chain {
		t, err := s.get(ctx, notBefore, last.Program, before)
		if errors.Is(err, ErrTurnNotFound) {
			// A chain is kept as long as its last turn, so this is a fault of the log or of the gateway.
			events.Log(s.Logger, events.ChainBroken, zap.String("requestId", string(id)), zap.String("turn", string(before)))
			return nil, oops.In("programs").With("turn", id).Errorf("a turn of the chain is missing")
		}
		if err != nil {
			return nil, err
		}
		l = append(l, t)
	}
	return append(l, last), nil
}

// get returns a turn. It looks in memory, then in the partition of the program that continues the turn, and then in the
// partition of the program that the index names. If turns of these partitions were dropped from memory, it reads them again.
func (s *Store) get(ctx context.Context, notBefore time.Time, program account.Key, id call.ID) (t *Turn, err error) {
	if t := s.turns.lookup(id); t != nil {
		return t, nil
	}
	defer func() {
		if err != nil && !errors.Is(err, ErrTurnNotFound) {
			err = oops.In("programs").With("turn", id).Wrapf(err, "read a turn")
		}
	}()
	own := s.partition(program)
	if err := own.readWithRetry(ctx, notBefore); err != nil {
		return nil, err
	}
	if t := s.turns.lookup(id); t != nil {
		return t, nil
	}
	owner, ok, err := s.programOf(ctx, notBefore, id)
	if err != nil {
		return nil, err
	}
	places := []*partition{own}
	if ok {
		places = []*partition{s.partition(owner), own}
		if err := places[0].readWithRetry(ctx, notBefore); err != nil {
			return nil, err
		}
	}
	for _, p := range places {
		found, err := p.restoreTurns(ctx, []call.ID{id})
		if err != nil {
			return nil, err
		}
		if len(found) > 0 {
			return found[len(found)-1], nil
		}
	}
	// If the index has the turn, its instance ended between the two records, so no caller has received the end of the turn.
	return nil, ErrTurnNotFound
}

// programOf looks up the program of a turn in the index.
func (s *Store) programOf(ctx context.Context, notBefore time.Time, id call.ID) (k account.Key, ok bool, err error) {
	part := s.Index.PartitionFor(string(id))
	s.mu.Lock()
	idx := s.indexes[part]
	if idx == nil {
		idx = &index{programs: make(map[call.ID]account.Key), reads: partlog.Backoff{Timeout: attemptTimeout, Pause: retryPause}}
		s.indexes[part] = idx
	}
	s.mu.Unlock()
	idx.mu.Lock()
	defer idx.mu.Unlock()
	for !idx.readAt.After(notBefore) {
		if err := s.readIndex(ctx, part, idx); err != nil {
			if err := waitBeforeRetry(ctx, err); err != nil {
				return k, false, err
			}
		}
	}
	k, ok = idx.programs[id]
	return k, ok, nil
}

// readIndex reads the next page of a partition of the index.
func (s *Store) readIndex(ctx context.Context, part partlog.Partition, idx *index) error {
	began := s.Now()
	page, err := partlog.ReadRetained(ctx, s.Log, part, idx.next, idx.reads.Next())
	idx.reads.Record(err)
	if err != nil {
		return err
	}
	for i, data := range page.Records {
		id, k, err := decodeIndex(data)
		if err != nil {
			events.Log(s.Logger, events.EntrySkipped, zap.String("stream", part.Topic),
				zap.Int64("offset", int64(page.From)+int64(i)), zap.String("reason", err.Error()))
			continue
		}
		idx.programs[id] = k
	}
	idx.next = page.Next()
	if idx.next >= page.End {
		idx.readAt = began
	}
	return nil
}

// dropTurns drops turns past their retention from memory, and from time to time the indexes. Both are read again if they are
// needed after all.
func (s *Store) dropTurns(now time.Time, retention time.Duration) {
	s.mu.Lock()
	if retention > 0 {
		s.retention = retention
	}
	keep := keepFactor * s.retention
	if now.Sub(s.indexedSince) > keep {
		clear(s.indexes)
		s.indexedSince = now
	}
	s.mu.Unlock()
	count := s.turns.drop(now, keep)
	if count == 0 {
		return
	}
	events.Log(s.Logger, events.TurnsDropped, zap.Int("count", count), zap.Int("kept", s.turns.count()), zap.Duration("keep", keep))
}

// Turns returns the number of turns in memory.
func (s *Store) Turns() int { return s.turns.count() }
