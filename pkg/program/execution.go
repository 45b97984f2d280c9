package program

import (
	"cmp"
	"errors"

	"github.com/comfreylink/comfreylink/pkg/record"
)

// Step is the next step of an Execution or a turn.Call.
type Step string

// Steps in order. Only an Execution has StepIntent and StepOutcome, only a turn.Call has StepReserve and StepTurn.
const (
	// StepIntent: append the record from Intent, then call IntentDone.
	StepIntent Step = "intent"
	// StepReserve: append the record from Reserve, then call ReserveDone.
	StepReserve Step = "reserve"
	// StepCheck: check the lease and everything else that may prevent sending, then call Checked.
	StepCheck Step = "check"
	// StepSend: send the request once, then call Answered or Failed.
	StepSend Step = "send"
	// StepOutcome: append the record from Outcome, then call OutcomeDone.
	StepOutcome Step = "outcome"
	// StepTurn: append the record from Turn, then call TurnDone.
	StepTurn Step = "turn"
	// StepDone: send Answer to the caller. An Execution may have a record from Cancel to append.
	StepDone Step = "done"
)

// Run states whether a request ran, in the answer to the caller.
type Run string

// Values of Run.
const (
	RunNot     Run = "notRun"
	RunDone    Run = "ran"
	RunUnknown Run = "unknown"
)

// Answer is the result for the caller of an Execution or a turn.Call.
type Answer struct {
	Run         Run
	Durable     bool // a repeated request will get the same answer
	Status      int
	ContentType string
	Body        []byte
	// Retry reports that the request did not run because another request took its key in the meantime. The owner calls
	// Admit again.
	Retry bool
	// Reason is why the request did not run or why its answer is not durable; nil otherwise.
	Reason error
}

// Execution is the owner's procedure for one non-idempotent request: append the intent, wait until the fold accepts it,
// check the lease, send the request once, append the outcome. A method that is called out of order changes nothing and
// returns false.
//
// The lease check only avoids needless work. An owner that was replaced after its intent was accepted may still send the
// request, because every later owner answers this key with "unknown".
type Execution struct {
	step   Step
	intent record.Intent
	cancel bool
	answer Answer
}

// NewExecution returns an execution at StepIntent. Each execution of a writer must have a different attempt number.
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

// IntentDone reports the result of appending the intent: the rejection error, nil if the fold accepted the record, or
// err if it is not known what became of the record.
func (e *Execution) IntentDone(rejection, err error) bool {
	if e.step != StepIntent {
		return false
	}
	switch {
	case err != nil:
		// The intent may still be folded later. The cancel follows it in the stream and withdraws it.
		e.giveUp(err)
	case rejection != nil:
		e.refuse(rejection)
	default:
		e.step = StepCheck
	}
	return true
}

// Checked reports the result of the check: nil if the request may be sent, otherwise the reason why not.
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

// Failed reports that no answer arrived. The flag sent is false only if the request cannot have reached the target.
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

// OutcomeDone reports the result of appending the outcome, with the same errors as IntentDone. The caller's answer is
// correct even after an error, but a repeated request gets the same answer only if the outcome was accepted.
func (e *Execution) OutcomeDone(rejection, err error) bool {
	if e.step != StepOutcome {
		return false
	}
	if reason := cmp.Or(err, rejection); reason != nil {
		e.answer.Reason = reason
	} else {
		e.answer.Durable = true
	}
	e.step = StepDone
	return true
}

// Cancel returns the record to append at StepDone, or nil if no intent has to be withdrawn.
func (e *Execution) Cancel() *record.Cancel {
	if !e.cancel {
		return nil
	}
	return &record.Cancel{
		Epoch: e.intent.Epoch, Workspace: e.intent.Workspace, Key: e.intent.Key, Attempt: e.intent.Attempt,
	}
}

// Answer returns the result for the caller at StepDone.
func (e *Execution) Answer() Answer { return e.answer }

// giveUp ends the execution without sending, and withdraws the intent.
func (e *Execution) giveUp(reason error) {
	e.cancel = true
	e.refuse(reason)
}

// refuse ends the execution as not run.
func (e *Execution) refuse(reason error) {
	e.answer = Answer{Run: RunNot, Reason: reason, Retry: errors.Is(reason, ErrDuplicateKey)}
	e.step = StepDone
}
