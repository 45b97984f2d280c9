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
	// DoNext is Do without the first instance that Do calls.
	DoNext(ctx context.Context, p partlog.Partition, method string, params, result any, local func() error) (unanswered bool, err error)
	// Rank returns the place of this instance in the order in which instances lead a partition, from 0.
	Rank(p partlog.Partition) int
	// Near returns the partitions whose leader is in the zone of this instance.
	Near(partitions []partlog.Partition) []partlog.Partition
}

// standbyRank is the last place in the order of leaders at which an instance keeps reading a partition, so that it can lead
// it without a long read first.
const standbyRank = 1

// do is Do or DoNext of Leaders.
type do func(ctx context.Context, p partlog.Partition, method string, params, result any, local func() error) (unanswered bool, err error)

// writeThrough writes a batch through one of the instances that may lead the partition. The refusals of a batch that another one
// may have written are uncertain.
func (s *Store) writeThrough(ctx context.Context, do do, p *partition, b batch) (granted []grant, err error) {
	timeout := writeTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	params := newRecordParams(p.id, b, timeout)
	var result recordResult
	unanswered, err := do(ctx, p.id, methodRecord, params, &result, func() error {
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
	switch {
	case err != nil && unanswered:
		err = errLeaderUnanswered(err)
	case unanswered:
		markUncertain(result.Granted)
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
