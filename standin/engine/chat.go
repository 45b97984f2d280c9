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

// chat serves POST /v1/chat/completions.
func (e *Engine) chat(ctx *fasthttp.RequestCtx) {
	if e.leaving.Load() {
		ctx.SetConnectionClose()
		serve.Fail(ctx, fasthttp.StatusServiceUnavailable, "leaving")
		return
	}
	f := e.faults.Consume(countDown)
	if !e.applyFaults(ctx, f) {
		return
	}
	g, streamed, err := e.parseChat(ctx)
	if err != nil {
		serve.Fail(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	if !e.orders.serves(g.Model()) {
		serve.Fail(ctx, fasthttp.StatusNotFound, "model is not loaded")
		return
	}
	previous := e.add(g)
	serve.Pause(e.batch.Done(), f.DelayMs)
	if f.Crossed && previous != nil {
		g = previous
	}
	if streamed {
		e.stream(ctx, g, 0, f.CutAfter)
		return
	}
	e.answerWhole(ctx, g)
}

// parseChat parses a chat request and reports whether the answer is to be streamed. It generates an id for a request that has
// none.
func (e *Engine) parseChat(ctx *fasthttp.RequestCtx) (g *batch.Generation, streamed bool, err error) {
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

// add registers a generation, starts it and returns the generation registered before it.
func (e *Engine) add(g *batch.Generation) (previous *batch.Generation) {
	e.mu.Lock()
	previous, e.latest = e.latest, g
	e.streams[g.ID()] = g
	e.listed = append(e.listed, g)
	e.expire(time.Now())
	e.mu.Unlock()
	e.batch.Add(g)
	return previous
}

// handleStream serves /v1/streams/ID. GET resumes the answer after a given event and DELETE cancels it.
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

// answerWhole waits until the generation ends and answers with the whole completion.
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
