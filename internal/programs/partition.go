package programs

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/pkg/account"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// partition is one partition of the programs' log, with the ledger of its programs. Reservations are appended on the
// condition that the partition ends at the offset up to which this instance has read it. If two instances decide at the
// same time, one of the appends fails with a conflict, and its instance reads the partition before it decides again.
type partition struct {
	store *Store
	id    partlog.Partition

	mu             sync.Mutex
	ledger         *account.Ledger
	pools          map[account.Key]*pool // the pools from which turns take tokens
	next           ids.Offset            // offset of the next record to read
	loaded         bool                  // the partition was read to its end once
	readAt         time.Time             // start of the last read that reached the end
	waiting        []*pool               // new pools whose reservations are not being written yet
	settlements    []account.Record      // settlements that are not being written yet
	writing        bool                  // the writer goroutine runs
	retryScheduled bool                  // a timer will restart the writer for settlements
	idleScheduled  bool                  // a timer will check for idle pools
	turnsDropped   bool                  // turns were dropped from memory since the last read from the beginning

	readLock sync.Mutex // held during a read
}

// startWriter starts the writer if there is something to write and it is not running. The caller holds the lock.
func (p *partition) startWriter() {
	if p.writing || len(p.waiting) == 0 && len(p.settlements) == 0 {
		return
	}
	p.writing = true
	go p.write()
}

func (p *partition) isWriting() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.writing
}

// write appends the waiting pools and settlements until there are none.
func (p *partition) write() {
	for {
		p.mu.Lock()
		pools, settlements := p.waiting, p.settlements
		p.waiting, p.settlements = nil, nil
		if len(pools) == 0 && len(settlements) == 0 {
			p.writing = false
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
		err := p.commit(ctx, pools, settlements)
		cancel()
		if err == nil {
			continue
		}
		events.Log(p.store.Logger, events.LedgerFailed, zap.String("stream", p.id.Topic), zap.Int("part", p.id.Part),
			zap.Int("records", len(pools)+len(settlements)), zap.Error(err))
		if !p.failWrite(pools, settlements, err) {
			return
		}
	}
}

// failWrite fails the pools that could not be written and reports whether the writer continues. Settlements are kept; if
// nothing else is waiting, they are retried after writeTimeout.
func (p *partition) failWrite(pools []*pool, settlements []account.Record, err error) (continues bool) {
	for _, pl := range pools {
		pl.finish(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settlements = append(settlements, p.settlements...)
	p.writing = len(p.waiting) > 0
	if p.writing {
		return true
	}
	if !p.retryScheduled {
		p.retryScheduled = true
		time.AfterFunc(writeTimeout, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.retryScheduled = false
			p.startWriter()
		})
	}
	return false
}

// commit appends the reservations of the pools that fit into their budgets, together with the settlements.
func (p *partition) commit(ctx context.Context, pools []*pool, settlements []account.Record) (err error) {
	defer func() { err = oops.In("programs").Wrapf(err, "commit") }()
	fresh := false
	for {
		if len(pools) > 0 && (!p.isLoaded() || !fresh && p.anySeemsSpent(pools)) {
			if err := p.readWithRetry(ctx, p.store.Now()); err != nil {
				return err
			}
			fresh = true
		}
		granted, records := p.decide(pools, settlements)
		if len(records) == 0 {
			return nil
		}
		err := p.append(ctx, len(granted) > 0, records)
		if err == nil {
			for _, pl := range granted {
				pl.finish(nil)
			}
			return nil
		}
		fresh = false
		if err := p.reread(ctx, err); err != nil {
			return err
		}
		if pools = p.completeWritten(granted); len(pools) == 0 && len(settlements) == 0 {
			return nil
		}
	}
}

func (p *partition) isLoaded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loaded
}

// anySeemsSpent reports whether a budget seems spent by what this instance has read. The partition must be read to
// confirm it.
func (p *partition) anySeemsSpent(pools []*pool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pl := range pools {
		if !p.ledger.Allows(pl.key, pl.budget, pl.tokens) {
			return true
		}
	}
	return false
}

// decide fails the pools that exceed their budgets and returns the others with the records to append. A pool of which
// only the first turn fits is reduced to that turn.
func (p *partition) decide(pools []*pool, settlements []account.Record) (granted []*pool, records []account.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	records = append(records, settlements...)
	pending := make(map[account.Key]ids.Tokens)
	now := p.store.Now()
	for _, pl := range pools {
		if !p.ledger.Allows(pl.key, pl.budget, pending[pl.key]+pl.tokens) {
			// A pool that further turns have already joined cannot be reduced.
			if pl.turns > 1 || !p.ledger.Allows(pl.key, pl.budget, pending[pl.key]+pl.firstTurnTokens) {
				pl.finish(ErrBudgetExceeded)
				continue
			}
			pl.tokens = pl.firstTurnTokens
		}
		pending[pl.key] += pl.tokens
		granted = append(granted, pl)
		records = append(records, account.Record{Key: pl.key, Turn: pl.id, Tokens: pl.tokens, At: now})
	}
	return granted, records
}

// append appends records and applies them to the ledger. Reservations need a conditional append, settlements alone do not.
func (p *partition) append(ctx context.Context, conditional bool, records []account.Record) error {
	encoded := make([][]byte, len(records))
	for i, r := range records {
		encoded[i] = encodeAccount(r)
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	at := partlog.AnyOffset
	p.mu.Lock()
	if conditional {
		at = p.next
	}
	p.mu.Unlock()
	first, err := p.store.Log.Append(ctx, p.id, at, encoded...)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range records {
		p.ledger.Apply(r)
	}
	p.advance(first, len(records))
	return nil
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
		return throttledPause + rand.N(throttledPause)
	}
	return retryPause
}

// completeWritten returns the pools whose reservations are not in the partition and completes the others.
func (p *partition) completeWritten(pools []*pool) (missing []*pool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pl := range pools {
		if p.ledger.Has(pl.key, pl.id) {
			pl.finish(nil)
			continue
		}
		missing = append(missing, pl)
	}
	return missing
}

// read reads the partition to its end. It does nothing if a read that began after notBefore has reached the end.
func (p *partition) read(ctx context.Context, notBefore time.Time) error {
	p.readLock.Lock()
	defer p.readLock.Unlock()
	for {
		p.mu.Lock()
		from, done := p.next, p.readAt.After(notBefore)
		p.mu.Unlock()
		if done {
			return nil
		}
		began := p.store.Now()
		page, err := partlog.ReadRetained(ctx, p.store.Log, p.id, from, attemptTimeout)
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

// restoreTurns reads all retained turns of the partition again if some of them were dropped from memory: one that was
// dropped may still be continued, for instance if the clocks of instances are far apart.
func (p *partition) restoreTurns(ctx context.Context) error {
	p.readLock.Lock()
	defer p.readLock.Unlock()
	p.mu.Lock()
	needed := p.turnsDropped
	p.turnsDropped = false
	p.mu.Unlock()
	if !needed {
		return nil
	}
	if err := p.readTurns(ctx); err != nil {
		p.mu.Lock()
		p.turnsDropped = true
		p.mu.Unlock()
		return err
	}
	return nil
}

// readTurns adds all retained turns of the partition to the memory. It changes nothing else.
func (p *partition) readTurns(ctx context.Context) error {
	for from := ids.Offset(0); ; {
		page, err := partlog.ReadRetained(ctx, p.store.Log, p.id, from, attemptTimeout)
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
