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

// partition is one partition of programs with the accounts in it. Reservations are appended on the condition that the
// partition ends where this daemon has read it to, so that of two daemons that decide at the same time one is told to
// read first.
type partition struct {
	store *Store
	id    partlog.Partition

	mu        sync.Mutex
	book      *account.Ledger
	pools     map[account.Key]*pool // the pools that turns take from
	next      ids.Offset            // offset of the next record to read
	loaded    bool                  // the partition was read to its end once
	readAt    time.Time             // start of the last read that reached the end
	waiting   []*pool
	settled   []account.Record
	running   bool // a goroutine writes
	timed     bool // a write of settlements is due
	idleTimer bool

	reading sync.Mutex // held during a read
}

// start runs a writer unless one runs. The caller holds the lock.
func (p *partition) start() {
	if p.running || len(p.waiting) == 0 && len(p.settled) == 0 {
		return
	}
	p.running = true
	go p.write()
}

func (p *partition) busy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running
}

// write appends what is waiting until nothing is.
func (p *partition) write() {
	for {
		p.mu.Lock()
		pools, settled := p.waiting, p.settled
		p.waiting, p.settled = nil, nil
		if len(pools) == 0 && len(settled) == 0 {
			p.running = false
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), giveUpAfter)
		err := p.commit(ctx, pools, settled)
		cancel()
		if err == nil {
			continue
		}
		events.Log(p.store.Logger, events.LedgerFailed, zap.String("stream", p.id.Topic), zap.Int("part", p.id.Part),
			zap.Int("records", len(pools)+len(settled)), zap.Error(err))
		if !p.abandon(pools, settled, err) {
			return
		}
	}
}

// abandon fails what could not be written and reports whether the writer goes on. Settlements are kept; they alone are
// written again after a pause.
func (p *partition) abandon(pools []*pool, settled []account.Record, err error) (goOn bool) {
	for _, l := range pools {
		l.finish(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settled = append(settled, p.settled...)
	p.running = len(p.waiting) > 0
	if p.running {
		return true
	}
	if !p.timed {
		p.timed = true
		time.AfterFunc(giveUpAfter, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.timed = false
			p.start()
		})
	}
	return false
}

// commit decides on the pools and appends those that the budgets hold, with the settlements.
func (p *partition) commit(ctx context.Context, pools []*pool, settled []account.Record) (err error) {
	defer func() { err = oops.In("programs").Wrapf(err, "commit") }()
	fresh := false
	for {
		if len(pools) > 0 && (!p.isLoaded() || !fresh && p.anySpent(pools)) {
			if err := p.readUntilDone(ctx, p.store.Now()); err != nil {
				return err
			}
			fresh = true
		}
		granted, records := p.decide(pools, settled)
		if len(records) == 0 {
			return nil
		}
		err := p.append(ctx, len(granted) > 0, records)
		if err == nil {
			for _, l := range granted {
				l.finish(nil)
			}
			return nil
		}
		fresh = false
		if err := p.reread(ctx, err); err != nil {
			return err
		}
		if pools = p.unwritten(granted); len(pools) == 0 && len(settled) == 0 {
			return nil
		}
	}
}

func (p *partition) isLoaded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loaded
}

// anySpent reports whether a budget seems spent, which only a read of the partition can confirm.
func (p *partition) anySpent(pools []*pool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range pools {
		if !p.book.Allows(l.key, l.budget, l.tokens) {
			return true
		}
	}
	return false
}

// decide fails the pools that the budgets do not hold and returns the others, with the records to append.
func (p *partition) decide(pools []*pool, settled []account.Record) (granted []*pool, records []account.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	records = append(records, settled...)
	pending := make(map[account.Key]ids.Tokens)
	now := p.store.Now()
	for _, l := range pools {
		if !p.book.Allows(l.key, l.budget, pending[l.key]+l.tokens) {
			// Turns that were taken into the pool beside its first one need all of it.
			if l.turns > 1 || !p.book.Allows(l.key, l.budget, pending[l.key]+l.least) {
				l.finish(ErrSpent)
				continue
			}
			l.tokens = l.least
		}
		pending[l.key] += l.tokens
		granted = append(granted, l)
		records = append(records, account.Record{Key: l.key, Turn: l.id, Tokens: l.tokens, At: now})
	}
	return granted, records
}

// append writes records. Settlements alone need no condition.
func (p *partition) append(ctx context.Context, conditional bool, records []account.Record) error {
	encoded := make([][]byte, len(records))
	for i, r := range records {
		encoded[i] = encodeAccount(r)
	}
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
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
		p.book.Apply(r)
	}
	p.advance(first, len(records))
	return nil
}

// advance notes own records in the log; where others were written before them, they are read later. The caller holds the
// lock.
func (p *partition) advance(first ids.Offset, count int) {
	if first == p.next {
		p.next = first + ids.Offset(count)
	}
}

// reread reads the partition after an append that failed or whose answer is missing.
func (p *partition) reread(ctx context.Context, failed error) error {
	var conflict *partlog.ConflictError
	if !errors.As(failed, &conflict) {
		if err := pause(ctx, failed); err != nil {
			return err
		}
	}
	return p.readUntilDone(ctx, p.store.Now())
}

// readUntilDone reads the partition to its end, unless that was done since asked, and tries again after errors.
func (p *partition) readUntilDone(ctx context.Context, asked time.Time) error {
	for {
		err := p.read(ctx, asked)
		if err == nil {
			return nil
		}
		if err := pause(ctx, err); err != nil {
			return err
		}
	}
}

// pause waits before another try, or returns the cause if there is no time for one or it is of no use.
func pause(ctx context.Context, cause error) error {
	if errors.Is(cause, partlog.ErrUnavailable) {
		return cause
	}
	select {
	case <-time.After(pauseAfter(cause)):
		return nil
	case <-ctx.Done():
		return cause
	}
}

// pauseAfter returns the wait before another try. Where the log refuses calls as too many, tries that follow soon would
// be refused as well and keep others out; they are spread.
func pauseAfter(cause error) time.Duration {
	if errors.Is(cause, partlog.ErrThrottled) {
		return busyPause + rand.N(busyPause)
	}
	return retryPause
}

// unwritten finishes the pools that the partition holds and returns the others.
func (p *partition) unwritten(pools []*pool) (left []*pool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range pools {
		if p.book.Has(l.key, l.id) {
			l.finish(nil)
			continue
		}
		left = append(left, l)
	}
	return left
}

// read reads the partition to its end, unless that was done since asked.
func (p *partition) read(ctx context.Context, asked time.Time) error {
	p.reading.Lock()
	defer p.reading.Unlock()
	for {
		p.mu.Lock()
		from, done := p.next, p.readAt.After(asked)
		p.mu.Unlock()
		if done {
			return nil
		}
		began := p.store.Now()
		page, err := partlog.ReadRetained(ctx, p.store.Log, p.id, from, tryTimeout)
		if err != nil {
			return err
		}
		if p.take(page) {
			p.mu.Lock()
			p.loaded, p.readAt = true, began
			p.mu.Unlock()
			return nil
		}
	}
}

// take takes over a page and reports whether it reaches the partition's end.
func (p *partition) take(page partlog.Page) (ended bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, data := range page.Records {
		if err := p.takeRecord(data); err != nil {
			events.Log(p.store.Logger, events.EntrySkipped, zap.String("stream", p.id.Topic),
				zap.Int64("offset", int64(page.From)+int64(i)), zap.String("reason", err.Error()))
		}
	}
	p.next = max(p.next, page.Next())
	return page.Next() >= page.End
}

func (p *partition) takeRecord(data []byte) error {
	if isTurn(data) {
		t, err := decodeTurn(data)
		if err == nil {
			p.store.remember(t)
		}
		return err
	}
	r, err := decodeAccount(data)
	if err == nil {
		p.book.Apply(r)
	}
	return err
}
