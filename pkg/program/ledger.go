package program

import "github.com/comfreylink/comfreylink/pkg/ids"

// Ledger keeps the owner's account of a root program's budget within one epoch. Every call holds the most tokens that
// it may use before it is sent, and calls only hold tokens within an accepted reservation. The next owner counts the
// whole reservation as spent, so the calls of several owners together stay within the budget.
type Ledger struct {
	budget   ids.Tokens
	reserved ids.Tokens // accepted
	asked    ids.Tokens // highest limit of a reserve record appended, accepted or not
	spent    ids.Tokens
	held     ids.Tokens
	closed   bool
}

// NewLedger starts the account of an owner that has folded its open record.
func NewLedger(budget ids.Tokens, s Spending) *Ledger {
	return &Ledger{budget: budget, reserved: s.Reserved, asked: s.Reserved, spent: s.Spent}
}

// Reserve returns the limit to append in a reserve record before a call can hold max tokens, in multiples of chunk above
// the spending. It returns ok false if no append is needed or the budget does not allow the call.
func (l *Ledger) Reserve(max, chunk ids.Tokens) (upTo ids.Tokens, ok bool) {
	need := l.spent + l.held + max
	if l.closed || need <= l.asked || need > l.budget {
		return 0, false
	}
	chunk = chunkOf(chunk)
	upTo = min(l.budget, (need+chunk-1)/chunk*chunk)
	l.asked = upTo
	return upTo, true
}

func chunkOf(chunk ids.Tokens) ids.Tokens { return max(chunk, 1) }

// Reserved reports that the reserve record up to a limit was accepted.
func (l *Ledger) Reserved(upTo ids.Tokens) {
	l.reserved = max(l.reserved, upTo)
}

// Refused reports that the reserve record up to a limit was not accepted or that its verdict is not known.
func (l *Ledger) Refused(upTo ids.Tokens) {
	if l.asked == upTo {
		l.asked = l.reserved
	}
}

// Hold takes max tokens for a call that is about to be sent. It returns false if the accepted reservation does not
// cover them.
func (l *Ledger) Hold(max ids.Tokens) bool {
	if l.closed || l.spent+l.held+max > l.reserved {
		return false
	}
	l.held += max
	return true
}

// Done reports the end of a call that held max tokens: the tokens it used, 0 if it was not sent, and max if its use is
// not known.
func (l *Ledger) Done(max, used ids.Tokens) {
	l.held -= max
	l.spent += used
}

// Exhausted reports whether the budget leaves no room for a call of max tokens, now or after the calls in progress.
func (l *Ledger) Exhausted(max ids.Tokens) bool {
	return l.spent+max > l.budget
}

// Close ends the account and returns the exact spending for a settle record. It returns ok false while a call is in
// progress. No tokens can be held afterwards, because a reservation does not outlive the settlement.
func (l *Ledger) Close() (spent ids.Tokens, ok bool) {
	if l.held > 0 {
		return 0, false
	}
	l.closed = true
	return l.spent, true
}
