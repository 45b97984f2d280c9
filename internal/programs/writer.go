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
	"github.com/comfreylink/comfreylink/pkg/account"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/logpace"
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

// reservation asks for tokens of a program's budget.
type reservation struct {
	key    account.Key
	turn   string // names the reservation in the log
	budget ids.Tokens
	// tokens is how much is asked for, least how much is enough if the budget has no more.
	tokens, least ids.Tokens
}

// batch is a set of records that are written together.
type batch struct {
	reservations []reservation
	settlements  []account.Record
	turns        [][]byte // encoded turns
}

// accountRecordBytes is more than the size of a reservation or a settlement in the log without the names in it.
const accountRecordBytes = 160

// accountSize returns about the size of a reservation or a settlement in the log.
func accountSize(k account.Key, turn string) int {
	return accountRecordBytes + len(k.Workspace) + len(k.Program) + len(turn)
}

// size returns about the size of the batch's records in the log.
func (b batch) size() (bytes int) {
	for _, r := range b.reservations {
		bytes += accountSize(r.key, r.turn)
	}
	for _, r := range b.settlements {
		bytes += accountSize(r.Key, r.Turn)
	}
	for _, t := range b.turns {
		bytes += len(t)
	}
	return bytes
}

func (b batch) empty() bool {
	return len(b.reservations) == 0 && len(b.settlements) == 0 && len(b.turns) == 0
}

// submission is a batch that waits for a partition's writer. The other fields are set before done is closed.
type submission struct {
	batch
	at      time.Time       // when it was submitted
	ctx     context.Context // ends when nobody waits for the result
	done    chan struct{}
	granted []grant // of each reservation
	err     error
}

// grant is the result of a reservation.
type grant struct {
	// Tokens is 0 if the reservation exceeds the budget.
	Tokens ids.Tokens `json:"tokens"`
	// Committed is what the program has spent and reserved, this reservation included.
	Committed ids.Tokens `json:"committed"`
}

// submit hands a batch to the partition's writer and blocks until it is written or has failed, or the context ends.
func (p *partition) submit(ctx context.Context, b batch) (granted []grant, err error) {
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
		ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
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
	defer func() { err = oops.In("programs").Wrapf(err, "commit") }()
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

// kindOf returns the kind of an append with the batches, which is that of the most urgent one.
func kindOf(batches []*submission) logpace.Kind {
	kind := logpace.Background
	for _, s := range batches {
		switch {
		case len(s.turns) > 0:
			return logpace.TurnEnd
		case len(s.reservations) > 0:
			kind = logpace.Reservation
		}
	}
	return kind
}

// needsRead reports whether reservations cannot be decided by what this instance has read: it has read nothing yet, or a
// budget seems spent, which only a read can confirm.
func (p *partition) needsRead(batches []*submission) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	settled := p.settledTokens(batches)
	for _, s := range batches {
		for _, r := range s.reservations {
			if !p.loaded || !p.ledger.Allows(r.key, r.budget, settled[r.key]+r.tokens) {
				return true
			}
		}
	}
	return false
}

// decision is what one append writes.
type decision struct {
	records     []account.Record
	encoded     [][]byte
	turns       [][]byte
	conditional bool // whether the append must fail if others have appended meanwhile
}

// settledTokens returns by how much the settlements of the batches change what programs have spent and reserved. They are
// appended together with the reservations, so these may use what they return. The caller holds the lock.
func (p *partition) settledTokens(batches []*submission) map[account.Key]ids.Tokens {
	type turn struct {
		key account.Key
		id  string
	}
	change := make(map[account.Key]ids.Tokens)
	seen := make(map[turn]bool)
	for _, s := range batches {
		for _, r := range s.settlements {
			if seen[turn{r.Key, r.Turn}] {
				continue
			}
			seen[turn{r.Key, r.Turn}] = true
			change[r.Key] += p.ledger.Change(r)
		}
	}
	return change
}

// decide grants the reservations that fit into their budgets, at least in part, and returns the records to append. A
// reservation that is in the log already is granted as it is there.
func (p *partition) decide(batches []*submission) (d decision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.store.Now()
	pending := p.settledTokens(batches)
	renewed := make(map[account.Key]bool)
	add := func(r account.Record) {
		d.records = append(d.records, r)
		d.encoded = append(d.encoded, encodeAccount(r))
	}
	// Settlements come before the reservations that use what they return.
	for _, s := range batches {
		for _, r := range s.settlements {
			add(r)
		}
	}
	for _, s := range batches {
		s.granted = make([]grant, len(s.reservations))
		for i, r := range s.reservations {
			if tokens, ok := p.ledger.Has(r.key, r.turn); ok {
				s.granted[i] = grant{tokens, p.ledger.Committed(r.key)}
				continue
			}
			if !renewed[r.key] {
				renewed[r.key] = true
				for _, old := range p.renewals(r.key, now) {
					add(old)
				}
			}
			granted := r.tokens
			if !p.ledger.Allows(r.key, r.budget, pending[r.key]+granted) {
				granted = r.least
			}
			if !p.ledger.Allows(r.key, r.budget, pending[r.key]+granted) {
				continue
			}
			pending[r.key] += granted
			s.granted[i] = grant{granted, p.ledger.Committed(r.key) + pending[r.key]}
			d.conditional = true
			add(account.Record{Key: r.key, Turn: r.turn, Tokens: granted, At: now})
		}
		for _, t := range s.turns {
			d.turns = append(d.turns, t)
			d.encoded = append(d.encoded, t)
		}
	}
	return d
}

// renewals returns the records of a program that the log would delete while the program may go on. The caller holds the
// lock.
func (p *partition) renewals(k account.Key, now time.Time) []account.Record {
	if p.store.LogRetention == 0 {
		return nil
	}
	return p.ledger.Renew(k, now.Add(-p.store.LogRetention/renewFraction), now)
}

// append appends the records of a decision and applies them. Reservations need a conditional append, the others do not.
func (p *partition) append(ctx context.Context, d decision) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
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
