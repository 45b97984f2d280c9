package programs

import (
	"context"
	"errors"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/pacedlog"
	"github.com/comfreylink/comfreylink/internal/partlog"
)

const (
	// maxAppendBytes bounds the records of one append. The platform's log takes 2 MiB.
	maxAppendBytes = 1 << 20
	// maxQueuedBytes bounds the records that wait for a partition's writer.
	maxQueuedBytes = 8 << 20
	// renewFraction is the age, as a fraction of the log's retention, at which the account of a program is written again.
	renewFraction = 4
)

// errQueueFull is the error of a batch that a partition's writer has no room for.
var errQueueFull = errors.Join(partlog.ErrNotApplied, partlog.ErrThrottled, errors.New("too many records wait for the partition's writer"))

// submit hands a batch to the partition's writer and blocks until it is written or has failed, or the context ends. The first
// read of the partition, which reservations need, may be long and does not hold the writer up.
func (p *partition) submit(ctx context.Context, b batch) (granted []grant, err error) {
	if len(b.reservations) > 0 {
		if err := p.load(ctx); err != nil {
			return nil, errors.Join(partlog.ErrNotApplied, err)
		}
	}
	s := &submission{batch: b, at: p.store.Now(), ctx: ctx, done: make(chan struct{})}
	p.mu.Lock()
	if p.queuedBytes+b.size() > maxQueuedBytes {
		p.mu.Unlock()
		return nil, errQueueFull
	}
	p.queuedBytes += b.size()
	p.queue = append(p.queue, s)
	if !p.writing {
		p.writing = true
		go p.write()
	}
	p.mu.Unlock()
	select {
	case <-s.done:
		return s.granted, s.err
	case <-ctx.Done():
		return nil, errors.Join(partlog.ErrOutcomeUnknown, ctx.Err())
	}
}

// write appends the queued batches until there are none, with one append at a time, and with writeInterval between the
// starts of two appends.
func (p *partition) write() {
	for {
		p.waitForWrite()
		batches, ok := p.takeQueued()
		if !ok {
			return
		}
		if len(batches) == 0 {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), p.timeFor(batches))
		err := p.commit(ctx, batches)
		cancel()
		if err != nil {
			events.Log(p.store.Logger, events.LedgerFailed, zap.String("stream", p.id.Topic), zap.Int("part", p.id.Part),
				zap.Int("records", len(batches)), zap.Error(err))
		}
		for _, s := range batches {
			s.err = err
			close(s.done)
		}
	}
}

// timeFor returns how long batches are tried: until nobody waits for them any more, but for writeTimeout at least and maxLeaderTimeout at
// most.
func (p *partition) timeFor(batches []*submission) time.Duration {
	left := writeTimeout
	for _, s := range batches {
		if deadline, ok := s.ctx.Deadline(); ok {
			left = max(left, time.Until(deadline))
		}
	}
	return min(left, maxLeaderTimeout)
}

// waitForWrite waits until the next append may start, so that what arrives meanwhile is written with it.
func (p *partition) waitForWrite() {
	if p.store.WriteInterval == 0 {
		return
	}
	p.mu.Lock()
	wait := p.wroteAt.Add(p.store.WriteInterval).Sub(p.store.Now())
	p.mu.Unlock()
	if wait > 0 {
		time.Sleep(wait)
	}
	p.mu.Lock()
	p.wroteAt = p.store.Now()
	p.mu.Unlock()
}

// takeQueued removes the next batches from the queue, as many as one append can take. Batches for which nobody waits any
// more are dropped. If the queue is empty, ok is false and the writer ends.
func (p *partition) takeQueued() (batches []*submission, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) == 0 {
		p.writing = false
		return nil, false
	}
	bytes, taken := 0, 0
	for _, s := range p.queue {
		if bytes > 0 && bytes+s.size() > maxAppendBytes {
			break
		}
		taken++
		p.queuedBytes -= s.size()
		if s.ctx.Err() != nil && len(s.settlements) == 0 {
			s.err = errors.Join(partlog.ErrNotApplied, s.ctx.Err())
			close(s.done)
			continue
		}
		bytes += s.size()
		batches = append(batches, s)
	}
	p.queue = append([]*submission(nil), p.queue[taken:]...)
	return batches, true
}

// commit appends the reservations that fit into their budgets together with the settlements and turns, and sets what was
// granted.
func (p *partition) commit(ctx context.Context, batches []*submission) (err error) {
	unknown := false // whether an append that failed may have taken effect or may still do so
	defer func() {
		if err != nil && unknown {
			err = errUnknownAppend(err)
		}
		err = oops.In("programs").Wrapf(err, "commit")
	}()
	ctx = pacedlog.WithKind(ctx, kindOf(batches))
	fresh := false
	for {
		if !fresh && p.needsRead(batches) {
			if err := p.readWithRetry(ctx, p.store.Now()); err != nil {
				return err
			}
			fresh = true
		}
		d := p.decide(batches)
		if len(d.encoded) == 0 {
			return nil
		}
		waited := p.store.Now().Sub(batches[0].at)
		err := p.append(ctx, d)
		if err == nil {
			p.store.observe(len(d.encoded), waited)
			return nil
		}
		if errors.Is(err, partlog.ErrNotApplied) {
			if err := waitBeforeRetry(ctx, err); err != nil {
				return err
			}
			continue
		}
		fresh = false
		var conflict *partlog.ConflictError
		unknown = unknown || !errors.As(err, &conflict)
		if err := p.reread(ctx, err); err != nil {
			return err
		}
	}
}

func (s *Store) observe(records int, waited time.Duration) {
	if s.Observer != nil {
		s.Observer.RecordsWritten(records, waited)
	}
}

// append appends the records of a decision and applies them. Reservations need a conditional append, the others do not.
func (p *partition) append(ctx context.Context, d decision) error {
	ctx, cancel := p.attempt(ctx)
	defer cancel()
	at := partlog.AnyOffset
	p.mu.Lock()
	if d.conditional {
		at = p.next
	}
	p.mu.Unlock()
	first, err := p.store.Log.Append(ctx, p.id, at, d.encoded...)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range d.records {
		p.ledger.Apply(r)
	}
	for _, data := range d.turns {
		if t, err := decodeTurn(data); err == nil {
			p.store.turns.add(t, p)
		}
	}
	p.advance(first, len(d.encoded))
	return nil
}

// attempt returns a context for an append. It ends after attemptTimeout, unless the log answers late: an append that is given up may
// take effect all the same, and its repetition waits behind it.
func (p *partition) attempt(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	began := p.store.Now()
	end := time.AfterFunc(attemptTimeout, func() {
		for ctx.Err() == nil {
			answer := p.ask()
			select {
			case <-answer.done:
			case <-ctx.Done():
				return
			}
			left := slowLeaderFactor*answer.took - p.store.Now().Sub(began)
			if answer.err != nil || left <= 0 {
				cancel(context.DeadlineExceeded)
			}
			select {
			case <-time.After(min(left, slowAnswerAge)):
			case <-ctx.Done():
			}
		}
	})
	p.askWhile(ctx)
	return ctx, func() {
		end.Stop()
		cancel(nil)
	}
}
