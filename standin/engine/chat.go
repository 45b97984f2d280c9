package engine

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/comfreylink/comfreylink/standin/engine/batch"
	"github.com/comfreylink/comfreylink/standin/engine/costs"
	"github.com/comfreylink/comfreylink/standin/engine/prefix"
	"github.com/comfreylink/comfreylink/standin/serve"
	"github.com/valyala/fasthttp"
)

const requestIDHeader = "X-Request-Id"

// chatRequest holds the fields of a chat completion request that the stand-in interprets.
type chatRequest struct {
	Model     string            `json:"model"`
	Messages  []json.RawMessage `json:"messages"`
	MaxTokens int               `json:"max_tokens"`
	Stream    bool              `json:"stream"`
}

func (e *Engine) chat(ctx *fasthttp.RequestCtx) {
	if e.leaving.Load() {
		ctx.SetConnectionClose()
		serve.Fail(ctx, fasthttp.StatusServiceUnavailable, "leaving")
		return
	}
	f := e.faults.Consume(countDown)
	if !e.interfere(ctx, f) {
		return
	}
	g, streamed, err := e.accept(ctx)
	if err != nil {
		serve.Fail(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	if !e.orders.serves(g.Model()) {
		serve.Fail(ctx, fasthttp.StatusNotFound, "model is not loaded")
		return
	}
	before := e.add(g)
	serve.Pause(e.batch.Done(), f.DelayMs)
	if f.Crossed && before != nil {
		g = before
	}
	if streamed {
		e.stream(ctx, g, 0, f.CutAfter)
		return
	}
	e.answerWhole(ctx, g)
}

// accept parses a chat request.
func (e *Engine) accept(ctx *fasthttp.RequestCtx) (g *batch.Generation, streamed bool, err error) {
	var r chatRequest
	if err := json.Unmarshal(ctx.PostBody(), &r); err != nil {
		return nil, false, err
	}
	p, err := prefix.NewPrompt(r.Model, r.Messages)
	if err != nil {
		return nil, false, err
	}
	if r.MaxTokens <= 0 {
		r.MaxTokens = costs.MaxTokens
	}
	h := &ctx.Request.Header
	id := string(h.Peek(requestIDHeader))
	if id == "" {
		id = "run-" + strconv.FormatInt(e.nextID.Add(1), 10)
	}
	k := prefix.Key{Workspace: string(h.Peek("X-Workspace")), Program: string(h.Peek("X-Program"))}
	return batch.NewGeneration(id, r.Model, p, r.MaxTokens, k, time.Now()), r.Stream, nil
}

// add registers a generation and starts it. It returns the one registered before.
func (e *Engine) add(g *batch.Generation) (before *batch.Generation) {
	e.mu.Lock()
	before, e.last = e.last, g
	e.streams[g.ID()] = g
	e.order = append(e.order, g)
	e.expire(time.Now())
	e.mu.Unlock()
	e.batch.Add(g)
	return before
}

// handleStream serves the resumption and the cancellation of an answer.
func (e *Engine) handleStream(ctx *fasthttp.RequestCtx, id string) {
	e.mu.Lock()
	g := e.streams[id]
	e.mu.Unlock()
	switch {
	case g == nil || g.Expired(time.Now()):
		serve.Fail(ctx, fasthttp.StatusNotFound, "no such stream")
	case ctx.IsDelete():
		g.Cancel(time.Now())
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	case ctx.IsGet():
		after := ctx.QueryArgs().GetUintOrZero("after")
		if last, err := strconv.Atoi(string(ctx.Request.Header.Peek("Last-Event-ID"))); err == nil && last > after {
			after = last
		}
		e.stream(ctx, g, after, 0)
	default:
		serve.Fail(ctx, fasthttp.StatusMethodNotAllowed, "use GET or DELETE")
	}
}

func (e *Engine) answerWhole(ctx *fasthttp.RequestCtx, g *batch.Generation) {
	for {
		_, s, changed := g.Read(0)
		switch s {
		case batch.Finished:
			ctx.Response.Header.Set(requestIDHeader, g.ID())
			serve.JSON(ctx, fasthttp.StatusOK, g.Whole())
			return
		case batch.Cancelled:
			serve.CloseConnection(ctx)
			return
		}
		select {
		case <-changed:
		case <-e.batch.Done():
			serve.CloseConnection(ctx)
			return
		}
	}
}
