package owner

import (
	"context"

	"github.com/comfreylink/comfreylink/internal/peer"
	"github.com/comfreylink/comfreylink/internal/refusal"
	"github.com/comfreylink/comfreylink/internal/slots"
	"github.com/comfreylink/comfreylink/pkg/program"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// end ends a program after the calls that arrived before have ended.
func (o *Owner) end(ctx context.Context, r *slots.Run, c peer.Call) peer.Result {
	release, err := r.Queues.Acquire(ctx, queueNameOf(c))
	if err != nil {
		return refusal.ContextEnded(r, ctx, c, peer.NotRun)
	}
	defer release()
	known := false
	r.View(func(s *program.Slot) { _, known = s.Program(c.Workspace, c.Program) })
	if !known {
		return refusal.Of(c, peer.CodeUnknownRoute, peer.NotRun, "the program does not exist or has ended")
	}
	rejection, err := r.Append(ctx, &record.End{Epoch: r.Epoch, Workspace: c.Workspace, Program: c.Program})
	if err != nil || rejection != nil {
		return refusal.AppendFailed(r, c, peer.Unknown, rejection, err)
	}
	r.Forget(slots.Program{Workspace: c.Workspace, ID: c.Program})
	return peer.Result{}
}

// Unowned reports whether any instance may run a call because it belongs to no program and is idempotent. An unknown
// service counts as unowned too, since any instance can refuse it.
func (o *Owner) Unowned(c peer.Call) bool {
	if c.Program != "" {
		return false
	}
	if c.Kind == peer.KindChat {
		return true
	}
	if c.Kind != peer.KindService {
		return false
	}
	route, refused := o.Services.Route(c)
	return refused != nil || route.Idempotent(c.Service.Method)
}

// RunUnowned runs an idempotent call that belongs to no program. It appends nothing to the log.
func (o *Owner) RunUnowned(ctx context.Context, c peer.Call, onDelta func(string)) peer.Result {
	if c.Kind == peer.KindService {
		route, refused := o.Services.Route(c)
		if refused != nil {
			return peer.Result{Refusal: refused}
		}
		return o.Services.RunIdempotent(ctx, c, route)
	}
	run, refused := o.routeChat(c)
	if refused != nil {
		return peer.Result{Refusal: refused}
	}
	if run.promptTokens+run.maxTokens > run.limits.Budget {
		return refusal.Of(c, peer.CodeBudget, peer.NotRun, "the budget of a program does not cover the call")
	}
	answer, target, refused := o.runUnowned(ctx, run, &emitter{forward: onDelta})
	if refused != nil {
		refused.RequestKey = c.RequestKey
		return peer.Result{Refusal: refused, Trace: peer.Trace{Target: target}}
	}
	result := &peer.ChatResult{Content: contentText(answer.Message), Finish: answer.FinishReason, Usage: answer.Usage, Message: answer.Message}
	return peer.Result{Chat: result, Trace: peer.Trace{Target: target}}
}
