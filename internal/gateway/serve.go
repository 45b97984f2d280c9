package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/grants"
	"github.com/comfreylink/comfreylink/internal/httpwire"
	"github.com/comfreylink/comfreylink/internal/programs"
	"github.com/comfreylink/comfreylink/pkg/account"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// defaultTimeout replaces the wait limit of a request that has none, and the timeout of a route that has none.
const defaultTimeout = 30 * time.Second

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

// logAnswered logs an answer of a target that was passed on to the caller.
func (e *exchange) logAnswered(status int) { e.log(status, "answered", ran, 0, nil) }

func (e *exchange) log(status int, reason string, run RunState, retry time.Duration, err error) {
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
	add("previousTurn", string(e.req.Previous))
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
	if e.x.Started() && !e.x.Complete() {
		fields = append(fields, zap.Bool("cut", true))
		e.Metrics.AnswerCut(reason)
	}
	if err != nil {
		fields = append(fields, zap.Error(err))
	}
	if retry > 0 {
		fields = append(fields, zap.Duration("retryAfter", retry))
	}
	events.Log(e.Logger, events.RequestAnswered, fields...)
	e.Metrics.RequestDone(route, reason, status, took)
}
