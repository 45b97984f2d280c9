package gateway

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/httpwire"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/programs"
	"github.com/comfreylink/comfreylink/pkg/account"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Code tells why a request was refused or failed.
type Code string

// Codes of refusals and failures.
const (
	codeNoConfig    Code = "noConfiguration"
	codeStale       Code = "stale"
	codeNoRoute     Code = "noRoute"
	codeUnknownKey  Code = "unknownKey"
	codeNoID        Code = "noRequestId"
	codeRate        Code = "rateExceeded"
	codeBudget      Code = "budgetSpent"
	codeNoTurn      Code = "noSuchTurn"
	codeTurnUnknown Code = "turnUnavailable"
	codeLedger      Code = "accountUnavailable"
	codeTooLarge    Code = "turnTooLarge"
	codeQuarantined Code = "quarantined"
	codeNoTarget    Code = "noTarget"
	codeWait        Code = "lineTooLong"
	codeDeadline    Code = "deadline"
	codeTargetFull  Code = "targetsFull"
	codeBroken      Code = "answerBroken"
	codeNotKept     Code = "turnNotKept"
	codeCallerGone  Code = "callerGone"
	codeOverBudget  Code = "overBudget"
)

// Run tells whether a request has run.
type Run string

// What is known of a request that was not answered.
const (
	notRun     Run = "notRun"
	runUnknown Run = "unknown"
	ran        Run = "ran"
)

// defaultWait is how long a caller waits that does not say.
const defaultWait = 30 * time.Second

// shortRetry is when a caller comes back for which another instance may be better off.
const shortRetry = 250 * time.Millisecond

// outageRetry is when a caller comes back while the platform's log is away for this instance and all others: sooner is
// of no use, and later callers give up.
const outageRetry = 900 * time.Millisecond

// logRetry is when a caller comes back whose request needed the log.
func logRetry(err error) time.Duration {
	if errors.Is(err, partlog.ErrUnavailable) {
		return outageRetry
	}
	return shortRetry
}

// exchange is one request on its way through the gateway.
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
	chain       []call.ID
	body        []byte
	begins      bool // the first request of a program
	reservation *programs.Reservation

	// What the answer's log line tells.
	target    ids.TargetID
	attempts  int // targets that may have got the request
	waited    time.Duration
	firstByte time.Duration
	events    int // events passed on
	cached    ids.Tokens
	mayHave   bool   // a target may have run the request
	hadRun    bool   // mayHave before the present attempt
	output    []byte // what a remembered turn has generated
}

// refusal is an answer of the gateway's own.
type refusal struct {
	status int
	code   Code
	retry  time.Duration
	err    error
}

// Serve implements httpwire.Handler.
func (g *Gateway) Serve(ctx context.Context, x *httpwire.Exchange) {
	e := &exchange{Gateway: g, ctx: ctx, x: x, began: g.now(), req: g.Codec.DecodeRequest(&x.Header), body: x.Body}
	if r := e.admit(); r != nil {
		e.refuse(r)
		return
	}
	r := e.prepare()
	if r == nil {
		r = e.run()
	}
	e.settle()
	if !e.mayHave && e.workspace != nil {
		g.returnQuota(e.workspace.ID)
	}
	if r != nil {
		e.refuse(r)
	}
}

// admit decides whether the request may run at all.
func (e *exchange) admit() *refusal {
	if e.table = e.follower.Table(); e.table == nil {
		return &refusal{status: fasthttp.StatusServiceUnavailable, code: codeNoConfig, retry: shortRetry}
	}
	if e.route = e.table.Route(e.req.Host, e.req.Path); e.route == nil {
		return e.unknown(fasthttp.StatusNotFound, codeNoRoute)
	}
	if !e.route.Public {
		if !e.freshEnough(e.began) {
			return &refusal{status: fasthttp.StatusServiceUnavailable, code: codeStale, retry: outageRetry}
		}
		if e.workspace = e.table.Workspace(e.req.Key); e.workspace == nil {
			return e.unknown(fasthttp.StatusUnauthorized, codeUnknownKey)
		}
	}
	if e.req.ID == "" {
		return &refusal{status: fasthttp.StatusBadRequest, code: codeNoID}
	}
	e.deadline = e.began.Add(min(orDefault(e.req.WaitLimit, defaultWait), orDefault(e.route.Timeout, defaultWait)))
	e.fingerprint = e.makeFingerprint()
	if e.reports.Suspected(e.fingerprint) {
		return &refusal{status: fasthttp.StatusServiceUnavailable, code: codeQuarantined, retry: e.deadline.Sub(e.began)}
	}
	if e.workspace == nil {
		return nil
	}
	asked := e.requestsOf(e.workspace.ID, e.req.Program)
	if e.req.Previous != "" {
		asked = max(asked, 1)
	}
	if d, spare := e.takeQuota(e.ctx, e.workspace.ID, asked, e.route.Priority); !d.OK {
		events.Log(e.Logger, events.RateRefused, zap.String("requestId", string(e.req.ID)), zap.String("workspace", string(e.workspace.ID)),
			zap.String("granter", string(d.Granter)), zap.Float64("level", d.Level), zap.Float64("rate", e.workspace.Rate),
			zap.Float64("burst", e.workspace.Burst), zap.Float64("spare", spare), zap.Int("programRequests", asked))
		return &refusal{status: fasthttp.StatusTooManyRequests, code: codeRate, retry: d.Retry}
	}
	e.begins = asked == 0 && e.req.Program != ""
	e.letIn(e.began, e.workspace.ID, e.req.Program)
	return nil
}

// unknown refuses what the configuration does not hold. A configuration that may be out of date does not prove that.
func (e *exchange) unknown(status int, code Code) *refusal {
	if !e.freshEnough(e.began) {
		return &refusal{status: fasthttp.StatusServiceUnavailable, code: codeStale, retry: shortRetry}
	}
	return &refusal{status: status, code: code}
}

// freshEnough reports whether the configuration is recent enough to trust its keys.
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

// program is the program of the request.
func (e *exchange) program() account.Key {
	return account.Key{Workspace: e.workspaceID(), Program: e.req.Program}
}

// prepare puts the turn's chain together and reserves its tokens.
func (e *exchange) prepare() *refusal {
	ctx, cancel := context.WithTimeout(e.ctx, e.patience())
	defer cancel()
	if e.route.Remembered {
		if r := e.loadChain(ctx); r != nil {
			return r
		}
	}
	if e.req.Budget > 0 && e.req.MaxOutput > 0 && e.req.Program != "" && e.workspace != nil {
		return e.reserve(ctx)
	}
	return nil
}

// preparePatience is how long a request waits for the platform's log.
const preparePatience = 700 * time.Millisecond

func (e *exchange) patience() time.Duration {
	return min(preparePatience, e.deadline.Sub(e.now()))
}

func (e *exchange) loadChain(ctx context.Context) *refusal {
	if len(e.x.Body) > programs.MaxInput {
		return &refusal{status: fasthttp.StatusRequestEntityTooLarge, code: codeTooLarge}
	}
	if e.req.Previous == "" {
		return nil
	}
	turns, err := e.programs.Chain(ctx, e.began, e.program(), e.req.Previous)
	if errors.Is(err, programs.ErrNone) {
		return &refusal{status: fasthttp.StatusNotFound, code: codeNoTurn}
	}
	if err != nil {
		return &refusal{status: fasthttp.StatusServiceUnavailable, code: codeTurnUnknown, retry: logRetry(err), err: err}
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

func (e *exchange) reserve(ctx context.Context) *refusal {
	r, err := e.programs.Reserve(ctx, programs.Ask{
		Key: e.program(), Turn: string(e.req.ID), Budget: e.req.Budget, Tokens: e.req.MaxOutput,
	})
	e.reservation = r
	switch {
	case err == nil:
		return nil
	case errors.Is(err, programs.ErrSpent):
		return &refusal{status: fasthttp.StatusPaymentRequired, code: codeBudget}
	default:
		return &refusal{status: fasthttp.StatusServiceUnavailable, code: codeLedger, retry: logRetry(err), err: err}
	}
}

// settle replaces the reservation by what the caller got.
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

// refuse answers the caller with the gateway's own answer, or breaks off an answer that has begun.
func (e *exchange) refuse(r *refusal) {
	run := e.runState()
	status := r.status
	if !e.x.Started() && !e.x.ClientGone() {
		headers := httpwire.AppendHeader(nil, "Content-Type", "application/json")
		if r.retry > 0 {
			headers = httpwire.AppendHeader(headers, "Retry-After", strconv.FormatFloat(math.Ceil(r.retry.Seconds()*1000)/1000, 'f', -1, 64))
		}
		e.x.Answer(status, headers, refusalBody(r, run, e.req.ID))
	}
	e.Metrics.Refused(string(r.code))
	e.log(status, string(r.code), run, r.retry)
}

func (e *exchange) runState() Run {
	if e.mayHave {
		return runUnknown
	}
	return notRun
}

type wireRefusal struct {
	Error wireError `json:"error"`
}

type wireError struct {
	Code         Code    `json:"code"`
	Run          Run     `json:"run"`
	RetryAfterMs int64   `json:"retryAfterMs,omitempty"`
	RequestID    call.ID `json:"requestId,omitempty"`
}

func refusalBody(r *refusal, run Run, id call.ID) []byte {
	// The type holds nothing that cannot be marshalled.
	data, _ := json.Marshal(wireRefusal{wireError{Code: r.code, Run: run, RetryAfterMs: ids.Millis(r.retry), RequestID: id}})
	return append(data, '\n')
}

// answered logs an answer of a target that was passed on.
func (e *exchange) answered(status int) { e.log(status, "answered", ran, 0) }

func (e *exchange) log(status int, reason string, run Run, retry time.Duration) {
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
