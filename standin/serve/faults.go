package serve

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Faults holds the current faults of a stand-in. F is a struct whose zero value means no faults. It is safe for concurrent
// use.
type Faults[F any] struct {
	mu      sync.Mutex
	current F
	changed chan struct{} // closed and replaced by Set
}

// NewFaults returns a holder without faults.
func NewFaults[F any]() *Faults[F] { return &Faults[F]{changed: make(chan struct{})} }

// Get returns the current faults.
func (f *Faults[F]) Get() F {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// Set replaces the faults and unblocks all calls of Hang.
func (f *Faults[F]) Set(v F) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = v
	close(f.changed)
	f.changed = make(chan struct{})
}

// Consume returns the current faults and then lets countDown change them for the next request. It is for faults that apply
// to a limited number of requests.
func (f *Faults[F]) Consume(countDown func(*F)) F {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.current
	countDown(&f.current)
	return before
}

// Hang blocks until Set is called or done is closed.
func (f *Faults[F]) Hang(done <-chan struct{}) {
	f.mu.Lock()
	changed := f.changed
	f.mu.Unlock()
	select {
	case <-changed:
	case <-done:
	}
}

// Handle serves /faults. GET returns the faults, POST replaces all of them, and POST with an empty object clears them.
func (f *Faults[F]) Handle(ctx *fasthttp.RequestCtx) {
	if ctx.IsPost() {
		var v F
		if err := json.Unmarshal(ctx.PostBody(), &v); err != nil {
			Fail(ctx, fasthttp.StatusBadRequest, err.Error())
			return
		}
		f.Set(v)
	}
	JSON(ctx, fasthttp.StatusOK, f.Get())
}

// Pause blocks for the given number of milliseconds or until done is closed.
func Pause(done <-chan struct{}, millis int64) {
	if millis <= 0 {
		return
	}
	t := time.NewTimer(time.Duration(millis) * time.Millisecond)
	defer t.Stop()
	select {
	case <-t.C:
	case <-done:
	}
}
