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

// Ledger is the owner's account of a root program's budget within one epoch. Before a call is sent, it holds the most
// tokens that the call may use, within an accepted reservation. The next owner counts the whole reservation as spent, so
// the calls of several owners together stay within the budget. A root has at most one ledger at a time, which the owner
// may drop when no call uses it.
type Ledger struct {
	budget   ids.Tokens
	reserved ids.Tokens
	spent    ids.Tokens
	held     ids.Tokens
	closed   bool
}

// NewLedger starts the account of an owner that has folded its open record; s is the root's spending at that time. What
// is reserved counts as spent, also when the owner has dropped an earlier ledger of the root in this epoch, since only
// that one knew the use of calls that failed.
func NewLedger(budget ids.Tokens, s program.Spending) *Ledger {
	return &Ledger{budget: budget, reserved: s.Reserved, spent: s.Reserved}
}

// SetBudget replaces the budget; calls that hold tokens are not affected.
func (l *Ledger) SetBudget(budget ids.Tokens) { l.budget = budget }

// Hold takes max tokens for a call. It returns false if the accepted reservation does not cover them.
func (l *Ledger) Hold(max ids.Tokens) bool {
	if l.closed || l.spent+l.held+max > min(l.reserved, l.budget) {
		return false
	}
	l.held += max
	return true
}

// Reserve returns the limit to append in a reserve record so that a call can hold max tokens: a multiple of chunk, or
// the budget. The error is ErrBudget, or ErrBudgetHeld if the call fits once calls in progress use less than they hold.
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

// Reserved reports that a reserve record was accepted.
func (l *Ledger) Reserved(upTo ids.Tokens) {
	l.reserved = max(l.reserved, upTo)
}

// Done reports the end of a call that held max tokens: the tokens it used, 0 if it was not sent, and max if its use is
// not known.
func (l *Ledger) Done(max, used ids.Tokens) {
	l.held -= max
	l.spent += used
}

// Close ends the account and returns the exact spending for a settle record. It returns ok false while a call holds
// tokens. Nothing can be held afterwards, because the settlement ends the reservation.
func (l *Ledger) Close() (spent ids.Tokens, ok bool) {
	if l.held > 0 {
		return 0, false
	}
	l.closed = true
	return l.spent, true
}

func roundUp(n, chunk ids.Tokens) ids.Tokens {
	chunk = max(chunk, 1)
	return (n + chunk - 1) / chunk * chunk
}
