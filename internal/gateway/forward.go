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
	// maxPlacements bounds the targets that are tried for one request, including those that never received it.
	maxPlacements = 5
	// firstCallQueueTimeout and laterCallQueueTimeout are how long the first request of a program and its later ones wait
	// for a target. Callers that would have to wait longer are refused with a retry delay. Later requests wait longer
	// because a running program has more to lose.
	firstCallQueueTimeout = 120 * time.Millisecond
	laterCallQueueTimeout = 700 * time.Millisecond
	// firstCallRetryDelay is the shortest retry delay for a program's first request that was refused because no target had
	// capacity.
	firstCallRetryDelay = 700 * time.Millisecond
	// workMargin is how much earlier than the caller's deadline a target must stop, because its answer still has to arrive.
	workMargin = 5 * time.Millisecond
	// idempotentMaxIdle and nonIdempotentMaxIdle bound how long a connection may have been idle when an idempotent or another
	// request is sent on it. A target may have closed the connection without notice, and then only an idempotent request can
	// be sent again.
	idempotentMaxIdle    = 8 * time.Second
	nonIdempotentMaxIdle = 4 * time.Second
	// maxAnswerBytes bounds the body of an answer, also of a stream.
	maxAnswerBytes = 16 << 20
)

// run tries targets until the request is answered or no further target may be tried.
func (e *exchange) run() *refusal {
	var excluded []ids.TargetID
	var lastRefusal *refusal
	service := e.route.Backend(e.backendKey())
	for placements := 0; placements < maxPlacements; {
		if e.attempts >= e.route.MaxAttempts && e.attempts > 0 {
			break
		}
		placement, r := e.waitForTarget(service, excluded)
		if r != nil {
			if lastRefusal != nil {
				return lastRefusal
			}
			return r
		}
		zone := placement.Target.Zone
		e.zones.begin(zone)
		res := e.attempt(placement)
		e.zones.end(zone)
		e.logEmptyZones(e.now())
		placement.Done(e.now(), res.outcome, res.usage)
		e.logAttempt(placement, res)
		if res.coldRefused && e.coldRefusals < maxColdRefusals {
			excluded = append(excluded, e.excludeCold(service)...)
			continue
		}
		placements++
		if res.done {
			return res.refusal
		}
		lastRefusal = res.refusal
		if !res.retryable {
			return lastRefusal
		}
		excluded = append(excluded, placement.Target.ID)
	}
	return lastRefusal
}

func (e *exchange) logAttempt(p waitqueue.Placement, res attemptResult) {
	e.Metrics.Attempt(string(p.Target.Service), res.reason)
	if res.outcome == dispatch.Completed || res.coldRefused {
		return
	}
	events.Log(e.Logger, events.AttemptFailed, zap.String("requestId", string(e.req.ID)), zap.String("target", string(p.Target.ID)),
		zap.Int("attempt", e.attempts), zap.String("reason", res.reason), zap.String("run", string(e.runState())),
		zap.Int("events", e.events), zap.Error(res.err))
}

// backendKey returns the key that selects a backend, so that all turns of a program go to the same service.
func (e *exchange) backendKey() string {
	if e.req.Program != "" {
		return string(e.req.Program)
	}
	return string(e.req.ID)
}

// waitForTarget puts the request into the service's queue until it gets a target or is refused.
func (e *exchange) waitForTarget(service call.ServiceName, excluded []ids.TargetID) (p waitqueue.Placement, r *refusal) {
	now := e.now()
	item := dispatch.Item{
		Workspace: e.workspaceID(), Program: e.req.Program, Prompt: e.req.Prompt, Output: max(e.req.MaxOutput, 1),
		Zone: e.Settings.Instance.Zone, Idempotent: e.route.Idempotent(), Excluded: excluded, Parts: e.parts(),
		Deadline: minTime(e.deadline, now.Add(e.queueTimeout())), FirstCall: e.firstCall,
		Rank:  e.table.Rank(e.route),
		Bytes: e.expectedBytes(),
		Zones: e.zoneList,
	}
	p, refused := e.queues.Wait(e.ctx, service, item)
	e.waited += e.now().Sub(now)
	e.Metrics.Waited(string(service), e.now().Sub(now))
	switch {
	case refused == nil:
		return p, nil
	case e.ctx.Err() != nil:
		return p, e.failureRefusal(fasthttp.StatusServiceUnavailable, e.endCode())
	case refused.Reason == waitqueue.ReasonEvacuated || refused.Reason == waitqueue.ReasonRegion:
		return p, zonesRefusal(refused)
	case refused.Reason == waitqueue.ReasonNoTarget:
		return p, &refusal{status: fasthttp.StatusServiceUnavailable, code: codeNoTarget, retry: refused.RetryAfter}
	default:
		return p, &refusal{status: fasthttp.StatusServiceUnavailable, code: codeQueueWait, retry: max(refused.RetryAfter, e.queueRetryDelay())}
	}
}

func (e *exchange) queueTimeout() time.Duration {
	if e.firstCall {
		return firstCallQueueTimeout
	}
	return laterCallQueueTimeout
}

func (e *exchange) queueRetryDelay() time.Duration {
	if e.firstCall {
		return firstCallRetryDelay
	}
	return shortRetryDelay
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// parts returns the prefixes of the prompt that targets may have cached, with their lengths in tokens.
func (e *exchange) parts() []target.Part {
	total := ids.Tokens(0)
	l := make([]target.Part, 0, len(e.req.Parts))
	for _, p := range e.req.Parts {
		total += p.Tokens
		l = append(l, target.Part{Key: target.PrefixKey(p.Key), Tokens: total})
	}
	return l
}

// recheck refuses the request if its caller disconnected, the configuration became stale or its key was withdrawn while the
// request waited.
func (e *exchange) recheck(now time.Time) *refusal {
	if e.ctx.Err() != nil {
		return e.failureRefusal(fasthttp.StatusServiceUnavailable, e.endCode())
	}
	if !e.zonesKnown(now) {
		return e.failureRefusal(fasthttp.StatusServiceUnavailable, codeStale)
	}
	if e.workspace == nil {
		return nil
	}
	if !e.freshEnough(now) {
		return e.failureRefusal(fasthttp.StatusServiceUnavailable, codeStale)
	}
	if w := e.follower.Table().Workspace(e.req.Key); w == nil || w.ID != e.workspace.ID {
		return e.failureRefusal(fasthttp.StatusUnauthorized, codeUnknownKey)
	}
	return nil
}

// endCode says why the request's context ended.
func (e *exchange) endCode() Code {
	if errors.Is(context.Cause(e.ctx), errStopping) {
		return codeStopping
	}
	return codeCallerGone
}

// failureRefusal returns a refusal with the status if no target can have run the request. Otherwise its outcome is unknown,
// and the status is 502 Bad Gateway.
func (e *exchange) failureRefusal(status int, code Code) *refusal {
	if e.mayHaveRun {
		return &refusal{status: fasthttp.StatusBadGateway, code: code}
	}
	r := &refusal{status: status, code: code}
	if status == fasthttp.StatusServiceUnavailable {
		r.retry = shortRetryDelay
	}
	return r
}

// deadlineRefusal returns the refusal of a request whose deadline has passed.
func (e *exchange) deadlineRefusal() *refusal {
	if e.mayHaveRun {
		return &refusal{status: fasthttp.StatusGatewayTimeout, code: codeDeadline}
	}
	return &refusal{status: fasthttp.StatusServiceUnavailable, code: codeDeadline, retry: shortRetryDelay}
}

// unreachable returns the result of an attempt without a connection: the target has not received the request.
func (e *exchange) unreachable(err error) attemptResult {
	if e.ctx.Err() != nil {
		code := e.endCode()
		return attemptResult{done: true, refusal: e.failureRefusal(fasthttp.StatusServiceUnavailable, code), reason: string(code), outcome: dispatch.NotSent}
	}
	return e.notSent("unreachable", dispatch.Unreachable, err)
}

// notSent returns the result of an attempt at a target that has not received the request.
func (e *exchange) notSent(reason string, outcome dispatch.Outcome, err error) attemptResult {
	return attemptResult{retryable: true, refusal: e.failureRefusal(fasthttp.StatusServiceUnavailable, codeNoTarget), reason: reason, outcome: outcome, err: err}
}

// incomplete returns the result of an attempt without a complete answer.
func (e *exchange) incomplete(err error) attemptResult {
	switch {
	case e.x.ClientDisconnected() || e.ctx.Err() != nil:
		code := e.endCode()
		return attemptResult{done: true, refusal: &refusal{status: fasthttp.StatusBadGateway, code: code}, reason: string(code), outcome: dispatch.NotSent, err: err}
	case timedOut(err) || !e.now().Before(e.deadline):
		return attemptResult{done: true, refusal: e.deadlineRefusal(), reason: string(codeDeadline), outcome: dispatch.Incomplete, err: err}
	case errors.Is(err, httpwire.ErrNoMemory):
		// The target is not to blame: it may be another one whose answers use up the memory.
		return attemptResult{done: true, refusal: &refusal{status: fasthttp.StatusBadGateway, code: codeNoMemory, err: err}, reason: string(codeNoMemory), outcome: dispatch.NotSent, err: err}
	}
	return attemptResult{
		retryable: e.route.Idempotent(), refusal: &refusal{status: fasthttp.StatusBadGateway, code: codeBroken, err: err},
		reason: string(codeBroken), outcome: dispatch.Incomplete, err: err, mayHaveCrashed: !unusable(err),
	}
}

func timedOut(err error) bool {
	var ne net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &ne) && ne.Timeout()
}

// handleAnswer passes a target's answer on to the caller, or returns a result that says whether to try another target.
func (e *exchange) handleAnswer(p waitqueue.Placement, conn *httpwire.Conn, h *fasthttp.ResponseHeader, a call.Answer, body io.Reader) (res attemptResult) {
	if a.ID != e.req.ID && (a.ID != "" || conn.Reused) {
		// This may be a late second answer to an earlier request. It says nothing about this one, not even that it has not run.
		return e.incomplete(errors.New("answer belongs to another request"))
	}
	if a.Leaving && !a.WrongTarget && e.follower.Leaving(p.Target) {
		events.Log(e.Logger, events.TargetAnnouncedLeaving, zap.String("requestId", string(e.req.ID)),
			zap.String("target", string(p.Target.ID)), zap.String("address", p.Target.Address))
	}
	e.noteCold(p, a)
	switch {
	case a.WrongTarget:
		e.mayHaveRun = e.mayHaveRunBefore
		e.follower.Moved(p.Target.ID)
		events.Log(e.Logger, events.TargetMoved, zap.String("target", string(p.Target.ID)), zap.String("address", p.Target.Address))
		return attemptResult{retryable: true, refusal: e.failureRefusal(fasthttp.StatusServiceUnavailable, codeNoTarget), reason: "wrongTarget", outcome: dispatch.AnsweredLeaving}
	case a.NotRun:
		e.mayHaveRun = e.mayHaveRunBefore
		return attemptResult{retryable: true, refusal: e.failureRefusal(fasthttp.StatusServiceUnavailable, codeTargetFull), reason: "targetFull", outcome: dispatch.TargetFull}
	case a.ID != e.req.ID || a.Status < fasthttp.StatusOK || a.Status < fasthttp.StatusMultipleChoices && !a.Signed:
		return e.incomplete(errors.New("answer names no request, is not signed or has an informational status"))
	}
	if e.route.Kind == call.Stream && a.Status == fasthttp.StatusOK {
		res = e.relayStream(h, body)
	} else {
		res = e.relayWhole(h, a, body)
	}
	if res.outcome == dispatch.Completed {
		e.reports.Survived(e.fingerprint)
	}
	return e.reportCrash(res, p.Target)
}

// relayWhole passes on an answer that is not a stream.
func (e *exchange) relayWhole(h *fasthttp.ResponseHeader, a call.Answer, body io.Reader) attemptResult {
	data, release, err := e.answerMemory.ReadAll(body, maxAnswerBytes)
	defer release()
	if err != nil {
		return e.incomplete(err)
	}
	if a.Status >= fasthttp.StatusInternalServerError && e.route.Idempotent() && e.attempts < e.route.MaxAttempts {
		return attemptResult{retryable: true, refusal: &refusal{status: fasthttp.StatusBadGateway, code: codeBroken}, reason: "targetFailed", outcome: dispatch.Failed}
	}
	if e.x.Started() {
		return attemptResult{done: true, refusal: &refusal{status: a.Status, code: codeBroken}, reason: "targetFailed", outcome: dispatch.Failed}
	}
	e.x.Answer(a.Status, responseHeaders(h), data)
	e.logAnswered(a.Status)
	outcome := dispatch.Completed
	if a.Status >= fasthttp.StatusInternalServerError {
		outcome = dispatch.Failed
	}
	return attemptResult{done: true, reason: "answered", outcome: outcome, usage: record.Usage{Completion: 1}}
}
