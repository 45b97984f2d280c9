package programs

import (
	"context"
	"errors"
	"time"

	"github.com/comfreylink/comfreylink/pkg/account"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

const (
	// ampleTurns is the number of turns of maximum length that must fit into the rest of a program's budget for the budget
	// to count as ample. Then a turn is sent before its reservation is in the log, and a pool is reserved for poolTurns.
	ampleTurns = 3
	// poolTurns is the number of turns of maximum length that are reserved at once. Most turns are far shorter, so a pool
	// is enough for several.
	poolTurns = 2
	// poolIdle is how long an unused pool is kept for the program's next turn before its unspent tokens are returned to the
	// budget.
	poolIdle = 900 * time.Millisecond
)

// ErrBudgetExceeded is the error of a reservation that exceeds the program's budget.
var ErrBudgetExceeded = errors.New("the program's budget is spent")

// ReserveRequest is a request to reserve tokens for a turn.
type ReserveRequest struct {
	Key    account.Key
	Turn   string
	Budget ids.Tokens
	// Tokens is the maximum that the turn may generate.
	Tokens ids.Tokens
	// Deadline is when the turn's caller gives up; zero if that is not known. Until then the reservation is worth writing.
	Deadline time.Time
}

// pool holds tokens that this instance has reserved for one or more turns of a program. It is guarded by its partition's
// lock.
type pool struct {
	key             account.Key
	id              string // the turn for which the pool was reserved; names its records in the log
	budget          ids.Tokens
	firstTurnTokens ids.Tokens // the maximum of that turn alone
	tokens          ids.Tokens // the size of the pool
	// spent is what ended turns generated, reserved the maximum that running turns may generate.
	spent, reserved ids.Tokens
	turns           int // running turns
	lastUse         time.Time
	done            chan struct{}
	err             error // set before done is closed
}

func (p *pool) free() ids.Tokens { return p.tokens - p.spent - p.reserved }

func (p *pool) failed() bool {
	select {
	case <-p.done:
		return p.err != nil
	default:
		return false
	}
}

func (p *pool) finish(err error) {
	select {
	case <-p.done:
	default:
		p.err = err
		close(p.done)
	}
}

// Reservation holds the tokens that a turn has taken from its program's pool.
type Reservation struct {
	partition *partition
	pool      *pool
	tokens    ids.Tokens
}

// Reserve reserves a turn's tokens. If the budget is ample, it returns before the reservation is in the log; Wait blocks
// until it is. The error is ErrBudgetExceeded if the turn exceeds the budget.
func (s *Store) Reserve(ctx context.Context, a ReserveRequest) (r *Reservation, err error) {
	p := s.partition(a.Key)
	pool, ample := p.reserve(a)
	r = &Reservation{partition: p, pool: pool, tokens: a.Tokens}
	if ample {
		return r, nil
	}
	if err := r.Wait(ctx); err != nil {
		r.Settle(0)
		return nil, err
	}
	return r, nil
}

// Wait blocks until the reservation is in the log or has failed, or the context ends.
func (r *Reservation) Wait(ctx context.Context) error {
	select {
	case <-r.pool.done:
		return r.pool.err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Settle ends the turn and records the tokens that it has spent.
func (r *Reservation) Settle(spent ids.Tokens) {
	r.partition.mu.Lock()
	defer r.partition.mu.Unlock()
	r.pool.reserved -= r.tokens
	r.pool.spent += spent
	r.pool.turns--
	r.pool.lastUse = r.partition.store.Now()
	if r.partition.pools[r.pool.key] != r.pool && r.pool.turns == 0 {
		r.partition.settle(r.pool)
		return
	}
	r.partition.scheduleIdleCheck()
}

// reserve takes a turn's tokens from the program's pool, or from a new pool if there is none with enough free tokens. It
// reports whether the turn may be sent before the pool's reservation is in the log.
func (p *partition) reserve(a ReserveRequest) (pl *pool, ample bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.store.Now()
	pl = p.pools[a.Key]
	if pl == nil || pl.failed() || pl.free() < a.Tokens {
		if pl != nil && pl.turns == 0 {
			p.settle(pl)
		}
		elsewhere, known := p.elsewhere[a.Key]
		ample = (known || p.loaded) && p.ledger.Allows(a.Key, a.Budget, elsewhere+p.unconfirmed(a.Key)+ampleTurns*a.Tokens)
		pl = &pool{key: a.Key, id: a.Turn, budget: a.Budget, firstTurnTokens: a.Tokens, tokens: a.Tokens, done: make(chan struct{})}
		if ample {
			pl.tokens *= poolTurns
		}
		p.pools[a.Key] = pl
		p.sendPool(pl, a.Deadline)
	} else {
		// A pool with free tokens is in the log already, or its first turn was sent without waiting for that because the
		// budget was ample. The same holds for this turn.
		ample = true
	}
	pl.reserved += a.Tokens
	pl.turns++
	pl.lastUse = now
	return pl, ample
}

// unconfirmed returns the tokens of a program's pool if its reservation is not in the log yet.
func (p *partition) unconfirmed(k account.Key) ids.Tokens {
	pl := p.pools[k]
	if pl == nil {
		return 0
	}
	select {
	case <-pl.done:
		return 0
	default:
		return pl.tokens
	}
}

// settle returns the unspent tokens of a pool to its program's budget. The caller holds the lock.
func (p *partition) settle(pl *pool) {
	if p.pools[pl.key] == pl {
		delete(p.pools, pl.key)
	}
	if pl.failed() {
		return
	}
	r := account.Record{Key: pl.key, Turn: pl.id, Tokens: pl.spent, Settled: true, At: p.store.Now()}
	p.ledger.Apply(r)
	p.settlements = append(p.settlements, r)
	p.scheduleSend()
}

// settleIdle settles the pools without running turns. The caller holds the lock.
func (p *partition) settleIdle() {
	for _, pl := range p.pools {
		if pl.turns == 0 {
			p.settle(pl)
		}
	}
}

// scheduleIdleCheck sets a timer that settles the pools that are idle then. The caller holds the lock.
func (p *partition) scheduleIdleCheck() {
	if p.idleScheduled {
		return
	}
	p.idleScheduled = true
	time.AfterFunc(poolIdle, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.idleScheduled = false
		for _, pl := range p.pools {
			switch {
			case pl.turns > 0:
			case p.store.Now().Sub(pl.lastUse) >= poolIdle-idleSlack:
				p.settle(pl)
			default:
				p.scheduleIdleCheck()
			}
		}
	})
}

// idleSlack shortens poolIdle for pools that were used soon after the timer was set, so that they don't wait for a second
// timer.
const idleSlack = 200 * time.Millisecond
