package turn

import (
	"errors"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/program"
)

// Reasons why a call is not sent.
var (
	ErrBudget     = errors.New("budget of the program is spent")
	ErrBudgetHeld = errors.New("calls in progress hold the rest of the program's budget")
)

// Ledger tracks for one owner, within one epoch, the tokens that a root program with its sub-agents has spent and reserved.
// Before a call is sent, the ledger holds the most tokens that the call may use, out of an accepted reservation. The next
// owner counts the whole reservation as spent, so the calls of several owners together stay within the budget. A root has
// at most one ledger at a time. The owner may drop it when no call uses it.
type Ledger struct {
	budget   ids.Tokens
	reserved ids.Tokens // limit of the accepted reservations
	spent    ids.Tokens
	held     ids.Tokens // by calls in progress
	closed   bool
}

// NewLedger returns a ledger for an owner that has folded its open record; s is the root's spending at that time. All
// reserved tokens count as spent. That includes those of an earlier ledger of the root that the owner dropped in this
// epoch, because only that ledger knew how many tokens failed calls used.
func NewLedger(budget ids.Tokens, s program.Spending) *Ledger {
	return &Ledger{budget: budget, reserved: s.Reserved, spent: s.Reserved}
}

// SetBudget replaces the budget. Calls that already hold tokens are not affected.
func (l *Ledger) SetBudget(budget ids.Tokens) { l.budget = budget }

// Hold holds max tokens for a call. It returns false if the accepted reservation or the budget does not cover them.
func (l *Ledger) Hold(max ids.Tokens) bool {
	if l.closed || l.spent+l.held+max > min(l.reserved, l.budget) {
		return false
	}
	l.held += max
	return true
}

// Reserve returns the limit that a reserve record has to state so that a call can hold max tokens: a multiple of chunk, but
// at most the budget. The error is ErrBudgetHeld if the call would fit into the budget without the tokens that calls in
// progress hold, otherwise ErrBudget.
func (l *Ledger) Reserve(max, chunk ids.Tokens) (upTo ids.Tokens, err error) {
	switch need := l.spent + l.held + max; {
	case l.closed || l.spent+max > l.budget:
		return 0, ErrBudget
	case need > l.budget:
		return 0, ErrBudgetHeld
	default:
		return min(l.budget, roundUp(need, chunk)), nil
	}
}

// Reserved records that a reserve record with the limit upTo was accepted.
func (l *Ledger) Reserved(upTo ids.Tokens) {
	l.reserved = max(l.reserved, upTo)
}

// Done releases the max tokens that a call held and counts the used ones as spent: 0 if the call was not sent, max if its
// use is not known.
func (l *Ledger) Done(max, used ids.Tokens) {
	l.held -= max
	l.spent += used
}

// Close closes the ledger and returns the exact spending for a settle record. It returns false while a call holds tokens.
// A closed ledger refuses to hold tokens, because the settlement ends the reservation.
func (l *Ledger) Close() (spent ids.Tokens, ok bool) {
	if l.held > 0 {
		return 0, false
	}
	l.closed = true
	return l.spent, true
}

// roundUp rounds n up to a multiple of chunk; a chunk below 1 counts as 1.
func roundUp(n, chunk ids.Tokens) ids.Tokens {
	chunk = max(chunk, 1)
	return (n + chunk - 1) / chunk * chunk
}
