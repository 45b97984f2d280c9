package programs

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/pkg/account"
)

// findTurns returns the turns with the given ids and the turns before them, as far as they are in memory or in the
// partition. A turn that is not among them was not in the partition at notBefore.
func (p *partition) findTurns(ctx context.Context, notBefore time.Time, wanted []call.ID) (found []*Turn, err error) {
	if err := p.readWithRetry(ctx, notBefore); err != nil {
		return nil, err
	}
	return p.restoreTurns(ctx, wanted)
}

// turnsInMemory returns the turns with the given ids and the turns before them, as far as they are in memory. all reports
// whether all with the given ids are.
func (s *Store) turnsInMemory(wanted []call.ID) (found []*Turn, all bool) {
	all = true
	for _, id := range wanted {
		t := s.turns.lookup(id)
		if t == nil {
			all = false
			continue
		}
		for _, before := range t.Chain {
			if b := s.turns.lookup(before); b != nil && !slices.Contains(found, b) {
				found = append(found, b)
			}
		}
		found = append(found, t)
	}
	return found, all
}

// turnPartition returns the partition for a turn's record. It is one that is led in the zone of this instance, because
// turns are most of what is written, and a turn can be found in any partition.
func (s *Store) turnPartition(k account.Key) *partition {
	own := s.partition(k)
	near := s.Leaders.Near(s.Programs.Partitions())
	if len(near) == 0 || slices.Contains(near, own.id) {
		return own
	}
	return s.partitionOf(near[own.id.Part%len(near)])
}

// turnPartitions returns the partitions that may take a turn's record, the preferred one first.
func (s *Store) turnPartitions(k account.Key) []*partition {
	first := s.turnPartition(k)
	places := []*partition{first}
	for _, id := range s.Programs.Partitions() {
		if id != first.id {
			places = append(places, s.partitionOf(id))
		}
	}
	return places
}

// fetchChain returns a turn and the turns before it. It looks in memory, then asks the leaders of the zone and then all
// leaders for what they have in memory. If turns are still missing, the leaders read their partitions.
func (s *Store) fetchChain(ctx context.Context, notBefore time.Time, program account.Key, id call.ID) (l []*Turn, err error) {
	defer func() {
		if err != nil && !errors.Is(err, ErrTurnNotFound) {
			err = oops.In("programs").With("turn", id).Wrapf(err, "fetch a turn")
		}
	}()
	all := s.Programs.Partitions()
	f := newChainSearch(s, id)
	l, missing := f.chain()
	for _, step := range []struct {
		partitions []partlog.Partition
		memoryOnly bool
	}{{s.Leaders.Near(all), true}, {all, true}, {all, false}} {
		// The leaders are asked again if they have answered with a part of the chain: it may continue turns that only others have.
		for tries, progress := 0, true; progress && tries < maxFetches && len(missing) > 0; tries++ {
			before := len(f.found)
			reads, err := f.fetch(ctx, notBefore, step.partitions, missing, step.memoryOnly)
			l, missing = f.chain()
			progress = len(f.found) > before
			switch {
			case len(missing) == 0:
			case err != nil && !progress:
				return nil, err
			case err == nil && !step.memoryOnly && slices.Contains(missing, id):
				s.logNotFound(program, id, zap.Any("reads", reads))
				return nil, ErrTurnNotFound
			}
		}
	}
	if len(missing) == 0 {
		return l, nil
	}
	events.Log(s.Logger, events.ChainBroken, zap.String("requestId", string(id)), zap.String("turn", string(missing[0])))
	return nil, errors.Join(partlog.ErrOutcomeUnknown, errors.New("a turn of the chain is missing"))
}

// readSoFar says how far this instance has read the partition.
func (p *partition) readSoFar() partitionRead {
	p.mu.Lock()
	defer p.mu.Unlock()
	return partitionRead{Part: p.id.Part, Reader: p.store.Self, Next: p.next}
}

// logNotFound logs that a program continues a turn that does not exist, or that another workspace has.
func (s *Store) logNotFound(program account.Key, id call.ID, why zap.Field) {
	events.Log(s.Logger, events.TurnNotFound, zap.String("turn", string(id)), zap.String("programId", string(program.Program)),
		zap.String("workspace", string(program.Workspace)), why)
}
