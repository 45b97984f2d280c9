package programs

import (
	"time"

	"github.com/comfreylink/comfreylink/pkg/account"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

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

// reservationID names a reservation in the log.
type reservationID struct {
	key  account.Key
	turn string
}

// decision is what one append writes.
type decision struct {
	encoded     [][]byte         // all records in the order in which they are written
	records     []account.Record // the reservations and settlements among them
	turns       [][]byte         // the turns among them
	conditional bool             // whether the append must fail if others have appended meanwhile
}

func (d *decision) add(r account.Record) {
	d.records = append(d.records, r)
	d.encoded = append(d.encoded, encodeAccount(r))
}

// settledTokens returns by how much the settlements of the batches change what programs have spent and reserved. They are
// appended together with the reservations, so these may use what they return. The caller holds the lock.
func (p *partition) settledTokens(batches []*submission) map[account.Key]ids.Tokens {
	change := make(map[account.Key]ids.Tokens)
	seen := make(map[reservationID]bool)
	for _, s := range batches {
		for _, r := range s.settlements {
			if seen[reservationID{r.Key, r.Turn}] {
				continue
			}
			seen[reservationID{r.Key, r.Turn}] = true
			change[r.Key] += p.ledger.Change(r)
		}
	}
	return change
}

// decide grants the reservations that fit into their budgets, at least in part, and returns the records to append. A
// reservation that is in the log already is granted as it is there, and one that comes twice, since its caller has repeated the
// call, is granted once.
func (p *partition) decide(batches []*submission) (d decision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.store.Now()
	pending := p.settledTokens(batches)
	renewed := make(map[account.Key]bool)
	decided := make(map[reservationID]grant)
	// Settlements come before the reservations that use what they return.
	for _, s := range batches {
		for _, r := range s.settlements {
			d.add(r)
		}
	}
	for _, s := range batches {
		s.granted = make([]grant, len(s.reservations))
		for i, r := range s.reservations {
			if tokens, ok := p.ledger.Has(r.key, r.turn); ok {
				s.granted[i] = grant{Tokens: tokens, Committed: p.ledger.Committed(r.key)}
				continue
			}
			id := reservationID{r.key, r.turn}
			if g, ok := decided[id]; ok {
				s.granted[i] = g
				continue
			}
			if !renewed[r.key] {
				renewed[r.key] = true
				for _, old := range p.renewals(r.key, now) {
					d.add(old)
				}
			}
			tokens, ok := p.fittingTokens(r, pending[r.key])
			if !ok {
				continue
			}
			pending[r.key] += tokens
			s.granted[i] = grant{Tokens: tokens, Committed: p.ledger.Committed(r.key) + pending[r.key]}
			decided[id] = s.granted[i]
			d.conditional = true
			d.add(account.Record{Key: r.key, Turn: r.turn, Tokens: tokens, At: now})
		}
		for _, t := range s.turns {
			d.turns = append(d.turns, t)
			d.encoded = append(d.encoded, t)
		}
	}
	return d
}

// fittingTokens returns how many tokens of a reservation fit into its budget beside those that are pending in the same append;
// ok is false if not even the least that is enough does. The caller holds the lock.
func (p *partition) fittingTokens(r reservation, pending ids.Tokens) (tokens ids.Tokens, ok bool) {
	if p.ledger.Allows(r.key, r.budget, pending+r.tokens) {
		return r.tokens, true
	}
	return r.least, p.ledger.Allows(r.key, r.budget, pending+r.least)
}

// renewals returns the records of a program that the log would delete while the program may go on. The caller holds the
// lock.
func (p *partition) renewals(k account.Key, now time.Time) []account.Record {
	if p.store.LogRetention == 0 {
		return nil
	}
	return p.ledger.Renew(k, now.Add(-p.store.LogRetention/renewFraction), now)
}
