// Package owner runs the calls of the slots that this instance owns: in order for each program, at most once for each
// request key, within budgets, with every lasting step in the slot's log stream first.
package owner

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/journal"
	"github.com/comfreylink/comfreylink/internal/peer"
	"github.com/comfreylink/comfreylink/pkg/config"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/replay"
)

// Streams opens the journal of a slot's stream.
type Streams interface {
	Open(s ids.Slot, fold replay.Fold) (j *journal.Journal, cleanup func(), err error)
}

// Lease tells whether this instance may act as the owner of its slots.
type Lease interface {
	LeaseValid(now time.Time) bool
}

// Catalog is the configuration in force.
type Catalog interface {
	Current() *config.View
}

// Config configures an Owner.
type Config struct {
	Self         ids.WriterID
	Instance     ids.InstanceID
	KeyRetention time.Duration
	Streams      Streams
	Lease        Lease
	Catalog      Catalog
	Targets      Targets
	Logger       *zap.Logger
}

// Owner holds the slots of this instance.
type Owner struct {
	Config
	mu       sync.Mutex
	slots    map[ids.Slot]*slotRun
	attempts int64
	stopped  bool
	running  sync.WaitGroup
}

// New returns an owner without slots. The returned cleanup gives up all slots without releasing them in the log, and
// waits for their tasks.
func New(c Config) (o *Owner, cleanup func()) {
	o = &Owner{Config: c, slots: map[ids.Slot]*slotRun{}}
	return o, o.close
}

func (o *Owner) close() {
	o.mu.Lock()
	o.stopped = true
	for s, r := range o.slots {
		r.cancel()
		delete(o.slots, s)
	}
	o.mu.Unlock()
	o.running.Wait()
}

// Update opens the slots that are new and drops those that are gone or have another epoch.
func (o *Owner) Update(owned map[ids.Slot]ids.Epoch) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopped {
		return
	}
	for s, r := range o.slots {
		if owned[s] != r.epoch {
			r.cancel()
			delete(o.slots, s)
		}
	}
	for s, e := range owned {
		if o.slots[s] == nil {
			o.slots[s] = o.startSlot(s, e)
		}
	}
}

func (o *Owner) slot(s ids.Slot) *slotRun {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.slots[s]
}

func (o *Owner) nextAttempt() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.attempts++
	return o.attempts
}

// Call runs a call as the owner of its slot. The result redirects if this instance does not own the slot or is handing
// it over. The call goes on when ctx ends early, within its own deadline, so that a repeated request finds its answer.
func (o *Owner) Call(ctx context.Context, s ids.Slot, c peer.Call, onDelta func(string)) peer.Result {
	r := o.slot(s)
	if r == nil || !r.enter() {
		return peer.Result{Redirect: &peer.Redirect{}}
	}
	out := &emitter{forward: onDelta}
	done := make(chan peer.Result, 1)
	go func() {
		defer r.leave()
		work, cancel := context.WithTimeout(r.ctx, time.Duration(c.DeadlineMillis)*time.Millisecond)
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
		return peer.Result{Redirect: &peer.Redirect{Epoch: r.epoch, MayHaveRun: true}}
	}
}

func (o *Owner) run(ctx context.Context, r *slotRun, c peer.Call, out *emitter) peer.Result {
	select {
	case <-r.ready:
	case <-ctx.Done():
		return r.ended(ctx, c, peer.NotRun)
	}
	switch c.Kind {
	case peer.KindChat:
		return o.chat(ctx, r, c, out)
	case peer.KindService:
		return o.service(ctx, r, c)
	case peer.KindEnd:
		return o.end(ctx, r, c)
	default:
		return refused(c, peer.CodeBadRequest, peer.NotRun, "unknown kind of call")
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

func refused(c peer.Call, code peer.Code, run peer.RunState, message string) peer.Result {
	return peer.Result{Refusal: &peer.Refusal{Code: code, Run: run, Message: message, RequestKey: c.RequestKey}}
}

func retryLater(r peer.Result, after time.Duration) peer.Result {
	r.Refusal.RetryAfterMillis = ids.Millis(after)
	return r
}
