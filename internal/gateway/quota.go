package gateway

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/grants"
	"github.com/comfreylink/comfreylink/pkg/account"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// admitByRate takes a token of the workspace's rate limit for the request. It returns nil if the request gets one, or if its
// route is public and so has no limit.
func (e *exchange) admitByRate() *refusal {
	if e.workspace == nil {
		return nil
	}
	admitted := e.admittedRequests(e.workspace.ID, e.req.Program)
	if belongsToRunningProgram(e.req, e.route) {
		admitted = max(admitted, 1)
	}
	ask := newQuotaAsk(e.now(), admitted, e.route.Priority, e.deadline, e.queues.MeanDuration(e.route.Backend(e.backendKey())))
	d := e.takeQuota(e.ctx, e.workspace.ID, ask)
	if !d.OK && e.ctx.Err() != nil { // its calls ended with it, which says nothing about the limit
		return e.failureRefusal(fasthttp.StatusServiceUnavailable, e.endCode())
	}
	if !d.OK {
		e.logRateRefused(d, ask, admitted)
		if d.Unavailable {
			return &refusal{status: fasthttp.StatusServiceUnavailable, code: codeRateUnavailable, retry: min(d.Retry, outageRetryDelay)}
		}
		return &refusal{status: fasthttp.StatusTooManyRequests, code: codeRate, retry: d.Retry}
	}
	e.quota = d
	e.firstCall = admitted == 0 && e.req.Program != ""
	e.countAdmitted(e.began, e.workspace.ID, e.req.Program)
	return nil
}

func (e *exchange) logRateRefused(d grants.Decision, ask quotaAsk, admitted int) {
	fields := []zap.Field{
		zap.String("requestId", string(e.req.ID)), zap.String("workspace", string(e.workspace.ID)),
		zap.String("granter", string(d.Granter)), zap.Float64("tokens", d.Level), zap.Bool("unavailable", d.Unavailable), zap.Float64("rate", e.workspace.Rate),
		zap.Float64("burst", e.workspace.Burst), zap.Float64("spare", ask.reserve), zap.Int("programRequests", admitted),
		zap.Duration("maxWait", ask.wait), zap.Duration("retryAfter", d.Retry),
	}
	if len(d.Unanswered) > 0 {
		fields = append(fields, zap.Any("unanswered", d.Unanswered))
	}
	events.Log(e.Logger, events.RateRefused, fields...)
}

// quotaAsk is what a request asks of its workspace's rate limit: the fraction of the burst that must be left, and how long the
// request may wait for its token.
type quotaAsk struct {
	reserve float64
	wait    time.Duration
}

// newQuotaAsk returns what a request asks for at a time. admitted is the number of requests of the program so far. Running programs
// have precedence over first calls, which must leave a reserve: a program that is refused midway has used its workspace's rate in
// vain. run is how long a request of its kind takes in the mean; 0 if that is not known.
func newQuotaAsk(now time.Time, admitted, priority int, deadline time.Time, run time.Duration) (ask quotaAsk) {
	left := deadline.Sub(now)
	ask.wait = min(laterCallQuotaWait, left/quotaWaitDivisor)
	switch {
	case admitted == 0:
		ask.reserve = min(firstCallReserve+reservePerRank*float64(priority), maxFirstCallReserve)
		ask.wait = min(ask.wait, firstCallQuotaWait/time.Duration(1+max(priority, 0)))
	case admitted > longProgramRequests:
		ask.reserve = longProgramReserve
	case run > 0:
		ask.wait = min(laterCallQuotaWait, max(ask.wait, left-runMargin*run))
	}
	return ask
}

// takeQuota takes one request from a workspace's rate limit, and waits a short time before it refuses.
func (g *Gateway) takeQuota(ctx context.Context, ws ids.WorkspaceID, ask quotaAsk) (d grants.Decision) {
	giveUpAt := g.now().Add(ask.wait)
	for {
		left := max(giveUpAt.Sub(g.now()), 0)
		d = g.grants.Take(ctx, ws, ask.reserve, left)
		if d.OK || d.Retry > giveUpAt.Sub(g.now()) || ctx.Err() != nil {
			return d
		}
		select {
		case <-time.After(d.Retry):
		case <-ctx.Done():
		}
	}
}

const (
	// firstCallQuotaWait and laterCallQuotaWait are how long the first request of a program and its later ones wait for
	// their workspace's rate before they are refused. A first request of a lower rank waits for a fraction of the time, so
	// that it does not take tokens of the near future. A program fails with a later request that is refused, so these wait
	// longest.
	firstCallQuotaWait = 600 * time.Millisecond
	laterCallQuotaWait = 1500 * time.Millisecond
	// quotaWaitDivisor limits the wait to a part of the time that the request has left. A request of a running program may wait
	// longer if it keeps runMargin times what its kind takes in the mean.
	quotaWaitDivisor = 2
	runMargin        = 3
	// firstCallReserve is the share of a workspace's burst that the first call of a program of the highest priority must
	// leave. Each lower rank adds reservePerRank, up to maxFirstCallReserve.
	firstCallReserve    = 0.1
	reservePerRank      = 0.1
	maxFirstCallReserve = 0.5
	// longProgramRequests is the number of requests after which a program loses its precedence, because it may never end. Its
	// requests must leave longProgramReserve.
	longProgramRequests = 60
	longProgramReserve  = 0.4
)

// programTTL is how long a program without requests still counts as running.
const programTTL = time.Minute

// programUse counts the admitted requests of a program.
type programUse struct {
	requests    int
	lastRequest time.Time
}

// dropIdlePrograms deletes programs that had no request for programTTL.
func (g *Gateway) dropIdlePrograms(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for k, use := range g.programUses {
		if now.Sub(use.lastRequest) > programTTL {
			delete(g.programUses, k)
		}
	}
}

// admittedRequests returns how many requests of a program the gateway has admitted.
func (g *Gateway) admittedRequests(ws ids.WorkspaceID, p ids.ProgramID) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.programUses[account.Key{Workspace: ws, Program: p}].requests
}

// countAdmitted counts an admitted request of a program.
func (g *Gateway) countAdmitted(now time.Time, ws ids.WorkspaceID, p ids.ProgramID) {
	if p == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	k := account.Key{Workspace: ws, Program: p}
	g.programUses[k] = programUse{requests: g.programUses[k].requests + 1, lastRequest: now}
}

// belongsToRunningProgram reports whether a request shows by itself that its program has begun, though this instance may not
// have seen the program before: it continues an earlier turn, or it is the call of a tool, since programs begin with a turn.
func belongsToRunningProgram(r call.Request, route *call.Route) bool {
	return r.Previous != "" || r.Program != "" && route.Kind != call.Stream
}

// returnQuota returns the rate token of a request that no target can have run.
func (e *exchange) returnQuota() {
	if e.workspace != nil {
		e.grants.Return(e.workspace.ID, e.quota)
	}
}
