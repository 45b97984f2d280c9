// Package hedge makes a call a second time while the first one is slow. The first success counts, so the calls must have the same
// effect whether one of them is applied or all.
package hedge

import (
	"context"
	"time"
)

// Outcome is how the calls of First have ended.
type Outcome[T any] struct {
	// Result is that of the first call that succeeded, if OK is true.
	Result T
	OK     bool
	// Errors are those of the calls that failed, in the order in which they ended.
	Errors []error
	// Running is the number of calls that have not ended.
	Running int
}

// First makes calls until one succeeds, none is left or the context ends. next returns a call, or nil if there is none. It is
// called for the first call, once more after the delay, and with the error of each call that fails. Calls that have not ended go
// on.
func First[T any](ctx context.Context, delay time.Duration, next func(failed error) func() (T, error)) (o Outcome[T]) {
	type end struct {
		result T
		err    error
	}
	ends, done := make(chan end), make(chan struct{})
	defer close(done)
	start := func(failed error) {
		call := next(failed)
		if call == nil {
			return
		}
		o.Running++
		go func() {
			var e end
			e.result, e.err = call()
			select {
			case ends <- e:
			case <-done:
			}
		}()
	}
	start(nil)
	slow := time.NewTimer(delay)
	defer slow.Stop()
	for o.Running > 0 {
		select {
		case e := <-ends:
			o.Running--
			if e.err == nil {
				o.Result, o.OK = e.result, true
				return o
			}
			o.Errors = append(o.Errors, e.err)
			start(e.err)
		case <-slow.C:
			start(nil)
		case <-ctx.Done():
			return o
		}
	}
	return o
}

// KeepDeadline returns a context that keeps the deadline of another one, or ends after a time if that has none, and drops its
// cancellation. A call whose caller has enough otherwise looks like one that the other side does not answer.
func KeepDeadline(ctx context.Context, timeout time.Duration) context.Context {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(timeout)
	}
	kept, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	context.AfterFunc(kept, cancel)
	return kept
}
