package program_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/program"
	"github.com/comfreylink/comfreylink/pkg/record"
	"github.com/comfreylink/comfreylink/pkg/turn"
)

// Guards against a rejected record that changes the state, and against a wrong reason for the rejection.
func TestRejectedRecordsChangeNothing(t *testing.T) {
	c := qt.New(t)
	s := program.New(program.Options{})
	at := func(i int) ids.Position { return ids.Position{Offset: ids.Offset(i)} }
	for i, b := range []record.Body{
		&record.Open{Epoch: 3, Owner: "a#1"},
		&record.Turn{Epoch: 3, Workspace: workspace, Program: "p", Key: "done", Usage: record.Usage{Prompt: 9}},
		&record.Intent{Epoch: 3, Workspace: workspace, Key: "open", Attempt: 1},
		&record.Open{Epoch: 4, Owner: "b#1"},
		&record.Intent{Epoch: 4, Workspace: workspace, Key: "running", Attempt: 2},
	} {
		w := ids.WriterID("a#1")
		if i > 2 {
			w = "b#1"
		}
		c.Assert(s.Apply(at(i), w, b), qt.IsNil)
	}
	before, err := s.Snapshot()
	c.Assert(err, qt.IsNil)
	last := at(0)
	const late = 9e12
	for i, x := range []struct {
		writer ids.WriterID
		body   record.Body
		want   error
	}{
		{"a#1", &record.Open{Epoch: 4, Owner: "a#1", UnixMilli: late}, program.ErrStaleEpoch},
		{"a#1", &record.Open{Epoch: 5, Owner: "b#1", UnixMilli: late}, program.ErrNotOwner},
		{"a#1", &record.Turn{Epoch: 3, Workspace: workspace, Program: "p", Index: 1, Key: "x"}, program.ErrStaleEpoch},
		{"a#1", &record.Turn{Epoch: 4, Workspace: workspace, Program: "p", Index: 1, Key: "x"}, program.ErrNotOwner},
		{"b#1", &record.Turn{Epoch: 4, Workspace: workspace, Program: "p", Index: 2, Key: "x", UnixMilli: late}, program.ErrWrongIndex},
		{"b#1", &record.Turn{Epoch: 4, Workspace: workspace, Program: "p", Index: 1, Key: "done", UnixMilli: late}, program.ErrDuplicateKey},
		{"b#1", &record.Intent{Epoch: 4, Workspace: workspace, Key: "open", UnixMilli: late}, program.ErrDuplicateKey},
		{"b#1", &record.Cancel{Epoch: 4, Workspace: workspace, Key: "open", Attempt: 1}, program.ErrNoIntent},
		{"b#1", &record.Cancel{Epoch: 4, Workspace: workspace, Key: "running", Attempt: 1}, program.ErrNoIntent},
		{"a#1", &record.Outcome{Epoch: 3, Workspace: workspace, Key: "open"}, program.ErrStaleEpoch},
		{"b#1", &record.Outcome{Epoch: 4, Workspace: workspace, Key: "open"}, program.ErrNoIntent},
		{"b#1", &record.Outcome{Epoch: 4, Workspace: workspace, Key: "done"}, program.ErrNoIntent},
		{"a#1", &record.Reserve{Epoch: 3, Workspace: workspace, Program: "p", UpTo: 50}, program.ErrStaleEpoch},
		{"b#1", &record.Settle{Epoch: 4, Workspace: workspace, Program: "p", Spent: 8}, program.ErrSpending},
		{"b#1", &record.Settle{Epoch: 4, Workspace: workspace, Program: "q", Spent: 8}, program.ErrUnknownProgram},
		{"b#1", &record.End{Epoch: 4, Workspace: workspace, Program: "p/child"}, program.ErrUnknownProgram},
		{"b#1", &record.End{Epoch: 4, Workspace: workspace, Program: "p", LastUse: &last}, program.ErrInUse},
		{"b#1", &record.Alive{Writer: "b#1"}, program.ErrRecordType},
	} {
		c.Check(s.Apply(at(10+i), x.writer, x.body), qt.ErrorIs, x.want, qt.Commentf("%+v", x.body))
		after, err := s.Snapshot()
		c.Assert(err, qt.IsNil)
		c.Check(string(after), qt.Equals, string(before), qt.Commentf("%+v", x.body))
	}
}

// Guards against a repeated request that is run again or gets a wrong answer (R7, R9).
func TestAdmit(t *testing.T) {
	c := qt.New(t)
	s := program.New(program.Options{})
	intent := func(e ids.Epoch, k ids.RequestKey) record.Body {
		return &record.Intent{Epoch: e, Workspace: workspace, Key: k, Fingerprint: "f", Attempt: 1}
	}
	for _, b := range []record.Body{
		&record.Open{Epoch: 1, Owner: "a#1"}, intent(1, "undecided"),
		&record.Open{Epoch: 2, Owner: "a#1"}, intent(2, "intent"), intent(2, "outcome"), intent(2, "lost"), intent(2, "cancelled"),
		&record.Outcome{Epoch: 2, Workspace: workspace, Key: "outcome", Status: 200},
		&record.Outcome{Epoch: 2, Workspace: workspace, Key: "lost", Status: record.StatusUnknown},
		&record.Cancel{Epoch: 2, Workspace: workspace, Key: "cancelled", Attempt: 1},
		&record.Turn{Epoch: 2, Workspace: workspace, Program: "p", Key: "turn", Fingerprint: "f"},
	} {
		c.Assert(s.Apply(ids.Position{}, "a#1", b), qt.IsNil)
	}
	same, other := ids.Fingerprint("f"), ids.Fingerprint("g")
	for _, x := range []struct {
		request program.Request
		want    program.Action
	}{
		{program.Request{Key: "new", Epoch: 2}, program.ActionRun},
		{program.Request{Key: "cancelled", Epoch: 2}, program.ActionRun},
		{program.Request{Key: "new", Epoch: 1}, program.ActionNotOwner},
		{program.Request{Key: "new", Epoch: 2, Running: &same}, program.ActionWait},
		{program.Request{Key: "new", Epoch: 2, Running: &other}, program.ActionKeyReused},
		{program.Request{Key: "intent", Epoch: 2, Running: &same}, program.ActionWait},
		{program.Request{Key: "intent", Epoch: 2}, program.ActionUnknown},
		{program.Request{Key: "undecided", Epoch: 2}, program.ActionUnknown},
		{program.Request{Key: "lost", Epoch: 2}, program.ActionUnknown},
		{program.Request{Key: "outcome", Epoch: 2}, program.ActionReplay},
		{program.Request{Key: "turn", Epoch: 2}, program.ActionReplay},
	} {
		x.request.Workspace, x.request.Fingerprint = workspace, same
		c.Check(s.Admit(x.request).Action, qt.Equals, x.want, qt.Commentf("%+v", x.request))
	}
	reused := program.Request{Workspace: workspace, Key: "outcome", Fingerprint: other, Epoch: 2}
	c.Check(s.Admit(reused).Action, qt.Equals, program.ActionKeyReused)
	c.Check(program.New(program.Options{}).Admit(program.Request{}).Action, qt.Equals, program.ActionNotOwner)
}

// Guards against budget that is lost at a planned handover, where the settlement states the exact spending, and against
// reserved budget that is available again after a takeover, where the spending is not known (R3).
func TestSettledBudgetIsExact(t *testing.T) {
	c := qt.New(t)
	s := program.New(program.Options{})
	l := turn.NewLedger(100, program.Spending{})
	call := turn.New(record.Turn{Epoch: 1, Workspace: workspace, Program: "p", Key: "k"}, 30, 40, l)
	c.Assert(call.Step(), qt.Equals, program.StepReserve)
	c.Assert(s.Apply(ids.Position{}, "a#1", &record.Open{Epoch: 1, Owner: "a#1"}), qt.IsNil)
	c.Assert(call.ReserveDone(s.Apply(ids.Position{}, "a#1", call.Reserve()), nil), qt.IsTrue)
	c.Assert(call.Checked(nil), qt.IsTrue)
	_, ok := l.Close()
	c.Assert(ok, qt.IsFalse, qt.Commentf("a call is in progress"))
	c.Assert(call.Answered(nil, record.Usage{Prompt: 5, Completion: 6}, nil), qt.IsTrue)
	c.Assert(call.TurnDone(s.Apply(ids.Position{}, "a#1", call.Turn()), nil), qt.IsTrue)
	c.Check(s.Budget(workspace, "p"), qt.Equals, program.Spending{Spent: 11, Reserved: 40})
	spent, ok := l.Close()
	c.Assert(ok, qt.IsTrue)
	c.Assert(s.Apply(ids.Position{}, "a#1", settlement(1, "p", spent)), qt.IsNil)
	unsettled := &record.Reserve{Epoch: 1, Workspace: workspace, Program: "q", UpTo: 50}
	c.Assert(s.Apply(ids.Position{}, "a#1", unsettled), qt.IsNil)
	c.Assert(s.Apply(ids.Position{}, "b#1", &record.Open{Epoch: 2, Owner: "b#1"}), qt.IsNil)
	c.Check(s.Budget(workspace, "p"), qt.Equals, program.Spending{Spent: 11, Reserved: 11})
	c.Check(s.Budget(workspace, "q"), qt.Equals, program.Spending{Spent: 50, Reserved: 50})
}

// The owner carries out one step after the other and reports each result to the execution.
func ExampleExecution() {
	s := program.New(program.Options{})
	apply := func(b record.Body) error { return s.Apply(ids.Position{}, "a#1", b) }
	_ = apply(s.NewOpen(time.UnixMilli(unixMilli), 1, "a#1"))

	e := program.NewExecution(record.Intent{Epoch: 1, Workspace: workspace, Key: "pay-7", Fingerprint: "f"}, 1)
	e.IntentDone(apply(e.Intent()), nil)
	e.Checked(nil)
	fmt.Println(e.Step())
	e.Answered(201, "text/plain", []byte("paid"))
	e.OutcomeDone(apply(e.Outcome()), nil)
	fmt.Println(e.Step(), e.Answer().Run)

	repeated := program.Request{Workspace: workspace, Key: "pay-7", Fingerprint: "f", Epoch: 1}
	d := s.Admit(repeated)
	fmt.Println(d.Action, d.State.Status, string(d.State.Body))
	// Output:
	// send
	// done ran
	// replay 201 paid
}
