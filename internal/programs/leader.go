package programs

import (
	"context"
	"errors"
	"time"

	"github.com/comfreylink/comfreylink/internal/pacedlog"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/pkg/logpace"
)

// Leaders calls the instances that lead partitions.
type Leaders interface {
	// Do calls a method of a partition's leader, or local if that is this instance or no leader answers. unanswered reports
	// whether the method may have taken effect at a leader that did not answer, whatever the error is.
	Do(ctx context.Context, p partlog.Partition, method string, params, result any, local func() error) (unanswered bool, err error)
	// Rank returns the place of this instance in the order in which instances lead a partition, from 0.
	Rank(p partlog.Partition) int
	// Near returns the partitions whose leader is in the zone of this instance.
	Near(partitions []partlog.Partition) []partlog.Partition
}

// standbyRank is the last place in the order of leaders at which an instance keeps reading a partition, so that it can lead
// it without a long read first.
const standbyRank = 1

// write writes a batch through the partition's leader, or through the own writer if there are no leaders.
func (s *Store) write(ctx context.Context, p *partition, b batch) (granted []grant, err error) {
	if s.Leaders == nil {
		return p.submit(ctx, b)
	}
	timeout := writeTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	params := newRecordParams(p.id, b, timeout)
	var result recordResult
	unanswered, err := s.Leaders.Do(ctx, p.id, methodRecord, params, &result, func() error {
		granted, err := p.submit(ctx, b)
		result = recordResult{Granted: granted}
		return err
	})
	if err == nil {
		err = result.Failure.err()
	}
	if err == nil && len(result.Granted) != len(b.reservations) {
		err = errors.Join(errLeader, partlog.ErrOutcomeUnknown)
	}
	if err != nil && unanswered {
		err = errLeaderUnanswered(err)
	}
	return result.Granted, err
}

// Standby reads the partitions that this instance may have to lead. It is meant to be called about once a second.
func (s *Store) Standby(ctx context.Context) {
	if s.Leaders == nil {
		return
	}
	for _, id := range s.Programs.Partitions() {
		if s.Leaders.Rank(id) > standbyRank {
			continue
		}
		ctx, cancel := context.WithTimeout(pacedlog.WithKind(ctx, logpace.Background), attemptTimeout)
		_ = s.partitionOf(id).read(ctx, s.Now())
		cancel()
	}
}
