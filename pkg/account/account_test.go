package account_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/comfreylink/comfreylink/pkg/account"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

var key = account.Key{Workspace: "w", Program: "p"}

// Guards against books that differ by how often a record was written: after a lost answer it is written again.
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
			t.Fatalf("%d against %d", once.Committed(key), twice.Committed(key))
		}
	})
}

// Guards against a turn that is counted both as reserved and as spent, and against one that is reserved after its end.
func TestSettlementReplacesTheReservation(t *testing.T) {
	c := qt.New(t)
	b := account.New()
	b.Apply(account.Record{Key: key, Turn: "a", Tokens: 100})
	c.Assert(b.Allows(key, 120, 30), qt.IsFalse)
	b.Apply(account.Record{Key: key, Turn: "a", Tokens: 20, Settled: true})
	b.Apply(account.Record{Key: key, Turn: "a", Tokens: 100})
	c.Assert(b.Committed(key), qt.Equals, ids.Tokens(20))
	c.Assert(b.Allows(key, 120, 100), qt.IsTrue)
	c.Assert(b.Allows(key, 120, 101), qt.IsFalse)
	c.Assert(b.Allows(account.Key{Workspace: "v", Program: "p"}, 120, 120), qt.IsTrue)
}
