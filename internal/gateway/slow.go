package gateway

import (
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/comfreylink/comfreylink/internal/httpwire"
	"github.com/comfreylink/comfreylink/internal/waitqueue"
	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/retry"
)

const (
	// slowFactor and minSlow say when an attempt is too slow: its answer has not begun after slowFactor times the expected time,
	// and at least minSlow, because short times vary more.
	slowFactor = 4
	minSlow    = 300 * time.Millisecond
	// slowReserve is how many second attempts are allowed before any requests have filled the budget.
	slowReserve = 2
	// reasonTooSlow is the reason of attempts that were given up for a second target.
	reasonTooSlow = "tooSlow"
)

// newSlowRetries returns the budget of second attempts of slow requests, for a share of all requests.
func newSlowRetries(share float64) *retry.Budget {
	o := retry.Options{Share: share, MaxAttempts: maxPlacements}
	if share > 0 {
		o.Reserve = slowReserve
	}
	return retry.NewBudget(o)
}

// slowWatch closes the connection of an attempt whose answer does not begin in time. Its state changes once, from watching to
// one of the others. A nil slowWatch watches nothing.
type slowWatch struct {
	timer *time.Timer
	state atomic.Int32
}

// States of a slowWatch.
const (
	slowWatching int32 = iota
	slowAnswered
	slowGivenUp
)

// watchSlow starts to watch an attempt, if its request may be repeated and there will be time for a second target.
func (e *exchange) watchSlow(p waitqueue.Placement, conn *httpwire.Conn) *slowWatch {
	if e.Settings.Dispatch.SlowRetries == 0 {
		return nil
	}
	if e.attempts == 1 {
		e.mu.Lock()
		e.slowRetries.Request()
		e.mu.Unlock()
	}
	if p.Expected == 0 || !e.route.Idempotent() || e.events > 0 || e.attempts >= e.route.MaxAttempts {
		return nil
	}
	w := new(slowWatch)
	attempts, latest := e.attempts, e.deadline.Add(-slowFactor/2*p.Expected)
	w.timer = time.AfterFunc(max(slowFactor*p.Expected, minSlow), func() {
		if e.allowSecondAttempt(attempts, latest) && w.state.CompareAndSwap(slowWatching, slowGivenUp) {
			conn.Close()
		}
	})
	return w
}

// allowSecondAttempt reports whether a slow request may be sent to a second target, and spends from the budget for that. The
// second attempt must begin before the latest time.
func (e *exchange) allowSecondAttempt(attempts int, latest time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, why := e.slowRetries.Decide(e.now(), retry.Failure{Idempotent: true, Sent: true, Attempts: attempts, Deadline: latest}, rand.New(rand.NewPCG(0, 0)))
	return why == ""
}

// stop ends the watch and reports whether the attempt was given up.
func (w *slowWatch) stop() (givenUp bool) {
	if w == nil {
		return false
	}
	w.timer.Stop()
	return !w.state.CompareAndSwap(slowWatching, slowAnswered)
}

var errTooSlow = errors.New("the answer did not begin within a multiple of the expected time")

// tooSlow returns the result of an attempt that was given up. It is no sign that the request crashed its target.
func (e *exchange) tooSlow() attemptResult {
	return attemptResult{
		retryable: true, refusal: &refusal{status: fasthttp.StatusBadGateway, code: codeBroken, err: errTooSlow},
		reason: reasonTooSlow, outcome: dispatch.Incomplete, err: errTooSlow,
	}
}
