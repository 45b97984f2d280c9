package owner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/peer"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// end ends a program after its calls in progress.
func (o *Owner) end(ctx context.Context, r *slotRun, c peer.Call) peer.Result {
	release, err := r.lines.acquire(ctx, programLine(c))
	if err != nil {
		return r.ended(ctx, c, peer.NotRun)
	}
	defer release()
	known := false
	r.journal.View(func() { _, known = r.fold.Program(c.Workspace, c.Program) })
	if !known {
		return refused(c, peer.CodeUnknownRoute, peer.NotRun, "the program does not exist or has ended")
	}
	verdict, err := r.append(ctx, &record.End{Epoch: r.epoch, Workspace: c.Workspace, Program: c.Program})
	if err != nil || verdict != nil {
		return r.notAppended(c, peer.Unknown, verdict, err)
	}
	r.forget(programKey{c.Workspace, c.Program})
	return peer.Result{}
}

func (r *slotRun) forget(k programKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.tokens, k)
	if k.program.Root() == k.program {
		delete(r.ledgers, k)
	}
}

// Unowned reports whether a call needs no owner: it belongs to no program and may be repeated.
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
	route, refusal := o.routeService(c)
	return refusal != nil || route.Repeatable(c.Service.Method)
}

// RunUnowned runs a repeatable call that belongs to no program. It needs no log.
func (o *Owner) RunUnowned(ctx context.Context, c peer.Call, onDelta func(string)) peer.Result {
	if c.Kind == peer.KindService {
		route, refusal := o.routeService(c)
		if refusal != nil {
			return peer.Result{Refusal: refusal}
		}
		return o.runRepeatable(ctx, c, route)
	}
	run, refusal := o.routeChat(c)
	if refusal != nil {
		return peer.Result{Refusal: refusal}
	}
	if run.prompt+run.max > run.limits.Budget {
		return refused(c, peer.CodeBudget, peer.NotRun, "the budget of a program does not cover the call")
	}
	answer, target, refusal := o.runUnowned(ctx, run, &emitter{forward: onDelta})
	if refusal != nil {
		refusal.RequestKey = c.RequestKey
		return peer.Result{Refusal: refusal, Trace: peer.Trace{Target: target}}
	}
	result := &peer.ChatResult{Content: contentText(answer.Message), Finish: answer.FinishReason, Usage: answer.Usage, Message: answer.Message}
	return peer.Result{Chat: result, Trace: peer.Trace{Target: target}}
}

// EndIdle ends the programs that were not used for longer than their template allows. It returns how many it ended.
func (o *Owner) EndIdle(ctx context.Context, now time.Time, idle time.Duration) (ended int) {
	for _, r := range o.ready() {
		ended += r.endIdle(ctx, now, idle)
	}
	return ended
}

func (r *slotRun) endIdle(ctx context.Context, now time.Time, idle time.Duration) (ended int) {
	var ends []*record.End
	r.journal.View(func() { ends = r.fold.Idle(now, idle) })
	for _, e := range ends {
		e.Epoch = r.epoch
		verdict, err := r.append(ctx, e)
		if err != nil {
			return ended
		}
		if verdict == nil {
			r.forget(programKey{e.Workspace, e.Program})
			ended++
		}
	}
	return ended
}

// WriteSnapshots writes a snapshot of each owned slot's stream that is due.
func (o *Owner) WriteSnapshots(ctx context.Context, due func(ids.Slot) bool) {
	for _, r := range o.ready() {
		if !due(r.slot) {
			continue
		}
		// A slot that is handed over meanwhile gets its snapshots from its next owner.
		if err := r.journal.WriteSnapshot(ctx); err != nil && r.ctx.Err() == nil && ctx.Err() == nil {
			events.Log(o.Logger, events.InternalError, zap.Int("slot", int(r.slot)), zap.Error(err))
		}
	}
}

// ready returns the slots that are open.
func (o *Owner) ready() (runs []*slotRun) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range o.slots {
		if r.open() {
			runs = append(runs, r)
		}
	}
	return runs
}
