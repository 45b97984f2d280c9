// Package alive asks other instances whether they run. One that waits for a slow log answers a call late, which is no sign that it is
// gone.
package alive

import (
	"context"
	"time"

	"github.com/comfreylink/comfreylink/internal/rpc"
)

// method is the name of the method that is answered at once.
const method = "alive"

const (
	// Interval is how often an instance that has not answered a call is asked.
	Interval = 200 * time.Millisecond
	// timeout is how long it has for that answer.
	timeout = 100 * time.Millisecond
)

// Caller calls methods of other instances.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Methods returns the methods that other instances call.
func Methods() map[string]rpc.Method {
	return map[string]rpc.Method{
		method: rpc.Typed(func(context.Context, struct{}) (any, error) { return struct{}{}, nil }),
	}
}

// Ask asks an instance whether it runs. It returns an error if there is no answer in time.
func Ask(ctx context.Context, c Caller, address string) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.Call(ctx, address, method, struct{}{}, &struct{}{})
}

// Watch returns a context for a call to an instance that ends early if the instance does not answer that it runs. It is asked after
// a delay, and then every Interval, until stop is called.
func Watch(ctx context.Context, c Caller, address string, delay time.Duration) (watched context.Context, stop func()) {
	watched, cancel := context.WithCancelCause(ctx)
	first := time.AfterFunc(delay, func() { watch(watched, c, address, cancel) })
	return watched, func() {
		first.Stop()
		cancel(nil)
	}
}

func watch(ctx context.Context, c Caller, address string, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if err := Ask(ctx, c, address); err != nil {
			cancel(err)
			return
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}
