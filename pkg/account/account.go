// Package account counts the tokens that programs have spent and reserved. Its Ledger is a fold of records: the same records
// in the same order give the same ledger, whichever instance wrote them.
package account

import (
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Key identifies a program across all workspaces.
type Key struct {
	Workspace ids.WorkspaceID
	Program   ids.ProgramID
}

// Record reserves tokens for a turn, or settles the turn with the tokens that it spent, which ends its reservation.
type Record struct {
	Key    Key
	Turn   string
	Tokens ids.Tokens
	// Settled is true for a settlement and false for a reservation.
	Settled bool
	At      time.Time
}

type turn struct {
	tokens  ids.Tokens // spent if settled, else reserved
	settled bool
	at      time.Time // of the newest record
}

type program struct {
	turns      map[string]turn
	spent      ids.Tokens
	reserved   ids.Tokens
	lastRecord time.Time
}

// Ledger holds the spent and reserved tokens of programs. It is not safe for concurrent use.
type Ledger struct {
	programs map[Key]*program
}

// New returns an empty ledger.
func New() *Ledger { return &Ledger{programs: make(map[Key]*program)} }

// Apply adds a record to the ledger. A reservation of a settled turn is ignored, and a repeated record does not change the
// counts.
func (l *Ledger) Apply(r Record) {
	p := l.programs[r.Key]
	if p == nil {
		p = &program{turns: make(map[string]turn)}
		l.programs[r.Key] = p
	}
	if r.At.After(p.lastRecord) {
		p.lastRecord = r.At
	}
	old, known := p.turns[r.Turn]
	if known && (old.settled || !r.Settled) {
		if r.At.After(old.at) && old.settled == r.Settled {
			old.at = r.At
			p.turns[r.Turn] = old
		}
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
	p.turns[r.Turn] = turn{tokens: r.Tokens, settled: r.Settled, at: r.At}
}

// Change returns by how much a record would change the sum of the tokens that its program has spent and reserved.
func (l *Ledger) Change(r Record) ids.Tokens {
	p := l.programs[r.Key]
	if p == nil {
		return r.Tokens
	}
	old, known := p.turns[r.Turn]
	if known && (old.settled || !r.Settled) {
		return 0
	}
	return r.Tokens - old.tokens
}

// Has reports whether the ledger has a record of a turn, and the tokens that the turn has reserved or spent.
func (l *Ledger) Has(k Key, turn string) (tokens ids.Tokens, ok bool) {
	p := l.programs[k]
	if p == nil {
		return 0, false
	}
	t, ok := p.turns[turn]
	return t.tokens, ok
}

// Renew returns the records of a program that were last written before a time, to be written again at now. A log that
// deletes old records would otherwise give a long program its budget anew.
func (l *Ledger) Renew(k Key, before, now time.Time) (records []Record) {
	p := l.programs[k]
	if p == nil {
		return nil
	}
	for id, t := range p.turns {
		if t.at.Before(before) {
			records = append(records, Record{Key: k, Turn: id, Tokens: t.tokens, Settled: t.settled, At: now})
		}
	}
	return records
}

// Committed returns the sum of the tokens that a program has spent and reserved.
func (l *Ledger) Committed(k Key) ids.Tokens {
	p := l.programs[k]
	if p == nil {
		return 0
	}
	return p.spent + p.reserved
}

// Allows reports whether a program may reserve that many more tokens within its budget.
func (l *Ledger) Allows(k Key, budget, tokens ids.Tokens) bool {
	return l.Committed(k)+tokens <= budget
}

// DropIdle removes the programs whose last record is older than idle.
func (l *Ledger) DropIdle(now time.Time, idle time.Duration) {
	for k, p := range l.programs {
		if now.Sub(p.lastRecord) > idle {
			delete(l.programs, k)
		}
	}
}
