// Package account keeps how many tokens programs have spent and reserved. It is a fold of records: whoever applies the
// same records in the same order has the same books, whichever instance wrote them.
package account

import (
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Key names a program across workspaces.
type Key struct {
	Workspace ids.WorkspaceID
	Program   ids.ProgramID
}

// Record reserves tokens for a turn or settles what it spent. A turn's settlement ends its reservation.
type Record struct {
	Key    Key
	Turn   string
	Tokens ids.Tokens
	// Settled tells a settlement from a reservation.
	Settled bool
	At      time.Time
}

type turn struct {
	tokens  ids.Tokens
	settled bool
}

type program struct {
	turns    map[string]turn
	spent    ids.Tokens
	reserved ids.Tokens
	last     time.Time
}

// Ledger holds the accounts of programs. It is not safe for concurrent use.
type Ledger struct {
	programs map[Key]*program
}

// New returns an empty book.
func New() *Ledger { return &Ledger{programs: make(map[Key]*program)} }

// Apply takes over a record. A turn that is settled is not reserved again, and a repeated record changes nothing.
func (b *Ledger) Apply(r Record) {
	p := b.programs[r.Key]
	if p == nil {
		p = &program{turns: make(map[string]turn)}
		b.programs[r.Key] = p
	}
	if r.At.After(p.last) {
		p.last = r.At
	}
	old, known := p.turns[r.Turn]
	if known && (old.settled || !r.Settled) {
		return
	}
	if known {
		p.reserved -= old.tokens
	}
	if r.Settled {
		p.spent += r.Tokens
	} else {
		p.reserved += r.Tokens
	}
	p.turns[r.Turn] = turn{tokens: r.Tokens, settled: r.Settled}
}

// Has reports whether the book holds a record of a turn.
func (b *Ledger) Has(k Key, turn string) bool {
	p := b.programs[k]
	if p == nil {
		return false
	}
	_, ok := p.turns[turn]
	return ok
}

// Committed returns the tokens that a program has spent and reserved.
func (b *Ledger) Committed(k Key) ids.Tokens {
	p := b.programs[k]
	if p == nil {
		return 0
	}
	return p.spent + p.reserved
}

// Allows reports whether a program may reserve so many tokens more within its budget.
func (b *Ledger) Allows(k Key, budget, tokens ids.Tokens) bool {
	return b.Committed(k)+tokens <= budget
}

// DropIdle forgets programs without records for a time.
func (b *Ledger) DropIdle(now time.Time, idle time.Duration) {
	for k, p := range b.programs {
		if now.Sub(p.last) > idle {
			delete(b.programs, k)
		}
	}
}
