package programs

import (
	"context"
	"errors"
	"time"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/hedge"
	"github.com/comfreylink/comfreylink/internal/partlog"
)

// maxFetches is how often the same leaders are asked for the turns of one chain. The first answer names the chain.
const maxFetches = 2

// chainSearch collects the turns of one chain. What it has found stays, even if the memory drops it.
type chainSearch struct {
	store *Store
	id    call.ID
	found map[call.ID]*Turn
}

func newChainSearch(s *Store, id call.ID) *chainSearch {
	return &chainSearch{store: s, id: id, found: make(map[call.ID]*Turn)}
}

// lookup returns a turn that was found or is in memory; nil if there is none.
func (f *chainSearch) lookup(id call.ID) *Turn {
	if t := f.found[id]; t != nil {
		return t
	}
	t := f.store.turns.lookup(id)
	if t != nil {
		f.found[id] = t
	}
	return t
}

// chain returns the turn and the turns before it, oldest first, and the ids of those that are not found yet.
func (f *chainSearch) chain() (l []*Turn, missing []call.ID) {
	last := f.lookup(f.id)
	if last == nil {
		return nil, []call.ID{f.id}
	}
	for _, before := range last.Chain {
		t := f.lookup(before)
		if t == nil {
			missing = append(missing, before)
			continue
		}
		l = append(l, t)
	}
	return append(l, last), missing
}

// fetched is what the leader of a partition has answered.
type fetched struct {
	place int // in the list of partitions that were asked
	turns []*Turn
	read  partitionRead
	err   error
}

// fetch asks the leaders of partitions for turns, and returns when the chain is complete or all have answered. An error means
// that a turn which was not found may exist all the same. A leader that does not answer is one only if it is to read its
// partition: what it has in memory is in its partition too.
func (f *chainSearch) fetch(ctx context.Context, notBefore time.Time, partitions []partlog.Partition, wanted []call.ID, memoryOnly bool) (reads []partitionRead, err error) {
	answers := f.store.fetchAll(ctx, notBefore, partitions, wanted, memoryOnly)
	reads = make([]partitionRead, len(partitions))
	for range partitions {
		select {
		case a := <-answers:
			reads[a.place] = a.read
			for _, t := range a.turns {
				f.found[t.ID] = t
			}
			if !memoryOnly {
				err = errors.Join(err, a.err)
			}
		case <-ctx.Done():
			return reads, errors.Join(err, context.Cause(ctx))
		}
		if _, missing := f.chain(); len(missing) == 0 {
			return reads, nil
		}
	}
	return reads, err
}

// fetchAll begins to ask the leaders of partitions for turns. The calls do not end when the caller has enough, because it would
// seem to it that their leaders do not answer.
func (s *Store) fetchAll(ctx context.Context, notBefore time.Time, partitions []partlog.Partition, wanted []call.ID, memoryOnly bool) <-chan fetched {
	ctx = hedge.KeepDeadline(ctx, maxLeaderTimeout)
	answers := make(chan fetched, len(partitions))
	for i, id := range partitions {
		go func() {
			a := s.fetchFrom(ctx, notBefore, s.partitionOf(id), wanted, memoryOnly)
			a.place = i
			answers <- a
		}()
	}
	return answers
}

// fetchFrom asks the leader of one partition for turns, and adds what it returns to the memory.
func (s *Store) fetchFrom(ctx context.Context, notBefore time.Time, p *partition, wanted []call.ID, memoryOnly bool) (a fetched) {
	var result turnsResult
	params := turnsParams{Partition: p.id, Turns: wanted, MemoryOnly: memoryOnly}
	_, a.err = s.Leaders.Do(ctx, p.id, methodTurns, params, &result, func() (err error) {
		result = turnsResult{}
		if !memoryOnly {
			a.turns, err = p.findTurns(ctx, notBefore, wanted)
			a.read = p.readSoFar()
		}
		return err
	})
	if a.err = answeredFailure(a.err); a.err != nil {
		return a
	}
	if result.Read != (partitionRead{}) {
		a.read = result.Read
	}
	for _, data := range result.Turns {
		t, err := decodeTurn(data)
		if err != nil {
			a.err = errors.Join(partlog.ErrOutcomeUnknown, err)
			return a
		}
		s.turns.addFetched(t)
		a.turns = append(a.turns, t)
	}
	return a
}
