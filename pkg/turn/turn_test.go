package turn_test

import (
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/program"
	"github.com/comfreylink/comfreylink/pkg/record"
	"github.com/comfreylink/comfreylink/pkg/turn"
)

func newCall(l *turn.Ledger) *turn.Call {
	return turn.New(record.Turn{Epoch: 1, Workspace: "akwaaba", Program: "order-7", Key: "k"}, 30, 40, l)
}

// Guards against a call that is refused with ErrBudget although calls in progress only hold the tokens, and against a call
// that is sent although the budget is spent (R3).
func TestBudgetRefusals(t *testing.T) {
	c := qt.New(t)
	l := turn.NewLedger(50, program.Spending{})
	first := newCall(l)
	c.Assert(first.Reserve().UpTo, qt.Equals, ids.Tokens(40))
	first.ReserveDone(nil, nil)
	c.Assert(first.Step(), qt.Equals, program.StepCheck)

	concurrent := newCall(l)
	c.Check(concurrent.Answer().Run, qt.Equals, program.RunNot)
	c.Check(concurrent.Answer().Reason, qt.ErrorIs, turn.ErrBudgetHeld)

	first.Checked(nil)
	first.Failed(true, errors.New("no answer"))
	c.Check(first.Answer().Run, qt.Equals, program.RunUnknown)
	c.Check(newCall(l).Answer().Reason, qt.ErrorIs, turn.ErrBudget)

	l.SetBudget(60)
	c.Check(newCall(l).Reserve().UpTo, qt.Equals, ids.Tokens(60))
}

// Guards against a method that takes effect out of order, such as a second report of one append.
func TestOutOfOrder(t *testing.T) {
	c := qt.New(t)
	call := newCall(turn.NewLedger(100, program.Spending{}))
	c.Check(call.Checked(nil), qt.IsFalse)
	c.Check(call.Answered(nil, record.Usage{}, nil), qt.IsFalse)
	c.Check(call.Failed(true, nil), qt.IsFalse)
	c.Check(call.TurnDone(nil, nil), qt.IsFalse)
	c.Check(call.ReserveDone(program.ErrStaleEpoch, nil), qt.IsTrue)
	c.Check(call.ReserveDone(nil, nil), qt.IsFalse)
	c.Check(call.Answer().Run, qt.Equals, program.RunNot)
	c.Check(call.Answer().Reason, qt.ErrorIs, program.ErrStaleEpoch)
}

// Only a turn that the fold has accepted is durable.
func ExampleCall() {
	for _, rejection := range []error{nil, program.ErrStaleEpoch} {
		call := newCall(turn.NewLedger(100, program.Spending{}))
		call.ReserveDone(nil, nil)
		call.Checked(nil)
		call.Answered(nil, record.Usage{Prompt: 9, Completion: 3}, []byte(`{}`))
		call.TurnDone(rejection, nil)
		fmt.Println(call.Answer().Run, call.Answer().Durable)
	}
	// Output:
	// ran true
	// unknown false
}
