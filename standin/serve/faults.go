package serve

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Faults holds the faults of a stand-in; F is a struct whose zero value means that there are none.
type Faults[F any] struct {
	mu      sync.Mutex
	current F
	changed chan struct{}
}

// NewFaults returns a holder without faults.
func NewFaults[F any]() *Faults[F] { return &Faults[F]{changed: make(chan struct{})} }

// Get returns the present faults.
func (f *Faults[F]) Get() F {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// Set replaces the faults and releases the requests that hang.
func (f *Faults[F]) Set(v F) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = v
	close(f.changed)
	f.changed = make(chan struct{})
}

// Take returns the present faults after take has changed them, for faults that count down.
func (f *Faults[F]) Take(take func(*F)) F {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.current
	take(&f.current)
	return before
}

// Hang waits until the faults change or done is closed.
func (f *Faults[F]) Hang(done <-chan struct{}) {
	f.mu.Lock()
	changed := f.changed
	f.mu.Unlock()
	select {
	case <-changed:
	case <-done:
	}
}

// Handle serves /faults: GET shows the faults, POST replaces them all; an empty object ends them.
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

// Pause waits for a number of milliseconds or until done is closed.
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
