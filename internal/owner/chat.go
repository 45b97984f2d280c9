package owner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/comfreylink/comfreylink/internal/engine"
	"github.com/comfreylink/comfreylink/internal/peer"
	"github.com/comfreylink/comfreylink/internal/refusal"
	"github.com/comfreylink/comfreylink/internal/slots"
	"github.com/comfreylink/comfreylink/internal/targets"
	"github.com/comfreylink/comfreylink/pkg/config"
	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/program"
	"github.com/comfreylink/comfreylink/pkg/record"
	"github.com/comfreylink/comfreylink/pkg/turn"
)

// chatRun is a model call in progress.
type chatRun struct {
	call          peer.Call
	route         config.ModelRoute
	limits        config.Limits
	messages      []record.Message
	turns         int        // number of turns in the program's history
	promptTokens  ids.Tokens // upper bound of the tokens of messages
	maxTokens     ids.Tokens // most tokens to generate
	historyTokens ids.Tokens // tokens of the history, as the last target counted them; 0 if not known
	// mayHaveRun is set if an earlier attempt may have reached a target. A refusal must then not say that the call did
	// not run.
	mayHaveRun bool
}

// chat runs a model call of a program. The calls of a program run one at a time, in the order of arrival.
func (o *Owner) chat(ctx context.Context, r *slots.Run, c peer.Call, out *emitter) peer.Result {
	release, err := r.Queues.Acquire(ctx, queueNameOf(c))
	if err != nil {
		return refusal.ContextEnded(r, ctx, c, peer.NotRun)
	}
	defer release()
	if _, answer, done := admitChat(r, c); done {
		return answer
	}
	if !r.AwaitLog(ctx) {
		return refusal.WithRetryAfter(refusal.Of(c, peer.CodeLogUnavailable, peer.NotRun, "the log is unavailable, so the turn could not be kept"), time.Second)
	}
	run, answer, done := o.prepareChat(r, c)
	if done {
		return answer
	}
	item := run.item()
	o.Targets.Request()
	for attempt := 1; ; attempt++ {
		result, retry := o.attempt(ctx, r, run, item, attempt, out)
		if !retry {
			result.Refusal = refusal.CorrectRunState(result.Refusal, run.mayHaveRun)
			if result.Redirect != nil {
				result.Redirect.MayHaveRun = result.Redirect.MayHaveRun || run.mayHaveRun
			}
			return result
		}
		item.Excluded = append(item.Excluded, result.Trace.Target)
	}
}

// queueNameOf returns the name of the queue in which the calls of a program wait for each other.
func queueNameOf(c peer.Call) string { return programOf(c).QueueName() }

// programOf returns the program of a call.
func programOf(c peer.Call) slots.Program {
	return slots.Program{Workspace: c.Workspace, ID: c.Program}
}

// rootOf returns the root program of a call's program, which holds the budget.
func rootOf(c peer.Call) slots.Program {
	return slots.Program{Workspace: c.Workspace, ID: c.Program.Root()}
}

// attempt runs one turn at one target: it reserves tokens, sends the call and commits the turn. It returns retry if the
// call may be sent to another target.
func (o *Owner) attempt(ctx context.Context, r *slots.Run, run *chatRun, item dispatch.Item, attempt int, out *emitter) (result peer.Result, retry bool) {
	c := run.call
	t, result, ok := o.reserve(ctx, r, run)
	if !ok {
		return result, false
	}
	s, refused := o.Targets.Prepare(ctx, c, run.route.Model.Pool, item, nil)
	if refused == nil && r.Lost() {
		s.Grant.Unused()
		o.Targets.Done(s.Place, dispatch.NotSent, record.Usage{})
		refused = &peer.Refusal{Code: peer.CodeOwnerUnavailable, Run: peer.NotRun, Message: "the slot has another owner"}
	}
	r.Locked(func() {
		if refused != nil {
			t.Checked(refused)
		} else {
			t.Checked(nil)
		}
	})
	if refused != nil {
		return refusedBeforeSend(r, c, refused), false
	}
	result.Trace.Target = s.Place.Target
	a, err := o.sendChat(ctx, s, run, attempt, out)
	o.endPlacement(c, s, a.Usage, err)
	if err != nil {
		r.Locked(func() {
			t.Failed(targets.MayHaveReached(err), err)
		})
		result.Refusal = o.refusalAfterFailure(ctx, c, err, attempt, out)
		if result.Refusal == nil {
			run.mayHaveRun = run.mayHaveRun || targets.MayHaveReached(err)
			return result, true
		}
		result.Refusal.RequestKey = c.RequestKey
		return result, false
	}
	return o.commitTurn(ctx, r, run, t, a, s.Place.Target), false
}

// refusedBeforeSend returns the result of a call that was not sent: a redirect if the slot was lost, because another
// owner then answers, and otherwise the refusal.
func refusedBeforeSend(r *slots.Run, c peer.Call, refused *peer.Refusal) peer.Result {
	if r.Lost() {
		return peer.Result{Redirect: &peer.Redirect{Epoch: r.Epoch}}
	}
	refused.RequestKey = c.RequestKey
	return peer.Result{Refusal: refused}
}

// endPlacement reports to the dispatcher and to the quarantine how an attempt at a target ended.
func (o *Owner) endPlacement(c peer.Call, s targets.Attempt, u record.Usage, err error) {
	if err == nil {
		o.Targets.Done(s.Place, dispatch.Completed, u)
		o.Targets.Survived(c.Workspace, c.Fingerprint)
		return
	}
	o.Targets.Done(s.Place, targets.OutcomeOf(err, time.Since(s.Ready)), record.Usage{})
	if targets.ConnectionBroke(err) {
		o.Targets.ReportDeath(c.Workspace, c.Fingerprint, s.Place.Target)
	}
}

// admitChat decides whether a call runs. It reports done if the call must not run; result is then the stored turn of an
// earlier call with the same key, a refusal or a redirect. state is the program's state at that moment.
func admitChat(r *slots.Run, c peer.Call) (state program.ProgramState, result peer.Result, done bool) {
	var d program.Decision
	r.View(func(s *program.Slot) {
		d = s.Admit(program.Request{Workspace: c.Workspace, Key: c.RequestKey, Fingerprint: c.Fingerprint, Epoch: r.Epoch})
		state, _ = s.Program(c.Workspace, c.Program)
	})
	result, done = resultOf(c, d, r.Epoch)
	return state, result, done
}

// resultOf returns the result of a call that must not run, according to the decision on it.
func resultOf(c peer.Call, d program.Decision, epoch ids.Epoch) (result peer.Result, done bool) {
	switch d.Action {
	case program.ActionRun:
		return peer.Result{}, false
	case program.ActionReplay:
		var stored peer.ChatResult
		if err := json.Unmarshal(d.State.Response, &stored); err != nil {
			return refusal.Of(c, peer.CodeAnswerTooLarge, peer.Ran, "the call ran and its answer is not stored"), true
		}
		return peer.Result{Chat: &stored, Trace: peer.Trace{Replayed: true}}, true
	case program.ActionKeyReused:
		return refusal.Of(c, peer.CodeKeyReused, peer.NotRun, "the key belongs to a request with another content"), true
	case program.ActionNotOwner:
		return peer.Result{Redirect: &peer.Redirect{Epoch: epoch}}, true
	default:
		return refusal.Of(c, peer.CodeUndecided, peer.Unknown, "an earlier request with this key may have run"), true
	}
}

// prepareChat looks up the route, the limits and the history of a call. It reports done if the call must not run. The call
// is admitted again together with the reading of the history: while it waited for the log, the turn of an earlier call with
// the same key may have been kept, and it must not run on a history that holds its own turn.
func (o *Owner) prepareChat(r *slots.Run, c peer.Call) (run *chatRun, result peer.Result, done bool) {
	run, refused := o.routeChat(c)
	if refused != nil {
		return nil, peer.Result{Refusal: refused}, true
	}
	state, result, done := admitChat(r, c)
	if done {
		return nil, result, true
	}
	if maxTurns := run.route.Program.MaxTurns; maxTurns > 0 && state.Turns >= maxTurns {
		return nil, refusal.Of(c, peer.CodeTurnLimit, peer.NotRun, fmt.Sprintf("the program has had its %d turns", maxTurns)), true
	}
	run.turns = state.Turns
	run.messages = append(state.Messages[:len(state.Messages):len(state.Messages)], c.Chat.Messages...)
	counted := 0
	if run.historyTokens = r.CountedTokens(programOf(c), len(state.Messages)); run.historyTokens > 0 {
		counted = len(state.Messages)
	}
	run.promptTokens = run.historyTokens + tokenBound(run.messages[counted:])
	return run, peer.Result{}, false
}

// routeChat looks up the route and the limits of a call, without the history of its program.
func (o *Owner) routeChat(c peer.Call) (run *chatRun, refused *peer.Refusal) {
	view := o.Targets.Catalog.Current()
	route, ok := view.Model(c.Workspace, c.Chat.Model)
	if !ok {
		return nil, &peer.Refusal{Code: peer.CodeUnknownModel, Run: peer.NotRun, Message: fmt.Sprintf("the workspace has no model %q", c.Chat.Model), RequestKey: c.RequestKey}
	}
	limits, _ := view.Limits(c.Workspace)
	run = &chatRun{call: c, route: route, limits: limits, messages: c.Chat.Messages, maxTokens: c.Chat.MaxTokens}
	if run.maxTokens == 0 {
		run.maxTokens = route.Model.DefaultMaxTokens
	}
	run.promptTokens = tokenBound(run.messages)
	return run, nil
}

// tokenBound returns an upper bound of the number of tokens of messages: their number of bytes, since a token has at
// least one byte.
func tokenBound(messages []record.Message) (t ids.Tokens) {
	for _, m := range messages {
		t += ids.Tokens(m.Size())
	}
	return t
}

// reserveChunk is the number of tokens of which reservations are multiples, so that most calls find enough tokens
// reserved and need no reserve record.
const reserveChunk ids.Tokens = 16384

// budgetPollInterval is how often a waiting call checks whether other calls of its root program have left it enough
// budget.
const budgetPollInterval = 20 * time.Millisecond

// reserve starts a turn and holds the tokens that it may use, within an accepted reservation of its root program. It
// appends a reserve record if the reservation is too small, and waits while calls in progress hold the budget.
func (o *Owner) reserve(ctx context.Context, r *slots.Run, run *chatRun) (t *turn.Call, result peer.Result, ok bool) {
	c := run.call
	record := record.Turn{
		Epoch:       r.Epoch,
		Workspace:   c.Workspace,
		Program:     c.Program,
		Index:       run.turns,
		Key:         c.RequestKey,
		Fingerprint: c.Fingerprint,
		UnixMilli:   time.Now().UnixMilli(),
	}
	for {
		r.WithLedger(rootOf(c), run.limits.Budget, func(l *turn.Ledger) {
			t = turn.New(record, run.promptTokens+run.maxTokens, reserveChunk, l)
		})
		for t.Step() == program.StepReserve {
			rejection, err := r.Append(ctx, t.Reserve())
			r.Locked(func() {
				t.ReserveDone(rejection, err)
			})
			if rejection != nil || err != nil {
				return t, refusal.AppendFailed(r, c, peer.NotRun, rejection, err), false
			}
		}
		switch {
		case t.Step() == program.StepCheck:
			return t, result, true
		case errors.Is(t.Answer().Reason, turn.ErrBudget):
			return t, refusal.Of(c, peer.CodeBudget, peer.NotRun, fmt.Sprintf("the program's budget of %d tokens does not cover the call", run.limits.Budget)), false
		}
		select {
		case <-time.After(budgetPollInterval):
		case <-ctx.Done():
			return t, refusal.ContextEnded(r, ctx, c, peer.NotRun), false
		}
	}
}

// item returns the description of a call for the dispatcher.
func (run *chatRun) item() dispatch.Item {
	c := run.call
	item := dispatch.Item{
		Workspace:    c.Workspace,
		Weight:       float64(run.limits.Weight),
		Program:      c.Program,
		Prompt:       tokenBound(run.messages) / bytesPerToken,
		Output:       run.maxTokens,
		PrefixTokens: run.historyTokens,
		Idempotent:   true,
		Fingerprint:  c.Fingerprint,
	}
	if c.Program != "" {
		item.Prefix = targets.PrefixOf(c.Workspace, c.Program)
	}
	if run.historyTokens > 0 {
		item.Prompt = run.historyTokens + (run.promptTokens-run.historyTokens)/bytesPerToken
	}
	return item
}

// runUnowned sends a model call that belongs to no program to one target after another until one answers or no retry is
// allowed.
func (o *Owner) runUnowned(ctx context.Context, run *chatRun, out *emitter) (a engine.Answer, target ids.TargetID, refused *peer.Refusal) {
	item := run.item()
	o.Targets.Request()
	for attempt := 1; ; attempt++ {
		s, r := o.Targets.Prepare(ctx, run.call, run.route.Model.Pool, item, nil)
		if r != nil {
			return a, target, refusal.CorrectRunState(r, run.mayHaveRun)
		}
		target = s.Place.Target
		a, err := o.sendChat(ctx, s, run, attempt, out)
		o.endPlacement(run.call, s, a.Usage, err)
		if err == nil {
			return a, target, nil
		}
		if refused := o.refusalAfterFailure(ctx, run.call, err, attempt, out); refused != nil {
			return a, target, refusal.CorrectRunState(refused, run.mayHaveRun)
		}
		run.mayHaveRun = run.mayHaveRun || targets.MayHaveReached(err)
		item.Excluded = append(item.Excluded, target)
	}
}

// bytesPerToken is the estimate for placement, where a rough number of tokens is enough.
const bytesPerToken = 4

// sendChat sends a model call to a target once. If the stream breaks, it is resumed at the same target once.
func (o *Owner) sendChat(ctx context.Context, s targets.Attempt, run *chatRun, attempt int, out *emitter) (a engine.Answer, err error) {
	c := run.call
	req := engine.Request{
		ID:        fmt.Sprintf("%s.%s.%d.%d", o.Self, c.RequestKey, o.attempts.Add(1), attempt),
		Model:     c.Chat.Model,
		Messages:  run.messages,
		MaxTokens: run.maxTokens,
		Options:   c.Chat.Extra,
		Workspace: c.Workspace,
		Program:   c.Program,
	}
	used := sync.OnceFunc(s.Grant.Used)
	defer used()
	emit := func(ch engine.Chunk) error {
		used()
		out.add(deltaText(ch.Delta))
		return nil
	}
	a, err = o.Targets.Chat(ctx, s.Place.Address, req, emit)
	if err != nil && targets.ConnectionBroke(err) && ctx.Err() == nil {
		// If the resumption fails, the first error is returned: the call was sent, and the target may have died of it.
		if resumed, resumeErr := o.Targets.Resume(ctx, s.Place.Address, req.ID, a, emit); resumeErr == nil {
			return resumed, nil
		}
	}
	return a, err
}

// deltaText returns the text of an engine's delta, or "" if it has none.
func deltaText(raw json.RawMessage) string {
	var d struct {
		Content string `json:"content"`
	}
	if json.Unmarshal(raw, &d) != nil {
		return ""
	}
	return d.Content
}

// refusalAfterFailure returns the refusal after a failed attempt, or nil if the call may be sent to another target.
func (o *Owner) refusalAfterFailure(ctx context.Context, c peer.Call, err error, attempt int, out *emitter) *peer.Refusal {
	run := peer.Ran
	if !targets.MayHaveReached(err) {
		run = peer.NotRun
	}
	switch {
	case ctx.Err() != nil:
		return &peer.Refusal{Code: peer.CodeDeadline, Run: run, Message: "the deadline passed while a target ran the call"}
	case targets.BadStatus(err) >= 400 && targets.BadStatus(err) < 500:
		return &peer.Refusal{Code: peer.CodeBadRequest, Run: peer.NotRun, Message: "the target refused the request: " + refusal.RootMessage(err)}
	case out.started():
		return &peer.Refusal{Code: peer.CodeTargetFailed, Run: run, Message: "the target failed in mid-answer: " + refusal.RootMessage(err)}
	case !o.Targets.MayRetry(ctx, c, err, attempt):
		return &peer.Refusal{Code: peer.CodeTargetFailed, Run: run, Message: "targets failed: " + refusal.RootMessage(err), RetryAfterMillis: 1000}
	}
	return nil
}
