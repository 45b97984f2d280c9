// Package owner runs the calls of the slots that this instance owns. It runs the calls of a program in order and within
// its budget, and a non-idempotent request at most once for each request key. Every step that must survive a restart is
// first appended to the slot's log stream.
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

// Owner runs calls as the owner of their slots.
type Owner struct {
	Config
	// attempts numbers the requests to engines, so that their ids differ.
	attempts atomic.Int64
	keys     *keyUses
}

// New returns an Owner.
func New(c Config) *Owner { return &Owner{Config: c, keys: newKeyUses()} }

// Call runs a call as the owner of its slot. It returns a redirect if this instance does not own the slot or is handing
// it over. If ctx ends before the call does, the call continues until its own deadline, so that a repeated request finds
// its answer.
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

// run waits until the slot is open and runs a call of any kind.
func (o *Owner) run(ctx context.Context, r *slots.Run, c peer.Call, out *emitter) peer.Result {
	select {
	case <-r.Ready():
	case <-ctx.Done():
		return refusal.ContextEnded(r, ctx, c, peer.NotRun)
	}
	switch c.Kind {
	case peer.KindChat:
		o.keys.begin(c)
		result := o.chat(ctx, r, c, out)
		return o.keys.end(time.Now(), c, result)
	case peer.KindService:
		return o.Services.Run(ctx, r, c)
	case peer.KindEnd:
		return o.end(ctx, r, c)
	default:
		return refusal.Of(c, peer.CodeBadRequest, peer.NotRun, "unknown kind of call")
	}
}

// emitter forwards the deltas of an answer until stop is called.
type emitter struct {
	mu sync.Mutex
	// forward is nil if the caller does not stream, and after stop.
	forward func(string)
	// emitted is set when a delta has been forwarded.
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

// started reports whether a part of the answer has been forwarded to the caller.
func (e *emitter) started() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.emitted
}
