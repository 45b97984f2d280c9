package programs

import (
	"context"
	"errors"
	"time"

	"github.com/comfreylink/comfreylink/internal/hedge"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/recordgate"
)

// hedgeDelay is how long records wait for their partition's leader at least until they are written in another way as well. It is
// several times what an append takes.
const hedgeDelay = 250 * time.Millisecond

// hedgeDelayFor returns how long a write waits for the leader. If its deadline is near, half of the time is left for the second
// write.
func hedgeDelayFor(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return hedgeDelay
	}
	return min(hedgeDelay, time.Until(deadline)/2)
}

// writeTurns writes turns through the leader of a partition, and returns the partition that has them. The leader may be alive and
// yet unable to write, because it is cut off from the log or because this part of the log does not answer. So if it takes long, and
// not because the log does, this instance writes the turns to the partition spare as well, and the first success counts. In a slow log
// the leader of that partition does, with its next append. Turns need no condition, may be in any partition, and count once if they are
// written twice.
func (s *Store) writeTurns(ctx context.Context, p, spare *partition, turns [][]byte, w *recordgate.Write) (*partition, error) {
	b, calls, callCtx := batch{turns: turns}, 0, hedge.KeepDeadline(ctx, writeTimeout)
	first := s.beginFirst(ctx, spare)
	defer first.end()
	s.turnHedges.Count()
	o := hedge.First(ctx, hedgeDelayFor(ctx), func(failed error) func() (*partition, error) {
		calls++
		switch {
		case calls == 1:
			return func() (*partition, error) {
				_, err := s.writeThrough(callCtx, s.Leaders.Do, p, b)
				return p, err
			}
		case failed != nil:
			first.end() // the caller tries another leader
			return nil
		// If this instance leads its only partition, a second write would wait behind the first one.
		case calls > 2 || spare == p && s.Leaders.Rank(p.id) == 0:
			return nil
		}
		return func() (*partition, error) {
			w.Try(spare.id)
			late, err := first.awaitSlow(spare, s.turnHedges, true)
			if err != nil {
				return nil, err
			}
			if late {
				_, err = s.writeThrough(callCtx, s.Leaders.Do, spare, b)
			} else {
				_, err = spare.submit(callCtx, b)
			}
			return spare, err
		}
	})
	if o.OK {
		return o.Result, nil
	}
	return nil, failureOf(ctx, o)
}

// writeAccounts writes reservations and settlements through the leader of a partition, or through the own writer if there are no
// leaders. If the leader cannot write, or takes long although the log does not, reservations go to the next instance in the order as
// well, and the first answer counts: appends of reservations are conditional, and one that is in the log already is granted as it is
// there.
func (s *Store) writeAccounts(ctx context.Context, p *partition, b batch) (granted []grant, err error) {
	switch {
	case s.Leaders == nil:
		return p.submit(ctx, b)
	case len(b.reservations) == 0:
		return s.writeThrough(ctx, s.Leaders.Do, p, b)
	}
	calls, callCtx := 0, hedge.KeepDeadline(ctx, writeTimeout)
	first := s.beginFirst(ctx, p)
	defer first.end()
	s.accountHedges.Count()
	next := func() ([]grant, error) { return s.writeThrough(callCtx, s.Leaders.DoNext, p, b) }
	o := hedge.First(ctx, hedgeDelayFor(ctx), func(failed error) func() ([]grant, error) {
		calls++
		switch {
		case calls == 1:
			return func() ([]grant, error) { return s.writeThrough(callCtx, s.Leaders.Do, p, b) }
		case failed != nil && calls > 2:
			first.fail(failed)
			return nil
		case errors.Is(failed, partlog.ErrThrottled) || calls > 2:
			return nil
		case failed != nil && s.accountHedges.Allow(s.Now()):
			return next
		case failed != nil:
			return nil
		}
		return func() ([]grant, error) {
			if _, err := first.awaitSlow(p, s.accountHedges, false); err != nil {
				return nil, err
			}
			return next()
		}
	})
	if !o.OK {
		return nil, failureOf(ctx, o)
	}
	if mayApply(o) {
		markUncertain(o.Result)
	}
	return o.Result, nil
}

// mayApply reports whether a call that failed, or has not ended, may have an effect.
func mayApply[T any](o hedge.Outcome[T]) bool {
	for _, err := range o.Errors {
		if !errors.Is(err, partlog.ErrNotApplied) {
			return true
		}
	}
	return o.Running > 0
}

// failureOf returns the error of a write of which no call has succeeded. It wraps partlog.ErrNotApplied only if that holds for
// all of them.
func failureOf[T any](ctx context.Context, o hedge.Outcome[T]) error {
	err := errors.Join(o.Errors...)
	if o.Running > 0 {
		err = errors.Join(err, context.Cause(ctx))
	}
	if mayApply(o) {
		return errLeaderUnanswered(err)
	}
	return err
}
