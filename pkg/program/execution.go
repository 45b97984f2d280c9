package program

import (
	"cmp"
	"errors"

	"github.com/comfreylink/comfreylink/pkg/record"
)

// Step is the next step of an Execution or a Call.
type Step string

// Steps, in order. An Execution has the intent and the outcome, a Call has the reservation and the turn.
const (
	// StepIntent: append Intent and report to IntentDone.
	StepIntent Step = "intent"
	// StepReserve: append Reserve and report to ReserveDone.
	StepReserve Step = "reserve"
	// StepCheck: check the lease, and whatever else may keep the request from being sent, and report to Checked.
	StepCheck Step = "check"
	// StepSend: send the request once and report to Answered or Failed.
	StepSend Step = "send"
	// StepOutcome: append Outcome and report to OutcomeDone.
	StepOutcome Step = "outcome"
	// StepTurn: append Turn and report to TurnDone.
	StepTurn Step = "turn"
	// StepDone: answer the caller with Answer. An Execution may have a Cancel to append.
	StepDone Step = "done"
)

// Run says whether a request ran, as in the answer to the caller.
type Run string

// Values of Run.
const (
	RunNot     Run = "notRun"
	RunDone    Run = "ran"
	RunUnknown Run = "unknown"
)

// Answer is what the caller is told at the end of an execution.
type Answer struct {
	Run         Run
	Durable     bool // a repeated request will get the same answer
	Status      int
	ContentType string
	Body        []byte
	// Retry says that the request did not run here because its key was taken meanwhile: decide again with Admit.
	Retry bool
	// Reason is why the request was not run or why its answer is not durable; nil otherwise.
	Reason error
}

// Execution is the owner's procedure for one non-idempotent request: append the intent, wait for the verdict, check the
// lease, send once, append the outcome. A method that is called out of order changes nothing and returns false.
//
// The lease check only avoids needless work: an owner that was replaced after its intent was accepted may still send,
// because every later owner answers this key with "unknown".
type Execution struct {
	step   Step
	intent record.Intent
	cancel bool
	answer Answer
}

// NewExecution starts an execution. The attempt must differ between the executions of one writer.
func NewExecution(i record.Intent, attempt int64) *Execution {
	i.Attempt = attempt
	return &Execution{step: StepIntent, intent: i}
}

// Step returns the next step.
func (e *Execution) Step() Step { return e.step }

// Intent returns the record to append at StepIntent.
func (e *Execution) Intent() *record.Intent {
	i := e.intent
	return &i
}

// IntentDone reports the end of the append of the intent: the verdict, or the append's error if there is no verdict.
func (e *Execution) IntentDone(verdict, err error) bool {
	if e.step != StepIntent {
		return false
	}
	switch {
	case err != nil:
		// The record may be folded later; the cancel follows it in the stream.
		e.giveUp(err)
	case verdict != nil:
		e.refuse(verdict)
	default:
		e.step = StepCheck
	}
	return true
}

// Checked reports whether the request may be sent; nil if so.
func (e *Execution) Checked(reason error) bool {
	if e.step != StepCheck {
		return false
	}
	if reason != nil {
		e.giveUp(reason)
		return true
	}
	e.step = StepSend
	return true
}

// Answered reports the target's answer.
func (e *Execution) Answered(status int, contentType string, body []byte) bool {
	if e.step != StepSend {
		return false
	}
	e.answer = Answer{Run: RunDone, Status: status, ContentType: contentType, Body: body}
	e.step = StepOutcome
	return true
}

// Failed reports that no answer came; sent tells whether the request may have reached the target.
func (e *Execution) Failed(sent bool, reason error) bool {
	if e.step != StepSend {
		return false
	}
	if !sent {
		e.giveUp(reason)
		return true
	}
	e.answer = Answer{Run: RunUnknown, Status: record.StatusUnknown, Reason: reason}
	e.step = StepOutcome
	return true
}

// Outcome returns the record to append at StepOutcome.
func (e *Execution) Outcome() *record.Outcome {
	return &record.Outcome{
		Epoch: e.intent.Epoch, Workspace: e.intent.Workspace, Key: e.intent.Key,
		Status: e.answer.Status, ContentType: e.answer.ContentType, Body: e.answer.Body,
	}
}

// OutcomeDone reports the end of the append of the outcome: the verdict, or the append's error. The answer is right in
// either case, but only after an accepted outcome will a repeated request get it again.
func (e *Execution) OutcomeDone(verdict, err error) bool {
	if e.step != StepOutcome {
		return false
	}
	if reason := cmp.Or(err, verdict); reason != nil {
		e.answer.Reason = reason
	} else {
		e.answer.Durable = true
	}
	e.step = StepDone
	return true
}

// Cancel returns the record to append at StepDone, or nil.
func (e *Execution) Cancel() *record.Cancel {
	if !e.cancel {
		return nil
	}
	return &record.Cancel{
		Epoch: e.intent.Epoch, Workspace: e.intent.Workspace, Key: e.intent.Key, Attempt: e.intent.Attempt,
	}
}

// Answer returns what the caller is told at StepDone.
func (e *Execution) Answer() Answer { return e.answer }

func (e *Execution) giveUp(reason error) {
	e.cancel = true
	e.refuse(reason)
}

func (e *Execution) refuse(reason error) {
	e.answer = Answer{Run: RunNot, Reason: reason, Retry: errors.Is(reason, ErrDuplicateKey)}
	e.step = StepDone
}
