// Package ledger reserves and settles the tokens of programs in the platform's log. A program's records are in one
// partition, and each append says where that partition ends, so that of two daemons that decide at the same time one is
// told to read first.
package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/pkg/account"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

const (
	// settleDelay is how long a settlement waits for a reservation to be written along with.
	settleDelay = 900 * time.Millisecond
	// ampleTurns is how many turns more a program's budget must hold for its turn to be sent before the reservation is
	// in the log.
	ampleTurns = 4
	// tryTimeout bounds one call to the log, after which the partition is read to see what became of it.
	tryTimeout = 600 * time.Millisecond
	// retryPause is the wait before a call that the log did not take is made again.
	retryPause = 40 * time.Millisecond
	// giveUpAfter bounds the time for a reservation. Callers are told to come back rather than kept waiting.
	giveUpAfter = 1200 * time.Millisecond
	// dropAfter is how long a program without records is remembered.
	dropAfter = 3 * time.Minute
)

// ErrSpent says that a program's budget does not hold another turn.
var ErrSpent = errors.New("the program's budget is spent")

// Config is what a ledger needs.
type Config struct {
	Log    partlog.Log
	Space  partlog.Space
	Now    func() time.Time
	Logger *zap.Logger
}

// Ledger keeps the accounts of the programs that come to this daemon. It is safe for concurrent use.
type Ledger struct {
	Config
	mu         sync.Mutex
	partitions map[partlog.Partition]*partition
}

// New returns a ledger.
func New(c Config) *Ledger {
	return &Ledger{Config: c, partitions: make(map[partlog.Partition]*partition)}
}

// Ask is a turn's request for tokens.
type Ask struct {
	Key    account.Key
	Turn   string
	Budget ids.Tokens
	Tokens ids.Tokens
}

// Reservation is a turn's claim on its program's budget.
type Reservation struct {
	ask       Ask
	partition *partition
	done      chan struct{}
	err       error // valid once done is closed
}

// Reserve asks for a turn's tokens. It returns before the reservation is in the log if the budget is ample; Wait tells
// when it is. The error is ErrSpent if the budget does not hold the turn.
func (l *Ledger) Reserve(ctx context.Context, a Ask) (r *Reservation, err error) {
	p := l.partition(l.Space.Of(string(a.Key.Workspace) + "/" + string(a.Key.Program)))
	r = &Reservation{ask: a, partition: p, done: make(chan struct{})}
	if p.enqueue(r) {
		return r, nil
	}
	return r, r.Wait(ctx)
}

// Wait returns when the reservation is in the log or has failed.
func (r *Reservation) Wait(ctx context.Context) error {
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Settle replaces the reservation by what the turn has spent.
func (r *Reservation) Settle(spent ids.Tokens) {
	r.partition.settle(account.Record{Key: r.ask.Key, Turn: r.ask.Turn, Tokens: spent, Settled: true})
}

func (l *Ledger) partition(id partlog.Partition) *partition {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.partitions[id]
	if p == nil {
		p = &partition{ledger: l, id: id, book: account.New()}
		l.partitions[id] = p
	}
	return p
}

// DropIdle forgets programs without records for some time. Call it every few seconds.
func (l *Ledger) DropIdle(now time.Time) {
	l.mu.Lock()
	all := make([]*partition, 0, len(l.partitions))
	for _, p := range l.partitions {
		all = append(all, p)
	}
	l.mu.Unlock()
	for _, p := range all {
		p.mu.Lock()
		p.book.DropIdle(now, dropAfter)
		p.mu.Unlock()
	}
}

// partition is one partition of the log with the accounts in it.
type partition struct {
	ledger *Ledger
	id     partlog.Partition

	mu      sync.Mutex
	book    *account.Book
	next    ids.Offset // offset of the next record to read
	loaded  bool       // the partition was read to its end once
	waiting []*Reservation
	settled []account.Record
	running bool // a goroutine writes
	timed   bool // a write of settlements is due
}

// enqueue adds a reservation and reports whether its turn may be sent at once.
func (p *partition) enqueue(r *Reservation) (ample bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pending := ids.Tokens(0)
	for _, o := range p.waiting {
		if o.ask.Key == r.ask.Key {
			pending += o.ask.Tokens
		}
	}
	ample = p.loaded && p.book.Allows(r.ask.Key, r.ask.Budget, pending+ampleTurns*r.ask.Tokens)
	p.waiting = append(p.waiting, r)
	p.start()
	return ample
}

func (p *partition) settle(r account.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.At = p.ledger.Now()
	p.book.Apply(r)
	p.settled = append(p.settled, r)
	if p.timed || p.running {
		return
	}
	p.timed = true
	time.AfterFunc(settleDelay, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.timed = false
		p.start()
	})
}

// start runs a writer unless one runs. The caller holds the lock.
func (p *partition) start() {
	if p.running {
		return
	}
	p.running = true
	go p.write()
}

// write appends what is waiting until nothing is.
func (p *partition) write() {
	for {
		p.mu.Lock()
		asks, settled := p.waiting, p.settled
		p.waiting, p.settled = nil, nil
		if len(asks) == 0 && len(settled) == 0 {
			p.running = false
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), giveUpAfter)
		err := p.commit(ctx, asks, settled)
		cancel()
		if err == nil {
			continue
		}
		events.Log(p.ledger.Logger, events.LedgerFailed, zap.String("stream", p.id.Topic), zap.Int("part", p.id.Part),
			zap.Int("records", len(asks)+len(settled)), zap.Error(err))
		if !p.abandon(asks, settled, err) {
			return
		}
	}
}

// abandon fails what could not be written and reports whether the writer goes on. Settlements are kept; they alone are
// written again after a pause.
func (p *partition) abandon(asks []*Reservation, settled []account.Record, err error) (goOn bool) {
	for _, r := range asks {
		r.finish(err)
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

func (r *Reservation) finish(err error) {
	select {
	case <-r.done:
	default:
		r.err = err
		close(r.done)
	}
}

// commit decides on the reservations and appends those that the budgets hold, with the settlements.
func (p *partition) commit(ctx context.Context, asks []*Reservation, settled []account.Record) (err error) {
	defer func() { err = oops.In("ledger").Wrapf(err, "commit") }()
	fresh := false
	for {
		if !p.loaded || !fresh && p.anySpent(asks) {
			if err := p.read(ctx); err != nil {
				if err := p.pause(ctx, err); err != nil {
					return err
				}
				continue
			}
			fresh = true
		}
		granted, records := p.decide(asks, settled)
		if len(records) == 0 {
			return nil
		}
		err := p.append(ctx, records)
		if err == nil {
			for _, r := range granted {
				r.finish(nil)
			}
			return nil
		}
		fresh = false
		if err := p.reread(ctx, err); err != nil {
			return err
		}
		asks, settled = p.unwritten(granted, settled)
		if len(asks) == 0 && len(settled) == 0 {
			return nil
		}
	}
}

// anySpent reports whether a budget seems spent, which only a read of the partition can confirm.
func (p *partition) anySpent(asks []*Reservation) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range asks {
		if !p.book.Allows(r.ask.Key, r.ask.Budget, r.ask.Tokens) {
			return true
		}
	}
	return false
}

// decide fails the reservations that the budgets do not hold and returns the others, with the records to append.
func (p *partition) decide(asks []*Reservation, settled []account.Record) (granted []*Reservation, records []account.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	records = append(records, settled...)
	pending := make(map[account.Key]ids.Tokens)
	now := p.ledger.Now()
	for _, r := range asks {
		a := r.ask
		if !p.book.Allows(a.Key, a.Budget, pending[a.Key]+a.Tokens) {
			r.finish(ErrSpent)
			continue
		}
		pending[a.Key] += a.Tokens
		granted = append(granted, r)
		records = append(records, account.Record{Key: a.Key, Turn: a.Turn, Tokens: a.Tokens, At: now})
	}
	return granted, records
}

func (p *partition) append(ctx context.Context, records []account.Record) error {
	encoded := make([][]byte, len(records))
	for i, r := range records {
		encoded[i] = encode(r)
	}
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	p.mu.Lock()
	at := p.next
	p.mu.Unlock()
	first, err := p.ledger.Log.Append(ctx, p.id, at, encoded...)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range records {
		p.book.Apply(r)
	}
	p.next = first + ids.Offset(len(records))
	return nil
}

// reread reads the partition after an append that failed or whose answer is missing.
func (p *partition) reread(ctx context.Context, failed error) error {
	var conflict *partlog.ConflictError
	if !errors.As(failed, &conflict) {
		if err := p.pause(ctx, failed); err != nil {
			return err
		}
	}
	for {
		err := p.read(ctx)
		if err == nil {
			return nil
		}
		if err := p.pause(ctx, err); err != nil {
			return err
		}
	}
}

// pause waits before another try, or returns the cause if there is no time for one.
func (p *partition) pause(ctx context.Context, cause error) error {
	if errors.Is(cause, partlog.ErrAway) {
		return cause
	}
	select {
	case <-time.After(retryPause):
		return nil
	case <-ctx.Done():
		return cause
	}
}

// unwritten finishes the reservations that the partition holds and returns the others, with all settlements: they may be
// written twice.
func (p *partition) unwritten(asks []*Reservation, settled []account.Record) ([]*Reservation, []account.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var left []*Reservation
	for _, r := range asks {
		if p.book.Has(r.ask.Key, r.ask.Turn) {
			r.finish(nil)
			continue
		}
		left = append(left, r)
	}
	return left, settled
}

// read reads the partition to its end.
func (p *partition) read(ctx context.Context) error {
	for {
		p.mu.Lock()
		from := p.next
		p.mu.Unlock()
		try, cancel := context.WithTimeout(ctx, tryTimeout)
		page, err := p.ledger.Log.Read(try, p.id, from, 0)
		cancel()
		var gone *partlog.GoneError
		if errors.As(err, &gone) {
			p.mu.Lock()
			p.next = gone.First
			p.mu.Unlock()
			continue
		}
		if err != nil {
			return err
		}
		p.mu.Lock()
		for i, data := range page.Records {
			r, err := decode(data)
			if err != nil {
				events.Log(p.ledger.Logger, events.EntrySkipped, zap.String("stream", p.id.Topic),
					zap.Int64("offset", int64(page.From)+int64(i)), zap.String("reason", err.Error()))
				continue
			}
			p.book.Apply(r)
		}
		p.next = page.Next()
		ended := page.Next() >= page.End
		p.loaded = p.loaded || ended
		p.mu.Unlock()
		if ended {
			return nil
		}
	}
}

// Flush writes the settlements that wait, until the context ends.
func (l *Ledger) Flush(ctx context.Context) {
	l.mu.Lock()
	all := make([]*partition, 0, len(l.partitions))
	for _, p := range l.partitions {
		all = append(all, p)
	}
	l.mu.Unlock()
	for _, p := range all {
		p.mu.Lock()
		p.start()
		p.mu.Unlock()
	}
	for _, p := range all {
		for p.busy() && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
	}
}

func (p *partition) busy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running
}
