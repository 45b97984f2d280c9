package recordgate

import (
	"context"
	"time"

	"github.com/comfreylink/comfreylink/pkg/admission"
)

const (
	// maxPrepareTime bounds how long a request waits for the log before it is sent, if the log is not slow.
	maxPrepareTime = 700 * time.Millisecond
	// maxPrepareWithoutDeadline bounds it for a request without a deadline.
	maxPrepareWithoutDeadline = 5 * time.Second
	// preparePoll is how often a request that has waited for longer checks that the log is still slow.
	preparePoll = 100 * time.Millisecond
)

// Prepare returns a context for what a request needs of the log before it is sent. It ends when a working log would have done it, as
// far as its answers tell, and at the latest when the request could not run and be recorded any more. A request is given maxPrepareTime
// in any case, because its run time is an estimate.
func (g *Gate) Prepare(ctx context.Context, now time.Time, r admission.Request) (context.Context, context.CancelFunc) {
	usual, left := maxPrepareTime, maxPrepareWithoutDeadline
	if !r.Deadline.IsZero() {
		left = r.Deadline.Sub(now)
		usual = min(usual, left)
	}
	if g == nil {
		return context.WithTimeout(ctx, usual)
	}
	ctx, end := context.WithTimeout(ctx, left)
	ctx, cancel := context.WithCancelCause(ctx)
	var check func()
	check = func() {
		waited := g.Now().Sub(now)
		switch {
		case ctx.Err() != nil:
		case waited < g.mayPrepare(now, r):
			time.AfterFunc(preparePoll, check)
		default:
			cancel(context.DeadlineExceeded)
		}
	}
	first := time.AfterFunc(usual, check)
	return ctx, func() {
		first.Stop()
		cancel(nil)
		end()
	}
}

// mayPrepare returns how long a request that began at a time may wait for the log before it is sent.
func (g *Gate) mayPrepare(began time.Time, r admission.Request) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	limit := g.gate.MaxWait(now)
	if !r.Deadline.IsZero() {
		limit = min(limit, r.Deadline.Sub(began)-r.Run-g.gate.ExpectedWrite(now))
	}
	return limit
}
