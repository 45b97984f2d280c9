package program

import (
	"errors"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// Action says what the owner does with a request.
type Action string

// Actions on a request.
const (
	// ActionRun: start an execution.
	ActionRun Action = "run"
	// ActionReplay: answer with the stored outcome or turn.
	ActionReplay Action = "replay"
	// ActionWait: wait for the execution in progress, then decide again.
	ActionWait Action = "wait"
	// ActionUnknown: answer that the request may have run.
	ActionUnknown Action = "unknown"
	// ActionKeyReused: refuse, the key belongs to a request with another content.
	ActionKeyReused Action = "keyReused"
	// ActionNotOwner: refuse as not run, or forward; the epoch is not the current one.
	ActionNotOwner Action = "notOwner"
)

// Request is a request to decide on.
type Request struct {
	Workspace   ids.WorkspaceID
	Key         ids.RequestKey
	Fingerprint ids.Fingerprint
	// Epoch is the epoch in which the deciding instance owns the slot.
	Epoch ids.Epoch
	// Running is the execution with this key that is in progress at this instance; nil for none.
	Running *Execution
}

// Decision is what to do with a request; State is set for ActionReplay.
type Decision struct {
	Action Action
	State  KeyState
}

// Admit decides on a request.
func (s *Slot) Admit(r Request) Decision {
	if r.Epoch != s.epoch {
		return Decision{Action: ActionNotOwner}
	}
	state, known := s.Lookup(r.Workspace, r.Key)
	if known && state.Fingerprint != r.Fingerprint {
		return Decision{Action: ActionKeyReused}
	}
	if r.Running != nil && !r.Running.Done() {
		return admitRunning(r)
	}
	switch {
	case !known:
		return Decision{Action: ActionRun}
	case state.Phase == PhaseOutcome || state.Phase == PhaseTurn:
		return Decision{Action: ActionReplay, State: state}
	default:
		// An intent without execution in progress: its outcome or cancel was not appended.
		return Decision{Action: ActionUnknown}
	}
}

func admitRunning(r Request) Decision {
	if r.Running.intent.Fingerprint != r.Fingerprint {
		return Decision{Action: ActionKeyReused}
	}
	return Decision{Action: ActionWait}
}

// Step is the next step of an execution.
type Step string

// Steps of an execution, in order.
const (
	// StepIntent: append Intent and report the verdict to IntentDone.
	StepIntent Step = "intent"
	// StepCheck: check the lease, and whatever else may keep the request from being sent, and report to Checked.
	StepCheck Step = "check"
	// StepSend: send the request once and report to Answered, or to Failed.
	StepSend Step = "send"
	// StepOutcome: append Outcome and report the verdict to OutcomeDone.
	StepOutcome Step = "outcome"
	// StepDone: answer the caller with Answer; append Cancel if there is one.
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

// Done reports whether the execution has ended.
func (e *Execution) Done() bool { return e.step == StepDone }

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
		// The record may still be folded.
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
	e.answer.Durable = verdict == nil && err == nil
	switch {
	case err != nil:
		e.answer.Reason = err
	case verdict != nil:
		e.answer.Reason = verdict
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
	e.answer = Answer{Run: RunNot, Reason: reason, Retry: isDuplicate(reason)}
	e.step = StepDone
}

func isDuplicate(err error) bool { return errors.Is(err, ErrDuplicateKey) }
