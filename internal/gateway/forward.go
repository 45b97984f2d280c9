package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/httpwire"
	"github.com/comfreylink/comfreylink/internal/waitqueue"
	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
	"github.com/comfreylink/comfreylink/pkg/target"
)

const (
	// maxPlacements bounds the targets that are tried for one request, those included that never got it.
	maxPlacements = 5
	// beginLineWait and begunLineWait are how long the first request of a program and its later ones wait for a target.
	// Callers that must wait longer are told when to come back: a program that has begun has more to lose.
	beginLineWait = 120 * time.Millisecond
	begunLineWait = 700 * time.Millisecond
	// beginRetry is when a program comes back that found no place to begin.
	beginRetry = 700 * time.Millisecond
	// workMargin is how much sooner than the caller's deadline a target stops: its answer still travels.
	workMargin = 5 * time.Millisecond
	// safeIdle and onceIdle bound how long a connection may have been idle that a repeatable request, or one that may run
	// only once, is sent on: a target may have dropped it silently.
	safeIdle = 8 * time.Second
	onceIdle = 4 * time.Second
	// maxAnswer bounds the body of an answer that is not a stream.
	maxAnswer = 16 << 20
)

// verdict is what became of one attempt.
type verdict struct {
	// done: the caller has the answer, or can get none any more.
	done bool
	// again: another target may be tried.
	again   bool
	refusal *refusal
	reason  string
	outcome dispatch.Outcome
	usage   record.Usage
	err     error
	// broke tells that the target broke off while it ran the request.
	broke bool
}

// run tries targets until the request is answered or none may be tried any more.
func (e *exchange) run() *refusal {
	var excluded []ids.TargetID
	var last *refusal
	service := e.route.Backend(e.splitKey())
	for range maxPlacements {
		if e.attempts >= e.route.MaxAttempts && e.attempts > 0 {
			break
		}
		place, r := e.wait(service, excluded)
		if r != nil {
			if last != nil {
				return last
			}
			return r
		}
		v := e.attempt(place)
		place.Done(e.now(), v.outcome, v.usage)
		e.logAttempt(place, v)
		if v.done {
			return v.refusal
		}
		last = v.refusal
		if !v.again {
			return last
		}
		excluded = append(excluded, place.Target.ID)
	}
	return last
}

func (e *exchange) logAttempt(p waitqueue.Placement, v verdict) {
	e.Metrics.Attempt(string(p.Target.Service), v.reason)
	if v.outcome == dispatch.Completed {
		return
	}
	events.Log(e.Logger, events.AttemptFailed, zap.String("requestId", string(e.req.ID)), zap.String("target", string(p.Target.ID)),
		zap.Int("attempt", e.attempts), zap.String("reason", v.reason), zap.String("run", string(e.runState())),
		zap.Int("events", e.events), zap.Error(v.err))
}

// splitKey keeps the turns of a program together where a route is split between services.
func (e *exchange) splitKey() string {
	if e.req.Program != "" {
		return string(e.req.Program)
	}
	return string(e.req.ID)
}

// wait puts the request in line.
func (e *exchange) wait(service call.ServiceName, excluded []ids.TargetID) (p waitqueue.Placement, r *refusal) {
	now := e.now()
	item := dispatch.Item{
		Workspace: e.workspaceID(), Program: e.req.Program, Prompt: e.req.Prompt, Output: max(e.req.MaxOutput, 1),
		Zone: e.Settings.Instance.Zone, Idempotent: e.route.Idempotent(), Excluded: excluded, Parts: e.parts(),
		Deadline: minTime(e.deadline, now.Add(e.lineWait())), FirstCall: e.begins,
	}
	p, refused := e.lines.Wait(e.ctx, service, item)
	e.waited += e.now().Sub(now)
	e.Metrics.Waited(string(service), e.now().Sub(now))
	switch {
	case refused == nil:
		return p, nil
	case e.ctx.Err() != nil:
		return p, &refusal{status: fasthttp.StatusServiceUnavailable, code: codeCallerGone}
	case refused.Reason == waitqueue.ReasonNoTarget:
		return p, &refusal{status: fasthttp.StatusServiceUnavailable, code: codeNoTarget, retry: refused.RetryAfter}
	default:
		return p, &refusal{status: fasthttp.StatusServiceUnavailable, code: codeWait, retry: max(refused.RetryAfter, e.lineRetry())}
	}
}

func (e *exchange) lineWait() time.Duration {
	if e.begins {
		return beginLineWait
	}
	return begunLineWait
}

func (e *exchange) lineRetry() time.Duration {
	if e.begins {
		return beginRetry
	}
	return shortRetry
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// parts returns the beginnings of the prompt that targets may have cached.
func (e *exchange) parts() []target.Part {
	total := ids.Tokens(0)
	l := make([]target.Part, 0, len(e.req.Parts))
	for _, p := range e.req.Parts {
		total += p.Tokens
		l = append(l, target.Part{Key: target.PrefixKey(p.Key), Tokens: total})
	}
	return l
}

// attempt sends the request to one target.
func (e *exchange) attempt(p waitqueue.Placement) verdict {
	e.target, e.cached = p.Target.ID, p.Cached
	now := e.now()
	if r := e.stillAllowed(now); r != nil {
		return verdict{done: true, refusal: r, reason: string(r.code), outcome: dispatch.NotSent}
	}
	left := e.deadline.Sub(now)
	if left <= workMargin {
		return verdict{done: true, refusal: e.late(), reason: string(codeDeadline), outcome: dispatch.NotSent}
	}
	maxIdle := onceIdle
	if e.route.Idempotent() {
		maxIdle = safeIdle
	}
	ctx, cancel := context.WithTimeout(e.ctx, left)
	defer cancel()
	conn, err := e.Client.Get(ctx, p.Target.Address, now, maxIdle)
	if err != nil {
		return e.unreachable(err)
	}
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	e.attempts++
	e.hadRun, e.mayHave = e.mayHave, true
	left = e.deadline.Sub(e.now())
	out := e.Codec.EncodeRequest(nil, &e.x.Header, call.OutboundRequest{
		Target: p.Target.ID, Workspace: e.workspaceID(), Left: max(left-workMargin, time.Millisecond), LastEvent: e.req.LastEvent, Body: e.body,
	})
	events.Log(e.Logger, events.RequestSent, zap.String("requestId", string(e.req.ID)), zap.String("target", string(p.Target.ID)),
		zap.Int("attempt", e.attempts), zap.Duration("waited", p.Waited), zap.Int64("cached", int64(p.Cached)),
		zap.Duration("left", left), zap.Bool("reused", conn.Reused))
	var h fasthttp.ResponseHeader
	h.SetNoDefaultContentType(true)
	writeErr := conn.Write(out)
	body, err := conn.ReadHead(&h)
	if err != nil {
		conn.Close()
		return e.noteDeath(e.broken(errors.Join(writeErr, err)), p.Target.ID)
	}
	a := e.Codec.DecodeAnswer(&h)
	p.Load(e.now(), a.Load)
	v := e.takeAnswer(p, conn, &h, a, body)
	if stop() && v.outcome == dispatch.Completed {
		conn.Release(&h, e.now())
	} else {
		conn.Close()
	}
	return v
}

// stillAllowed checks what may have changed while the request waited.
func (e *exchange) stillAllowed(now time.Time) *refusal {
	if e.ctx.Err() != nil {
		return &refusal{status: fasthttp.StatusServiceUnavailable, code: codeCallerGone}
	}
	if e.workspace == nil {
		return nil
	}
	if !e.freshEnough(now) {
		return e.unsent(fasthttp.StatusServiceUnavailable, codeStale)
	}
	if w := e.follower.Table().Workspace(e.req.Key); w == nil || w.ID != e.workspace.ID {
		return e.unsent(fasthttp.StatusUnauthorized, codeUnknownKey)
	}
	return nil
}

// unsent is a refusal of a request that no target may have run; otherwise its outcome is not known.
func (e *exchange) unsent(status int, code Code) *refusal {
	if e.mayHave {
		return &refusal{status: fasthttp.StatusBadGateway, code: code}
	}
	r := &refusal{status: status, code: code}
	if status == fasthttp.StatusServiceUnavailable {
		r.retry = shortRetry
	}
	return r
}

func (e *exchange) late() *refusal {
	if e.mayHave {
		return &refusal{status: fasthttp.StatusGatewayTimeout, code: codeDeadline}
	}
	return &refusal{status: fasthttp.StatusServiceUnavailable, code: codeDeadline, retry: shortRetry}
}

// unreachable is an attempt for which no connection could be made: the target got nothing.
func (e *exchange) unreachable(err error) verdict {
	if e.ctx.Err() != nil {
		return verdict{done: true, refusal: &refusal{status: fasthttp.StatusServiceUnavailable, code: codeCallerGone}, reason: string(codeCallerGone), outcome: dispatch.NotSent}
	}
	return verdict{again: true, refusal: e.unsent(fasthttp.StatusServiceUnavailable, codeNoTarget), reason: "unreachable", outcome: dispatch.Unreachable, err: err}
}

// broken is an attempt without a whole answer.
func (e *exchange) broken(err error) verdict {
	switch {
	case e.x.ClientGone() || e.ctx.Err() != nil:
		return verdict{done: true, refusal: &refusal{status: fasthttp.StatusBadGateway, code: codeCallerGone}, reason: string(codeCallerGone), outcome: dispatch.NotSent, err: err}
	case timedOut(err) || !e.now().Before(e.deadline):
		return verdict{done: true, refusal: e.late(), reason: string(codeDeadline), outcome: dispatch.Incomplete, err: err}
	}
	return verdict{
		again: e.route.Idempotent(), refusal: &refusal{status: fasthttp.StatusBadGateway, code: codeBroken, err: err},
		reason: string(codeBroken), outcome: dispatch.Incomplete, err: err, broke: true,
	}
}

func timedOut(err error) bool {
	var ne net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &ne) && ne.Timeout()
}

// takeAnswer passes a target's answer on, or says what is to be done instead.
func (e *exchange) takeAnswer(p waitqueue.Placement, conn *httpwire.Conn, h *fasthttp.ResponseHeader, a call.Answer, body io.Reader) (v verdict) {
	switch {
	case a.ID != e.req.ID && (a.ID != "" || conn.Reused):
		// A late second answer to an earlier request says nothing about this one, not even that it has not run.
		return e.broken(errors.New("the answer belongs to another request"))
	case a.WrongTarget:
		e.mayHave = e.hadRun
		e.follower.Moved(p.Target.ID)
		events.Log(e.Logger, events.TargetMoved, zap.String("target", string(p.Target.ID)), zap.String("address", p.Target.Address))
		return verdict{again: true, refusal: e.unsent(fasthttp.StatusServiceUnavailable, codeNoTarget), reason: "wrongTarget", outcome: dispatch.TargetLeft}
	case a.NotRun:
		e.mayHave = e.hadRun
		return verdict{again: true, refusal: e.unsent(fasthttp.StatusServiceUnavailable, codeTargetFull), reason: "targetFull", outcome: dispatch.TargetFull}
	case a.ID != e.req.ID || a.Status < fasthttp.StatusOK || a.Status < fasthttp.StatusMultipleChoices && !a.Signed:
		return e.broken(errors.New("the answer names no request or is not signed"))
	}
	if e.route.Kind == call.Stream && a.Status == fasthttp.StatusOK {
		v = e.relayStream(h, body)
	} else {
		v = e.relayWhole(h, a, body)
	}
	if v.outcome == dispatch.Completed {
		e.reports.Survived(e.fingerprint)
	}
	return e.noteDeath(v, p.Target.ID)
}

// noteDeath suspects the request if the target broke off before it gave the caller anything. One that has crashed too many
// targets is not tried at another.
func (e *exchange) noteDeath(v verdict, t ids.TargetID) verdict {
	if v.broke && e.events == 0 {
		e.reports.Died(e.fingerprint, t)
		v.again = v.again && !e.reports.Suspected(e.fingerprint)
	}
	return v
}

// relayWhole passes an answer on that is not a stream.
func (e *exchange) relayWhole(h *fasthttp.ResponseHeader, a call.Answer, body io.Reader) verdict {
	data, err := httpwire.ReadAll(body, maxAnswer)
	if err != nil {
		return e.broken(err)
	}
	if a.Status >= fasthttp.StatusInternalServerError && e.route.Idempotent() && e.attempts < e.route.MaxAttempts {
		return verdict{again: true, refusal: &refusal{status: fasthttp.StatusBadGateway, code: codeBroken}, reason: "targetFailed", outcome: dispatch.Failed}
	}
	if e.x.Started() {
		return verdict{done: true, refusal: &refusal{status: a.Status, code: codeBroken}, reason: "targetFailed", outcome: dispatch.Failed}
	}
	e.x.Answer(a.Status, responseHeaders(h), data)
	e.answered(a.Status)
	outcome := dispatch.Completed
	if a.Status >= fasthttp.StatusInternalServerError {
		outcome = dispatch.Failed
	}
	return verdict{done: true, reason: "answered", outcome: outcome, usage: record.Usage{Completion: 1}}
}

func responseHeaders(h *fasthttp.ResponseHeader) []byte {
	return httpwire.AppendHeaders(nil, h.All(), h.Peek("Connection"), nil)
}
