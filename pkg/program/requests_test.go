package program_test

import (
	"encoding/json"
	"slices"
	"strconv"

	"pgregory.net/rapid"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/program"
	"github.com/comfreylink/comfreylink/pkg/record"
	"github.com/comfreylink/comfreylink/pkg/turn"
)

// startExecution starts a caller's non-idempotent request with one of four keys. One in eight has other content than the
// key's usual one.
func (o *owner) startExecution(t *rapid.T) {
	key := ids.RequestKey("k" + strconv.Itoa(uniform(t, "key", 4)))
	fingerprint := ids.Fingerprint("content of " + key)
	if uniform(t, "reuse", 8) == 7 {
		fingerprint = "other content"
	}
	q := program.Request{Workspace: workspace, Key: key, Fingerprint: fingerprint, Epoch: o.epoch}
	// Two requests with one key may both be admitted, as by an owner that registers a request late.
	if r := o.running(func(r *request) bool { return r.key == key }); r != nil && rapid.Bool().Draw(t, "registered") {
		q.Running = &r.fingerprint
	}
	switch d := o.slot.Admit(q); d.Action {
	case program.ActionRun:
		o.world.serial++
		r := &request{id: o.world.serial, key: key, fingerprint: fingerprint}
		r.exec = program.NewExecution(record.Intent{
			Epoch: o.epoch, Workspace: workspace, Key: key, Fingerprint: fingerprint, UnixMilli: unixMilli,
		}, int64(r.id))
		o.current = append(o.current, r)
	case program.ActionReplay:
		if string(d.State.Body) != o.world.answers[key] {
			t.Fatalf("R7: key %s replays %q, the target answered %q", key, d.State.Body, o.world.answers[key])
		}
	}
}

// startTurn starts a caller's next turn of a program.
func (o *owner) startTurn(t *rapid.T) {
	p := []ids.ProgramID{"a", "a/x", "a/y", "b"}[uniform(t, "program", 4)]
	if !o.serves() || o.running(func(r *request) bool { return r.program == p }) != nil {
		return
	}
	root := p.Root()
	if o.ledgers[root] == nil {
		o.ledgers[root] = turn.NewLedger(budget, o.slot.Budget(workspace, root))
	}
	o.world.serial++
	state, _ := o.slot.Program(workspace, p)
	r := &request{id: o.world.serial, program: p, before: markers(t, state.Messages)}
	r.key = ids.RequestKey("t" + strconv.Itoa(r.id))
	r.call = turn.New(record.Turn{
		Epoch: o.epoch, Workspace: workspace, Program: p, Index: state.Turns, Key: r.key, UnixMilli: unixMilli,
	}, maxUse, chunk, o.ledgers[root])
	o.current = append(o.current, r)
}

func settlement(e ids.Epoch, root ids.ProgramID, spent ids.Tokens) *record.Settle {
	return &record.Settle{Epoch: e, Workspace: workspace, Program: root, Spent: spent}
}

// markers returns the markers of the answers in a history; see request.marker.
func markers(t *rapid.T, messages []record.Message) []string {
	var list []string
	for _, m := range messages {
		var s string
		noError(t, json.Unmarshal(m.Content, &s))
		list = append(list, s)
	}
	return list
}

// advance takes the next step of one of the owner's requests.
func (o *owner) advance(t *rapid.T) {
	if len(o.current) == 0 {
		return
	}
	r := o.current[uniform(t, "request", len(o.current))]
	switch r.step() {
	case program.StepIntent:
		o.appendStep(t, r, r.exec.Intent(), r.exec.IntentDone)
	case program.StepOutcome:
		o.appendStep(t, r, r.exec.Outcome(), r.exec.OutcomeDone)
	case program.StepReserve:
		o.appendStep(t, r, r.call.Reserve(), r.call.ReserveDone)
	case program.StepTurn:
		o.appendStep(t, r, r.call.Turn(), r.call.TurnDone)
	case program.StepCheck:
		o.check(t, r)
	case program.StepSend:
		o.send(t, r)
	case program.StepDone:
		o.finish(t, r)
	}
}

func (r *request) step() program.Step {
	if r.exec != nil {
		return r.exec.Step()
	}
	return r.call.Step()
}

// appendStep submits a record. Once the owner has folded it, a later call reports the result to done; one in eight calls
// before that reports instead that the result is not known.
func (o *owner) appendStep(t *rapid.T, r *request, b record.Body, done func(rejection, err error) bool) {
	switch {
	case r.wait == nil:
		r.wait = o.append(b)
	case r.wait.folded:
		rejection := r.wait.rejection
		r.wait = nil
		done(rejection, nil)
	case uniform(t, "timeout", 8) == 7:
		r.wait = nil
		done(nil, errTimeout)
	}
}

// check draws the result of the lease check at random, because no property may depend on it.
func (o *owner) check(t *rapid.T, r *request) {
	var reason error
	if uniform(t, "lease", 8) == 7 {
		reason = errLease
	}
	if r.exec != nil {
		r.exec.Checked(reason)
	} else {
		r.call.Checked(reason)
	}
}

// send puts a request into the network, where it may stay after the owner has given up waiting for the answer.
func (o *owner) send(t *rapid.T, r *request) {
	failed := func(sent bool) {
		if r.exec != nil {
			r.exec.Failed(sent, errNetwork)
		} else {
			r.call.Failed(sent, errNetwork)
		}
	}
	switch gaveUp := uniform(t, "gaveUp", 8) == 7; {
	case !r.transmitted && gaveUp:
		failed(false)
	case !r.transmitted:
		r.transmitted = true
		o.world.network = append(o.world.network, r)
	case r.answered && r.exec != nil:
		r.exec.Answered(200, "text/plain", []byte(r.marker()))
	case r.answered:
		content, err := json.Marshal(r.marker())
		noError(t, err)
		r.call.Answered([]record.Message{{Role: "assistant", Content: content}}, record.Usage{Completion: r.used}, content)
	case gaveUp:
		failed(true)
	}
}

// finish reports the result to the caller, appends the cancel if there is one, and checks the result.
func (o *owner) finish(t *rapid.T, r *request) {
	o.current = slices.DeleteFunc(o.current, func(x *request) bool { return x == r })
	r.finished = true
	if r.call != nil {
		r.result = r.call.Answer()
	} else {
		r.result = r.exec.Answer()
		if c := r.exec.Cancel(); c != nil {
			o.append(c)
		}
	}
	switch {
	case r.result.Run == program.RunNot && r.arrived:
		t.Fatalf("R8: request %d ran and was reported to its caller as notRun", r.id)
	case r.result.Run == program.RunDone && !r.answered:
		t.Fatalf("R7: request %d got an answer that the target did not give", r.id)
	case r.result.Run == program.RunDone && r.call != nil:
		turns := append(slices.Clone(r.before), r.marker())
		o.world.confirmed = append(o.world.confirmed, history{r.program, turns})
	}
}
