// Package owner runs the calls of the slots that this instance owns: in order for each program, at most once for each
// request key, within budgets, with every lasting step in the slot's log stream first.
package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/comfreylink/comfreylink/internal/peer"
	"github.com/comfreylink/comfreylink/internal/refusal"
	"github.com/comfreylink/comfreylink/internal/services"
	"github.com/comfreylink/comfreylink/internal/slots"
	"github.com/comfreylink/comfreylink/internal/targets"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Config configures an Owner.
type Config struct {
	Self     ids.WriterID
	Instance ids.InstanceID
	Slots    *slots.Slots
	Targets  targets.Access
	Services *services.Services
}

// Owner runs calls.
type Owner struct {
	Config
	attempts atomic.Int64
}

// New returns an owner of the calls of some slots.
func New(c Config) *Owner { return &Owner{Config: c} }

// Call runs a call as the owner of its slot. The result redirects if this instance does not own the slot or is handing
// it over. The call goes on when ctx ends early, within its own deadline, so that a repeated request finds its answer.
func (o *Owner) Call(ctx context.Context, s ids.Slot, c peer.Call, onDelta func(string)) peer.Result {
	r := o.Slots.Slot(s)
	if r == nil || !r.Enter() {
		return peer.Result{Redirect: &peer.Redirect{}}
	}
	out := &emitter{forward: onDelta}
	done := make(chan peer.Result, 1)
	go func() {
		defer r.Leave()
		work, cancel := context.WithTimeout(r.Context(), time.Duration(c.DeadlineMillis)*time.Millisecond)
		defer cancel()
		result := o.run(work, r, c, out)
		result.Trace.Owner = o.Instance
		done <- result
	}()
	select {
	case result := <-done:
		return result
	case <-ctx.Done():
		out.stop()
		return peer.Result{Redirect: &peer.Redirect{Epoch: r.Epoch, MayHaveRun: true}}
	}
}

func (o *Owner) run(ctx context.Context, r *slots.Run, c peer.Call, out *emitter) peer.Result {
	select {
	case <-r.Ready():
	case <-ctx.Done():
		return refusal.ContextEnded(r, ctx, c, peer.NotRun)
	}
	switch c.Kind {
	case peer.KindChat:
		return o.chat(ctx, r, c, out)
	case peer.KindService:
		return o.Services.Run(ctx, r, c)
	case peer.KindEnd:
		return o.end(ctx, r, c)
	default:
		return refusal.Of(c, peer.CodeBadRequest, peer.NotRun, "unknown kind of call")
	}
}

// emitter passes deltas on until the caller of Call has gone.
type emitter struct {
	mu      sync.Mutex
	forward func(string)
	emitted bool
}

func (e *emitter) add(text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.forward != nil && text != "" {
		e.emitted = true
		e.forward(text)
	}
}

func (e *emitter) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forward = nil
}

// started reports whether the caller has seen a part of the answer.
func (e *emitter) started() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.emitted
}
