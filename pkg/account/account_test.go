package account_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/comfreylink/comfreylink/pkg/account"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

var key = account.Key{Workspace: "w", Program: "p"}

// Guards against a ledger that depends on how often a record was written, because a record is written again after a lost
// answer.
func TestRepeatedRecordsChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		once, twice := account.New(), account.New()
		for range rapid.IntRange(0, 30).Draw(t, "records") {
			r := account.Record{
				Key: key, Turn: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "turn"), Settled: rapid.Bool().Draw(t, "settled"), Tokens: 10,
			}
			once.Apply(r)
			twice.Apply(r)
			twice.Apply(r)
		}
		if once.Committed(key) != twice.Committed(key) {
			t.Fatalf("committed tokens: %d with each record once, %d with each record twice", once.Committed(key), twice.Committed(key))
		}
	})
}

// Guards against a turn that is counted both as reserved and as spent, and against one that is reserved after its
// settlement.
func TestSettlementReplacesTheReservation(t *testing.T) {
	c := qt.New(t)
	l := account.New()
	l.Apply(account.Record{Key: key, Turn: "a", Tokens: 100})
	c.Assert(l.Allows(key, 120, 30), qt.IsFalse)
	l.Apply(account.Record{Key: key, Turn: "a", Tokens: 20, Settled: true})
	l.Apply(account.Record{Key: key, Turn: "a", Tokens: 100})
	c.Assert(l.Committed(key), qt.Equals, ids.Tokens(20))
	c.Assert(l.Allows(key, 120, 100), qt.IsTrue)
	c.Assert(l.Allows(key, 120, 101), qt.IsFalse)
	c.Assert(l.Allows(account.Key{Workspace: "v", Program: "p"}, 120, 120), qt.IsTrue)
}
