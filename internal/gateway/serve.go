package gateway

import (
	"bytes"
	"context"
	"encoding/hex"
	"errors"
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/grants"
	"github.com/comfreylink/comfreylink/internal/httpwire"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/programs"
	"github.com/comfreylink/comfreylink/pkg/account"
	"github.com/comfreylink/comfreylink/pkg/admission"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Code says why a request was refused or failed.
type Code string

// Codes of refusals and failures.
const (
	codeNoConfig          Code = "noConfiguration"
	codeStale             Code = "stale"
	codeNoRoute           Code = "noRoute"
	codeUnknownKey        Code = "unknownKey"
	codeNoID              Code = "noRequestId"
	codeRate              Code = "rateExceeded"
	codeRateUnavailable   Code = "rateUnavailable"
	codeBudget            Code = "budgetSpent"
	codeNoTurn            Code = "noSuchTurn"
	codeTurnUnavailable   Code = "turnUnavailable"
	codeLedgerUnavailable Code = "accountUnavailable"
	codeTooLarge          Code = "turnTooLarge"
	codeQuarantined       Code = "quarantined"
	codeNoTarget          Code = "noTarget"
	codeQueueWait         Code = "lineTooLong"
	codeDeadline          Code = "deadline"
	codeTargetFull        Code = "targetsFull"
	codeBroken            Code = "answerBroken"
	codeTurnNotKept       Code = "turnNotKept"
	codeCallerGone        Code = "callerGone"
	codeStopping          Code = "stopping"
	codeNoMemory          Code = "memoryShort"
	codeOverBudget        Code = "overBudget"
	codeLogUnavailable    Code = "logUnavailable"
	codeEvacuated         Code = "zonesEvacuated"
	codeRegion            Code = "noAllowedRegion"
)

// RunState states whether a request has run.
type RunState string

// Run states. notRun and runUnknown are for requests that were not answered by a target.
const (
	notRun     RunState = "notRun"
	runUnknown RunState = "unknown"
	ran        RunState = "ran"
)

// defaultTimeout replaces the wait limit of a request that has none, and the timeout of a route that has none.
const defaultTimeout = 30 * time.Second

// shortRetryDelay is the retry delay for a request that another instance may be able to run.
const shortRetryDelay = 250 * time.Millisecond

// outageRetryDelay is the retry delay while the platform's log is unavailable to all instances. An earlier
// retry is of no use, and with a longer delay callers give up.
const outageRetryDelay = 900 * time.Millisecond

// logRetryDelay returns the retry delay for a request that failed because of an error of the log.
func logRetryDelay(err error) time.Duration {
	if errors.Is(err, partlog.ErrUnavailable) {
		return outageRetryDelay
	}
	return shortRetryDelay
}

// exchange is one request in progress, with everything known about it so far.
type exchange struct {
	*Gateway
	ctx   context.Context
	x     *httpwire.Exchange
	req   call.Request
	began time.Time

	table       *call.Table
	route       *call.Route
	workspace   *call.Workspace // nil on public routes
	deadline    time.Time
	fingerprint ids.Fingerprint
	chain       []call.ID  // the earlier turns that the request continues, oldest first
	body        []byte     // what targets receive: the earlier turns, followed by the request's own body
	zoneList    []ids.Zone // in which the request may run; nil for all
	firstCall   bool       // whether it is the first request of its program
	reservation *programs.Reservation
	quota       grants.Decision // the token of the workspace's rate

	// State of the attempts. Most of it is logged with the answer.
	target           ids.TargetID
	attempts         int // targets that may have received the request
	waited           time.Duration
	firstByte        time.Duration
	events           int        // events sent to the caller
	cached           ids.Tokens // prompt tokens that the target was expected to have in its cache
	mayHaveRun       bool       // a target may have run the request
	mayHaveRunBefore bool       // mayHaveRun before the current attempt
	contentType      string     // of the stream that the caller receives
	output           []byte     // what the turn has generated, on routes that remember turns
	outputMemory     *httpwire.Reservation
	cold             *coldToken // of the current attempt; nil if its target is not cold
	coldRefusals     int        // attempts that were not granted because their target is cold
}

// refusal is an answer made by the gateway itself. retry is the delay after which the caller should retry, 0 for none.
type refusal struct {
	status int
	code   Code
	retry  time.Duration
	err    error
}

// Serve implements httpwire.Handler.
func (g *Gateway) Serve(ctx context.Context, x *httpwire.Exchange) {
	e := &exchange{Gateway: g, ctx: ctx, x: x, began: g.now(), req: g.Codec.DecodeRequest(&x.Header), body: x.Body, outputMemory: g.answerMemory.Reserve()}
	defer e.outputMemory.Release()
	if r := e.admit(); r != nil {
		e.refuse(r)
		return
	}
	r := e.prepare()
	if r == nil {
		r = e.run()
	}
	e.settle()
	if !e.mayHaveRun {
		e.returnQuota()
	}
	if r != nil {
		e.refuse(r)
	}
}

// admit decides whether the request may run. It returns nil if it may.
func (e *exchange) admit() *refusal {
	if !e.takesRequests(e.began) {
		return &refusal{status: fasthttp.StatusServiceUnavailable, code: codeStopping, retry: shortRetryDelay}
	}
	if e.table = e.follower.Table(); e.table == nil {
		return &refusal{status: fasthttp.StatusServiceUnavailable, code: codeNoConfig, retry: shortRetryDelay}
	}
	if e.route = e.table.Route(e.req.Host, e.req.Path); e.route == nil {
		return e.notConfigured(fasthttp.StatusNotFound, codeNoRoute)
	}
	if !e.zonesKnown(e.began) {
		return &refusal{status: fasthttp.StatusServiceUnavailable, code: codeStale, retry: outageRetryDelay}
	}
	if !e.route.Public {
		if !e.freshEnough(e.began) {
			return &refusal{status: fasthttp.StatusServiceUnavailable, code: codeStale, retry: outageRetryDelay}
		}
		if e.workspace = e.table.Workspace(e.req.Key); e.workspace == nil {
			return e.notConfigured(fasthttp.StatusUnauthorized, codeUnknownKey)
		}
	}
	if e.req.ID == "" {
		return &refusal{status: fasthttp.StatusBadRequest, code: codeNoID}
	}
	e.deadline = e.began.Add(min(orDefault(e.req.WaitLimit, defaultTimeout), orDefault(e.route.Timeout, defaultTimeout)))
	e.fingerprint = e.makeFingerprint()
	if e.reports.Quarantined(e.fingerprint) {
		return &refusal{status: fasthttp.StatusServiceUnavailable, code: codeQuarantined, retry: e.deadline.Sub(e.began)}
	}
	if r := e.checkZones(); r != nil {
		return r
	}
	if e.workspace == nil {
		return nil
	}
	admitted := e.admittedRequests(e.workspace.ID, e.req.Program)
	if belongsToRunningProgram(e.req, e.route) {
		admitted = max(admitted, 1)
	}
	d, reserve := e.takeQuota(e.ctx, e.workspace.ID, admitted, e.route.Priority, e.deadline)
	if !d.OK {
		events.Log(e.Logger, events.RateRefused, zap.String("requestId", string(e.req.ID)), zap.String("workspace", string(e.workspace.ID)),
			zap.String("granter", string(d.Granter)), zap.Float64("tokens", d.Level), zap.Bool("unavailable", d.Unavailable), zap.Float64("rate", e.workspace.Rate),
			zap.Float64("burst", e.workspace.Burst), zap.Float64("spare", reserve), zap.Int("programRequests", admitted))
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

// notConfigured refuses a request for a route or key that the configuration does not contain. If the configuration may be
// stale, a newer one may contain it, and the caller is asked to retry.
func (e *exchange) notConfigured(status int, code Code) *refusal {
	if !e.freshEnough(e.began) {
		return &refusal{status: fasthttp.StatusServiceUnavailable, code: codeStale, retry: shortRetryDelay}
	}
	return &refusal{status: status, code: code}
}

// freshEnough reports whether the configuration is recent enough to accept its keys: a key may have been withdrawn since.
func (g *Gateway) freshEnough(now time.Time) bool {
	age, ok := g.follower.Freshness(now)
	return ok && age <= g.Settings.Bounds.Revoke-freshMargin
}

func (e *exchange) makeFingerprint() ids.Fingerprint {
	h := xxhash.New()
	for _, s := range []string{string(e.workspaceID()), e.req.Method, e.req.Host, e.req.URI, string(e.req.Previous)} {
		_, _ = h.WriteString(s)
		_, _ = h.WriteString("\x00")
	}
	_, _ = h.Write(e.x.Body)
	return ids.Fingerprint(hex.EncodeToString(h.Sum(nil)))
}

func (e *exchange) workspaceID() ids.WorkspaceID {
	if e.workspace == nil {
		return ""
	}
	return e.workspace.ID
}

// program returns the key of the request's program.
func (e *exchange) program() account.Key {
	return account.Key{Workspace: e.workspaceID(), Program: e.req.Program}
}

// prepare loads the earlier turns that the request continues, and reserves its tokens in the program's budget.
func (e *exchange) prepare() *refusal {
	if r := e.checkRecordable(); r != nil {
		return r
	}
	ctx, cancel := context.WithTimeout(e.ctx, e.prepareTimeout())
	defer cancel()
	if e.route.Remembered {
		if r := e.loadChain(ctx); r != nil {
			return r
		}
	}
	if e.needsReservation() {
		return e.reserve(ctx)
	}
	return nil
}

func (e *exchange) needsReservation() bool {
	return e.req.Budget > 0 && e.req.MaxOutput > 0 && e.req.Program != "" && e.workspace != nil
}

// checkRecordable refuses a request if the log would not take what must be recorded of it in time. A target would run it in
// vain.
func (e *exchange) checkRecordable() *refusal {
	if !e.route.Remembered && !e.needsReservation() {
		return nil
	}
	a := e.recordGate.Decide(admission.Request{
		Deadline: e.deadline, Run: e.queues.MeanDuration(e.route.Backend(e.backendKey())), First: e.firstCall,
	})
	if a.Admitted {
		return nil
	}
	return &refusal{status: fasthttp.StatusServiceUnavailable, code: codeLogUnavailable, retry: a.RetryAfter}
}

// maxPrepareTimeout bounds how long a request waits for the platform's log before it is sent.
const maxPrepareTimeout = 700 * time.Millisecond

func (e *exchange) prepareTimeout() time.Duration {
	return min(maxPrepareTimeout, e.deadline.Sub(e.now()))
}

// loadChain puts the earlier turns of the chain before the request's body.
func (e *exchange) loadChain(ctx context.Context) *refusal {
	if len(e.x.Body) > programs.MaxInput {
		return &refusal{status: fasthttp.StatusRequestEntityTooLarge, code: codeTooLarge}
	}
	if e.req.Previous == "" {
		return nil
	}
	turns, err := e.programs.Chain(ctx, e.began, e.program(), e.req.Previous)
	if errors.Is(err, programs.ErrTurnNotFound) {
		return &refusal{status: fasthttp.StatusNotFound, code: codeNoTurn}
	}
	if err != nil {
		return &refusal{status: fasthttp.StatusServiceUnavailable, code: codeTurnUnavailable, retry: logRetryDelay(err), err: err}
	}
	var b bytes.Buffer
	for _, t := range turns {
		e.chain = append(e.chain, t.ID)
		b.Write(t.Input)
		b.Write(t.Output)
	}
	b.Write(e.x.Body)
	e.body = b.Bytes()
	return nil
}

// reserve reserves the turn's tokens in the budget of the program.
func (e *exchange) reserve(ctx context.Context) *refusal {
	r, err := e.programs.Reserve(ctx, programs.ReserveRequest{
		Key: e.program(), Turn: string(e.req.ID), Budget: e.req.Budget, Tokens: e.req.MaxOutput,
	})
	e.reservation = r
	switch {
	case err == nil:
		return nil
	case errors.Is(err, programs.ErrBudgetExceeded):
		return &refusal{status: fasthttp.StatusPaymentRequired, code: codeBudget}
	default:
		return &refusal{status: fasthttp.StatusServiceUnavailable, code: codeLedgerUnavailable, retry: logRetryDelay(err), err: err}
	}
}

// settle replaces the reservation by the number of tokens that the caller has received.
func (e *exchange) settle() {
	if e.reservation == nil {
		return
	}
	e.reservation.Settle(ids.Tokens(e.events) * e.tokensPerEvent())
}

func (e *exchange) tokensPerEvent() ids.Tokens {
	for _, b := range e.route.Backends {
		if s := e.table.Service(b.Service); s != nil && s.Engine != nil {
			return s.Engine.TokensPerEvent
		}
	}
	return 1
}

// refuse answers the caller with a refusal. If an answer has already begun, it is left incomplete instead.
func (e *exchange) refuse(r *refusal) {
	run := e.runState()
	status := r.status
	if !e.x.Started() && !e.x.ClientDisconnected() {
		headers := httpwire.AppendHeader(nil, "Content-Type", "application/json")
		if r.retry > 0 {
			headers = httpwire.AppendHeader(headers, "Retry-After", strconv.FormatFloat(math.Ceil(r.retry.Seconds()*1000)/1000, 'f', -1, 64))
		}
		e.x.Answer(status, headers, refusalBody(r, run, e.req.ID))
	}
	e.Metrics.Refused(string(r.code))
	e.log(status, string(r.code), run, r.retry)
}

func (e *exchange) runState() RunState {
	if e.mayHaveRun {
		return runUnknown
	}
	return notRun
}

// logAnswered logs an answer of a target that was passed on to the caller.
func (e *exchange) logAnswered(status int) { e.log(status, "answered", ran, 0) }

func (e *exchange) log(status int, reason string, run RunState, retry time.Duration) {
	took := e.now().Sub(e.began)
	fields := []zap.Field{
		zap.String("requestId", string(e.req.ID)), zap.Int("status", status), zap.String("reason", reason),
		zap.String("run", string(run)), zap.Duration("duration", took), zap.Int("attempts", e.attempts),
	}
	add := func(name, value string) {
		if value != "" {
			fields = append(fields, zap.String(name, value))
		}
	}
	add("programId", string(e.req.Program))
	add("sessionId", e.req.Session)
	add("workspace", string(e.workspaceID()))
	add("target", string(e.target))
	route := ""
	if e.route != nil {
		route = e.route.Name
		add("route", route)
	}
	if e.table != nil {
		fields = append(fields, zap.Int64("configVersion", e.table.Config.Version))
	}
	if e.waited > 0 {
		fields = append(fields, zap.Duration("waited", e.waited))
	}
	if e.firstByte > 0 {
		fields = append(fields, zap.Duration("firstByte", e.firstByte), zap.Int("events", e.events), zap.Int64("cached", int64(e.cached)))
	}
	if retry > 0 {
		fields = append(fields, zap.Duration("retryAfter", retry))
	}
	events.Log(e.Logger, events.RequestAnswered, fields...)
	e.Metrics.RequestDone(route, reason, status, took)
}
