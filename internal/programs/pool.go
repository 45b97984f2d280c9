package programs

import (
	"context"
	"errors"
	"time"

	"github.com/comfreylink/comfreylink/pkg/account"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

const (
	// ampleTurns is how many turns more a program's budget must hold for its turn to be sent before the reservation is in
	// the log, and for more than one turn to be reserved at once.
	ampleTurns = 3
	// poolTurns is how many turns at their longest are reserved at once. Most turns are far shorter, so that a pool lasts
	// for several.
	poolTurns = 2
	// poolIdle is how long a pool waits for its program's next turn before the rest of it is given back.
	poolIdle = 900 * time.Millisecond
)

// ErrSpent says that a program's budget does not hold another turn.
var ErrSpent = errors.New("the program's budget is spent")

// Ask is a turn's request for tokens.
type Ask struct {
	Key    account.Key
	Turn   string
	Budget ids.Tokens
	// Tokens are the most that the turn may generate.
	Tokens ids.Tokens
}

// pool are tokens of a program that this daemon has reserved. It is guarded by its partition's lock.
type pool struct {
	key    account.Key
	id     string // the turn that it was reserved for
	budget ids.Tokens
	least  ids.Tokens // what that turn needs
	tokens ids.Tokens
	// spent is what turns that have ended generated, running what those under way may.
	spent, running ids.Tokens
	turns          int // under way
	lastUse        time.Time
	done           chan struct{}
	err            error // valid once done is closed
}

func (p *pool) free() ids.Tokens { return p.tokens - p.spent - p.running }

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

// Reservation is a turn's claim on its program's budget.
type Reservation struct {
	partition *partition
	pool      *pool
	tokens    ids.Tokens
}

// Reserve asks for a turn's tokens. It returns before the reservation is in the log if the budget is ample; Wait tells
// when it is. The error is ErrSpent if the budget does not hold the turn.
func (s *Store) Reserve(ctx context.Context, a Ask) (r *Reservation, err error) {
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

// Wait returns when the reservation is in the log or has failed.
func (r *Reservation) Wait(ctx context.Context) error {
	select {
	case <-r.pool.done:
		return r.pool.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Settle ends the turn, which has spent so many tokens.
func (r *Reservation) Settle(spent ids.Tokens) {
	r.partition.mu.Lock()
	defer r.partition.mu.Unlock()
	r.pool.running -= r.tokens
	r.pool.spent += spent
	r.pool.turns--
	r.pool.lastUse = r.partition.store.Now()
	if r.partition.pools[r.pool.key] != r.pool && r.pool.turns == 0 {
		r.partition.settle(r.pool)
		return
	}
	r.partition.scheduleIdle()
}

// reserve takes a turn's tokens from the program's pool, or asks for a new pool. It reports whether the turn may be sent
// before the pool is in the log.
func (p *partition) reserve(a Ask) (l *pool, ample bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.store.Now()
	l = p.pools[a.Key]
	ample = p.loaded && p.book.Allows(a.Key, a.Budget, p.pending(a.Key)+ampleTurns*a.Tokens)
	if l == nil || l.failed() || l.free() < a.Tokens {
		if l != nil && l.turns == 0 {
			p.settle(l)
		}
		l = &pool{key: a.Key, id: a.Turn, budget: a.Budget, least: a.Tokens, tokens: a.Tokens, done: make(chan struct{})}
		if ample {
			l.tokens *= poolTurns
		}
		p.pools[a.Key] = l
		p.waiting = append(p.waiting, l)
		p.start()
	} else {
		// The pool was sent ahead of the log only if the budget was ample then.
		ample = true
	}
	l.running += a.Tokens
	l.turns++
	l.lastUse = now
	return l, ample
}

// pending returns what pools that are not in the log yet take of a budget.
func (p *partition) pending(k account.Key) (tokens ids.Tokens) {
	for _, l := range p.waiting {
		if l.key == k {
			tokens += l.tokens
		}
	}
	return tokens
}

// settle gives back the rest of a pool. The caller holds the lock.
func (p *partition) settle(l *pool) {
	if p.pools[l.key] == l {
		delete(p.pools, l.key)
	}
	if l.failed() {
		return
	}
	r := account.Record{Key: l.key, Turn: l.id, Tokens: l.spent, Settled: true, At: p.store.Now()}
	p.book.Apply(r)
	p.settled = append(p.settled, r)
	p.start()
}

// settleIdle gives back the pools without turns. The caller holds the lock.
func (p *partition) settleIdle() {
	for _, l := range p.pools {
		if l.turns == 0 {
			p.settle(l)
		}
	}
}

// scheduleIdle looks for idle pools later. The caller holds the lock.
func (p *partition) scheduleIdle() {
	if p.idleTimer {
		return
	}
	p.idleTimer = true
	time.AfterFunc(poolIdle, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.idleTimer = false
		now := p.store.Now()
		for _, l := range p.pools {
			switch {
			case l.turns > 0:
			case now.Sub(l.lastUse) >= poolIdle-idleSlack:
				p.settle(l)
			default:
				p.scheduleIdle()
			}
		}
	})
}

// idleSlack keeps a pool that was used just after the timer started from waiting for a second round.
const idleSlack = 200 * time.Millisecond
