package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/httpwire"
	"github.com/comfreylink/comfreylink/internal/waitqueue"
	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// attemptResult is the result of one attempt at a target.
type attemptResult struct {
	// done is true if the caller has the answer, or can no longer get one.
	done bool
	// retryable is true if another target may be tried.
	retryable bool
	refusal   *refusal
	reason    string
	outcome   dispatch.Outcome
	usage     record.Usage
	err       error
	// coldRefused is true if the target is cold and the request was not granted to it.
	coldRefused bool
	// mayHaveCrashed is true if the target may have crashed while it ran the request.
	mayHaveCrashed bool
}

// attempt sends the request to one target.
func (e *exchange) attempt(p waitqueue.Placement) attemptResult {
	e.target, e.cached = p.Target.ID, p.Cached
	now := e.now()
	if r := e.recheck(now); r != nil {
		return attemptResult{done: true, refusal: r, reason: string(r.code), outcome: dispatch.NotSent}
	}
	left := e.deadline.Sub(now)
	if left <= workMargin {
		return attemptResult{done: true, refusal: e.deadlineRefusal(), reason: string(codeDeadline), outcome: dispatch.NotSent}
	}
	if res := e.takeCold(p); res != nil {
		return *res
	}
	defer e.returnCold() // unless the request is written
	ctx, cancel := context.WithTimeout(e.ctx, left)
	defer cancel()
	conn, res := e.connect(ctx, now, p)
	if res != nil {
		return *res
	}
	return e.send(ctx, p, conn)
}

// connect opens a connection to the target. It returns the result of the attempt instead if there is none, or if the target may
// no longer get the request once it is open.
func (e *exchange) connect(ctx context.Context, now time.Time, p waitqueue.Placement) (*httpwire.Conn, *attemptResult) {
	maxIdle := nonIdempotentMaxIdle
	if e.route.Idempotent() {
		maxIdle = idempotentMaxIdle
	}
	conn, err := e.Client.Get(ctx, p.Target.Address, now, maxIdle)
	if err != nil {
		res := e.unreachable(err)
		return nil, &res
	}
	res := e.targetWithdrawn(p.Target)
	if res == nil {
		res = e.coldWithdrawn(p)
	}
	if res != nil {
		conn.Close()
		return nil, res
	}
	return conn, nil
}

// send writes the request to the target and passes on its answer. Afterwards the connection is closed or may be reused.
func (e *exchange) send(ctx context.Context, p waitqueue.Placement, conn *httpwire.Conn) attemptResult {
	token := e.cold
	e.cold = nil
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	e.attempts++
	e.mayHaveRunBefore, e.mayHaveRun = e.mayHaveRun, true
	e.countZone(p)
	left := e.deadline.Sub(e.now())
	message := e.Codec.EncodeRequest(nil, &e.x.Header, call.OutboundRequest{
		Target: p.Target.ID, Workspace: e.workspaceID(), TimeLeft: max(left-workMargin, time.Millisecond), LastEvent: e.req.LastEvent, Body: e.body,
	})
	events.Log(e.Logger, events.RequestSent, zap.String("requestId", string(e.req.ID)), zap.String("target", string(p.Target.ID)),
		zap.Int("attempt", e.attempts), zap.Duration("waited", p.Waited), zap.Int64("cached", int64(p.Cached)),
		zap.Duration("left", left), zap.Bool("reused", conn.Reused))
	var h fasthttp.ResponseHeader
	h.SetNoDefaultContentType(true)
	watch := e.watchSlow(p, conn)
	writeErr := conn.Write(message)
	body, err := conn.ReadHead(&h)
	if watch.stop() {
		return e.tooSlow()
	}
	if err != nil {
		conn.Close()
		return e.reportCrash(e.incomplete(errors.Join(writeErr, err)), p.Target)
	}
	a := e.Codec.DecodeAnswer(&h)
	p.Load(e.now(), a.Load)
	res := e.handleAnswer(p, conn, &h, a, body)
	if a.WrongTarget && res.outcome == dispatch.AnsweredLeaving {
		e.cold = token // the request has not reached the target
	}
	if stop() && res.outcome == dispatch.Completed {
		conn.Release(&h, e.now())
	} else {
		conn.Close()
	}
	return res
}
