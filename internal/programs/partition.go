package programs

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/pacedlog"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/pkg/account"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/logpace"
)

// restoreTimeout bounds a second reading of all retained turns of a partition.
const restoreTimeout = 10 * time.Second

// partition is one partition of the programs' log, with the ledger of its programs. Reservations are appended on the
// condition that the partition ends at the offset up to which this instance has read it. If two instances decide at the
// same time, one of the appends fails with a conflict, and its instance reads the partition before it decides again.
type partition struct {
	store *Store
	id    partlog.Partition

	mu     sync.Mutex
	ledger *account.Ledger
	next   ids.Offset // offset of the next record to read
	loaded bool       // the partition was read to its end once
	readAt time.Time  // start of the last read that reached the end

	// What this instance needs of the partition.
	pools map[account.Key]*pool // the pools from which turns take tokens
	// elsewhere has the tokens that programs have spent and reserved at other instances, as the leader last said.
	elsewhere     map[account.Key]ids.Tokens
	settlements   []account.Record // settlements that are not being written yet
	sending       int              // batches that are being written
	sendScheduled bool             // a timer will send the settlements
	idleScheduled bool             // a timer will check for idle pools
	dropsRestored int              // drops of turns from memory that were made up for by a read from the beginning

	// The writer, which writes the batches of this instance, and those of others if this instance leads the partition.
	queue       []*submission
	queuedBytes int
	writing     bool      // the writer goroutine runs
	wroteAt     time.Time // when the last append was started

	readLock    lock            // held during a read
	reads       partlog.Backoff // of the reads under readLock
	restoreLock lock            // held while dropped turns are read again
	asked       *answer         // the read of nothing in progress
}

// isSending reports whether batches of this instance are not written yet.
func (p *partition) isSending() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sending > 0
}

// advance moves the read offset past records that this instance has appended. If other instances' records precede them,
// the offset stays and all of them are read later. The caller holds the lock.
func (p *partition) advance(first ids.Offset, count int) {
	if first == p.next {
		p.next = first + ids.Offset(count)
	}
}

// reread reads the partition after an append that failed or may have failed. Unless the append conflicted, it waits
// before the read.
func (p *partition) reread(ctx context.Context, failed error) error {
	var conflict *partlog.ConflictError
	if !errors.As(failed, &conflict) {
		if err := waitBeforeRetry(ctx, failed); err != nil {
			return err
		}
	}
	return p.readWithRetry(ctx, p.store.Now())
}

// load reads the partition to its end if that was not done yet.
func (p *partition) load(ctx context.Context) error {
	p.mu.Lock()
	loaded := p.loaded
	p.mu.Unlock()
	if loaded {
		return nil
	}
	return p.readWithRetry(pacedlog.WithKind(ctx, logpace.Reservation), time.Time{})
}

// readWithRetry reads the partition to its end and retries after errors. It does nothing if a read that began after
// notBefore has reached the end.
func (p *partition) readWithRetry(ctx context.Context, notBefore time.Time) error {
	for {
		err := p.read(ctx, notBefore)
		if err == nil {
			return nil
		}
		if err := waitBeforeRetry(ctx, err); err != nil {
			return err
		}
	}
}

// waitBeforeRetry waits before a retry. It returns the cause if the log is unavailable or the context ends.
func waitBeforeRetry(ctx context.Context, cause error) error {
	if errors.Is(cause, partlog.ErrUnavailable) {
		return cause
	}
	select {
	case <-time.After(retryDelay(cause)):
		return nil
	case <-ctx.Done():
		return cause
	}
}

// retryDelay returns the delay before a retry. Early retries to a log that throttles calls would be refused too and take
// the place of other calls, so these delays are longer and random.
func retryDelay(cause error) time.Duration {
	if errors.Is(cause, partlog.ErrThrottled) {
		return throttledDelay()
	}
	return retryPause
}

// throttledDelay returns the delay before a call is repeated that the log may have throttled.
func throttledDelay() time.Duration { return throttledPause + rand.N(throttledPause) }

// read reads the partition to its end. It does nothing if a read that began after notBefore has reached the end.
func (p *partition) read(ctx context.Context, notBefore time.Time) error {
	if err := p.readLock.acquire(ctx); err != nil {
		return err
	}
	defer p.readLock.release()
	for {
		p.mu.Lock()
		from, done := p.next, p.readAt.After(notBefore)
		p.mu.Unlock()
		if done {
			return nil
		}
		began := p.store.Now()
		page, err := partlog.ReadRetained(ctx, p.store.Log, p.id, from, p.reads.Next())
		p.reads.Record(err)
		if err != nil {
			return err
		}
		if p.applyPage(page) {
			p.mu.Lock()
			p.loaded, p.readAt = true, began
			p.mu.Unlock()
			return nil
		}
	}
}

// applyPage applies the records of a page and reports whether the page reaches the partition's end.
func (p *partition) applyPage(page partlog.Page) (ended bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, data := range page.Records {
		if err := p.applyRecord(data); err != nil {
			events.Log(p.store.Logger, events.EntrySkipped, zap.String("stream", p.id.Topic),
				zap.Int64("offset", int64(page.From)+int64(i)), zap.String("reason", err.Error()))
		}
	}
	p.next = max(p.next, page.Next())
	return page.Next() >= page.End
}

// restoreTurns returns the turns with the given ids and the turns before them, as far as they are in memory. It reads all
// retained turns of the partition again if one of the wanted is not in memory and some of them were dropped: one that was
// dropped may still be continued, for instance if the clocks of instances are far apart. It does not hold readLock, because
// the partition's writer needs that to go on after a conflict.
func (p *partition) restoreTurns(ctx context.Context, wanted []call.ID) (found []*Turn, err error) {
	for {
		p.mu.Lock()
		restored := p.dropsRestored
		p.mu.Unlock()
		found, all := p.store.turnsInMemory(wanted)
		// Turns may be dropped at any time, so a turn that is missing is not in the partition only if none were dropped between
		// the last reading and the lookup.
		if all || p.store.turns.dropsOf(p) == restored {
			return found, nil
		}
		if err := p.restoreOnce(ctx); err != nil {
			return nil, err
		}
	}
}

// restoreOnce reads all retained turns of the partition if turns were dropped since that was done last. The reading goes on
// when the context ends, so that those who ask again need not wait for all of it.
func (p *partition) restoreOnce(ctx context.Context) error {
	if err := p.restoreLock.acquire(ctx); err != nil {
		return err
	}
	drops := p.store.turns.dropsOf(p)
	p.mu.Lock()
	restored := p.dropsRestored
	p.mu.Unlock()
	if restored == drops {
		p.restoreLock.release()
		return nil
	}
	ended := make(chan error, 1)
	go func() {
		defer p.restoreLock.release()
		readCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), restoreTimeout)
		defer cancel()
		err := p.readTurns(readCtx)
		if err == nil {
			p.mu.Lock()
			p.dropsRestored = drops
			p.mu.Unlock()
		}
		ended <- err
	}()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
		return errors.Join(partlog.ErrNotApplied, context.Cause(ctx))
	}
}

// readTurns adds all retained turns of the partition to the memory. It changes nothing else.
func (p *partition) readTurns(ctx context.Context) error {
	reads := partlog.Backoff{Timeout: attemptTimeout, Pause: retryPause}
	for from := ids.Offset(0); ; {
		page, err := partlog.ReadRetained(ctx, p.store.Log, p.id, from, reads.Next())
		reads.Record(err)
		if err != nil {
			if err := waitBeforeRetry(ctx, err); err != nil {
				return err
			}
			continue
		}
		for _, data := range page.Records {
			if !isTurn(data) {
				continue
			}
			if t, err := decodeTurn(data); err == nil {
				p.store.turns.add(t, p)
			}
		}
		if from = page.Next(); from >= page.End {
			return nil
		}
	}
}

func (p *partition) applyRecord(data []byte) error {
	if isTurn(data) {
		t, err := decodeTurn(data)
		if err == nil {
			p.store.turns.add(t, p)
		}
		return err
	}
	r, err := decodeAccount(data)
	if err == nil {
		p.ledger.Apply(r)
	}
	return err
}
