package programs

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/pkg/account"
)

// findTurns returns the turns with the given ids and the turns before them, as far as they are in memory or in the
// partition. A turn that is not among them was not in the partition at notBefore.
func (p *partition) findTurns(ctx context.Context, notBefore time.Time, wanted []call.ID) (found []*Turn, err error) {
	inMemory := func() (all bool) {
		found = nil
		all = true
		for _, id := range wanted {
			t := p.store.turns.lookup(id)
			if t == nil {
				all = false
				continue
			}
			for _, before := range t.Chain {
				if b := p.store.turns.lookup(before); b != nil {
					found = append(found, b)
				} else {
					all = false
				}
			}
			found = append(found, t)
		}
		return all
	}
	if inMemory() {
		return found, nil
	}
	if err := p.readWithRetry(ctx, notBefore); err != nil {
		return nil, err
	}
	if inMemory() {
		return found, nil
	}
	if err := p.restoreTurns(ctx); err != nil {
		return nil, err
	}
	inMemory()
	return found, nil
}

// fetchTurns asks the leader of a partition for turns, and adds what it returns to the memory.
func (s *Store) fetchTurns(ctx context.Context, notBefore time.Time, p *partition, wanted []call.ID) (err error) {
	var result turnsResult
	err = s.Leaders.Do(ctx, p.id, methodTurns, turnsParams{Partition: p.id, Turns: wanted}, &result, func() error {
		result = turnsResult{}
		_, err := p.findTurns(ctx, notBefore, wanted)
		return err
	})
	if err == nil {
		err = result.Failure.err()
	}
	if err != nil {
		return err
	}
	for _, data := range result.Turns {
		t, err := decodeTurn(data)
		if err != nil {
			return err
		}
		s.turns.add(t, s.partition(t.Program))
	}
	return nil
}

// fetchChain returns a turn and the turns before it from memory, from the leader of the program's partition, or from the
// leaders of all partitions, because the turn may belong to another program.
func (s *Store) fetchChain(ctx context.Context, notBefore time.Time, program account.Key, id call.ID) (l []*Turn, err error) {
	defer func() {
		if err != nil && !errors.Is(err, ErrTurnNotFound) {
			err = oops.In("programs").With("turn", id).Wrapf(err, "fetch a turn")
		}
	}()
	l, missing := s.chainInMemory(id)
	if len(missing) == 0 {
		return l, nil
	}
	own := s.partition(program)
	if err := s.fetchTurns(ctx, notBefore, own, []call.ID{id}); err != nil {
		return nil, err
	}
	// A turn of another program continues turns that may be in a third one's partition.
	for range 2 {
		if l, missing = s.chainInMemory(id); len(missing) == 0 {
			return l, nil
		}
		if err := s.fetchFromAll(ctx, notBefore, missing); err != nil {
			return nil, err
		}
	}
	if l, missing = s.chainInMemory(id); len(missing) == 0 {
		return l, nil
	}
	if slices.Contains(missing, id) {
		return nil, ErrTurnNotFound
	}
	return nil, errors.Join(partlog.ErrOutcomeUnknown, errors.New("a turn of the chain is missing"))
}

// fetchFromAll asks the leaders of all partitions for turns.
func (s *Store) fetchFromAll(ctx context.Context, notBefore time.Time, wanted []call.ID) error {
	tasks, ctx := errgroup.WithContext(ctx)
	for _, id := range s.Programs.Partitions() {
		tasks.Go(func() error { return s.fetchTurns(ctx, notBefore, s.partitionOf(id), wanted) })
	}
	return tasks.Wait()
}

// chainInMemory returns a turn and the turns before it, oldest first, and the ids of those that are not in memory.
func (s *Store) chainInMemory(id call.ID) (l []*Turn, missing []call.ID) {
	last := s.turns.lookup(id)
	if last == nil {
		return nil, []call.ID{id}
	}
	for _, before := range last.Chain {
		t := s.turns.lookup(before)
		if t == nil {
			missing = append(missing, before)
			continue
		}
		l = append(l, t)
	}
	return append(l, last), missing
}
