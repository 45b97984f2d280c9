// Package turn holds the owner's procedure for one model call, which adds a turn to a program, and the owner's ledger of
// the program's token budget. Both are state machines without sockets, goroutines or clock.
package turn

import (
	"cmp"
	"encoding/json"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/program"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// Call is the owner's procedure for sending one turn of a program to one target: hold the tokens that the call may use,
// after reserving more if needed, check the lease, send the call, append the turn. Each target that is tried needs a new
// Call, because a failed one may have used tokens. A method that is called out of order changes nothing and returns
// false.
//
// The owner runs one call of a program at a time. Sub-agents share the ledger and run concurrently.
type Call struct {
	step   program.Step
	turn   record.Turn
	ledger *Ledger
	max    ids.Tokens // most tokens that the call may use
	chunk  ids.Tokens // unit of reservations
	upTo   ids.Tokens // limit in the reserve record at StepReserve
	answer program.Answer
}

// New returns a call at its first step, which is StepReserve, StepCheck, or StepDone if the budget does not allow the call.
// The turn has no messages and no usage yet, max is the most tokens that the call may use, and chunk is the unit of
// reservations; see Ledger.Reserve.
func New(t record.Turn, max, chunk ids.Tokens, l *Ledger) *Call {
	c := &Call{turn: t, ledger: l, max: max, chunk: chunk}
	c.hold()
	return c
}

// hold continues with StepCheck if the accepted reservation covers the call, otherwise with StepReserve. It refuses the
// call if the budget does not allow it.
func (c *Call) hold() {
	if c.ledger.Hold(c.max) {
		c.step = program.StepCheck
		return
	}
	upTo, err := c.ledger.Reserve(c.max, c.chunk)
	if err != nil {
		c.refuse(err)
		return
	}
	c.upTo = upTo
	c.step = program.StepReserve
}

// Step returns the next step.
func (c *Call) Step() program.Step { return c.step }

// Reserve returns the record to append at StepReserve.
func (c *Call) Reserve() *record.Reserve {
	return &record.Reserve{
		Epoch: c.turn.Epoch, Workspace: c.turn.Workspace, Program: c.turn.Program.Root(), UpTo: c.upTo,
		UnixMilli: c.turn.UnixMilli,
	}
}

// ReserveDone reports the result of appending the reservation: the rejection error, nil if the fold accepted the record,
// or err if it is not known what became of the record. The next step may be StepReserve again, because another call may
// have taken the tokens in the meantime.
func (c *Call) ReserveDone(rejection, err error) bool {
	if c.step != program.StepReserve {
		return false
	}
	if reason := cmp.Or(err, rejection); reason != nil {
		c.refuse(reason)
		return true
	}
	c.ledger.Reserved(c.upTo)
	c.hold()
	return true
}

// Checked reports the result of the check: nil if the call may be sent, otherwise the reason why not.
func (c *Call) Checked(reason error) bool {
	if c.step != program.StepCheck {
		return false
	}
	if reason != nil {
		c.ledger.Done(c.max, 0)
		c.refuse(reason)
		return true
	}
	c.step = program.StepSend
	return true
}

// Answered reports the target's answer: the messages to add to the history, the usage, and the response that a repeated
// request is answered with.
func (c *Call) Answered(messages []record.Message, u record.Usage, response json.RawMessage) bool {
	if c.step != program.StepSend {
		return false
	}
	c.ledger.Done(c.max, u.Total())
	c.turn.Messages, c.turn.Usage, c.turn.Response = messages, u, response
	c.step = program.StepTurn
	return true
}

// Failed reports that no answer arrived. The flag sent is false only if the call cannot have reached the target.
func (c *Call) Failed(sent bool, reason error) bool {
	if c.step != program.StepSend {
		return false
	}
	if !sent {
		c.ledger.Done(c.max, 0)
		c.refuse(reason)
		return true
	}
	c.ledger.Done(c.max, c.max)
	c.answer = program.Answer{Run: program.RunUnknown, Reason: reason}
	c.step = program.StepDone
	return true
}

// Turn returns the record to append at StepTurn.
func (c *Call) Turn() *record.Turn {
	t := c.turn
	return &t
}

// TurnDone reports the result of appending the turn, with the same errors as ReserveDone. Only an accepted turn is part of
// the history.
func (c *Call) TurnDone(rejection, err error) bool {
	if c.step != program.StepTurn {
		return false
	}
	c.answer = program.Answer{Run: program.RunDone, Durable: true, Body: c.turn.Response}
	if reason := cmp.Or(err, rejection); reason != nil {
		c.answer = program.Answer{Run: program.RunUnknown, Body: c.turn.Response, Reason: reason}
	}
	c.step = program.StepDone
	return true
}

// Answer returns the result for the caller at StepDone.
func (c *Call) Answer() program.Answer { return c.answer }

// refuse ends the call as not run.
func (c *Call) refuse(reason error) {
	c.answer = program.Answer{Run: program.RunNot, Reason: reason}
	c.step = program.StepDone
}
