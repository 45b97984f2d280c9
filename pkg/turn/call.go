// Package turn holds the owner's procedure for a model call, which adds a turn to a program, and its account of the
// program's budget. It has no sockets, goroutines or clock.
package turn

import (
	"cmp"
	"encoding/json"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/program"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// Call is the owner's procedure for sending one turn of a program to one target: hold the tokens it may use, reserving
// more if needed, check the lease, send, append the turn. Sending to another target after a failure is another Call,
// because the first may have used tokens. A method that is called out of order changes nothing and returns false.
//
// The owner runs one call of a program at a time; sub-agents share the ledger and run side by side.
type Call struct {
	step   program.Step
	turn   record.Turn
	ledger *Ledger
	max    ids.Tokens // most tokens that the call may use
	chunk  ids.Tokens
	upTo   ids.Tokens // of the reserve record at StepReserve
	answer program.Answer
}

// New starts a call. The turn has neither messages nor usage yet; max is the most tokens that the call may use, and
// chunk the multiple to reserve in.
func New(t record.Turn, max, chunk ids.Tokens, l *Ledger) *Call {
	c := &Call{turn: t, ledger: l, max: max, chunk: chunk}
	c.hold()
	return c
}

// hold goes on to the check if the reservation covers the call, and otherwise to a reservation.
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

// ReserveDone reports the end of the append of the reservation: the verdict, or the append's error if there is no
// verdict. Another call may have used the tokens meanwhile, so the next step may be another reservation.
func (c *Call) ReserveDone(verdict, err error) bool {
	if c.step != program.StepReserve {
		return false
	}
	if reason := cmp.Or(err, verdict); reason != nil {
		c.refuse(reason)
		return true
	}
	c.ledger.Reserved(c.upTo)
	c.hold()
	return true
}

// Checked reports whether the call may be sent; nil if so.
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

// Failed reports that no answer came; sent tells whether the call may have reached the target.
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

// TurnDone reports the end of the append of the turn: the verdict, or the append's error if there is no verdict. Only an
// accepted turn is part of the history.
func (c *Call) TurnDone(verdict, err error) bool {
	if c.step != program.StepTurn {
		return false
	}
	c.answer = program.Answer{Run: program.RunDone, Durable: true, Body: c.turn.Response}
	if reason := cmp.Or(err, verdict); reason != nil {
		c.answer = program.Answer{Run: program.RunUnknown, Body: c.turn.Response, Reason: reason}
	}
	c.step = program.StepDone
	return true
}

// Answer returns what the caller is told at StepDone.
func (c *Call) Answer() program.Answer { return c.answer }

func (c *Call) refuse(reason error) {
	c.answer = program.Answer{Run: program.RunNot, Reason: reason}
	c.step = program.StepDone
}
