package engine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/comfreylink/comfreylink/standin/serve"
	"github.com/valyala/fasthttp"
)

const requestIDHeader = "X-Request-Id"

func (e *Engine) chat(ctx *fasthttp.RequestCtx) {
	if e.leaving.Load() {
		ctx.SetConnectionClose()
		serve.Fail(ctx, fasthttp.StatusServiceUnavailable, "leaving")
		return
	}
	f := e.faults.Take(countDown)
	if !e.interfere(ctx, f) {
		return
	}
	g, streamed, err := e.accept(ctx)
	if err != nil {
		serve.Fail(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	if !e.orders.serves(g.model) {
		serve.Fail(ctx, fasthttp.StatusNotFound, "model is not loaded")
		return
	}
	before := e.add(g)
	serve.Pause(e.batch.done, f.DelayMs)
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
func (e *Engine) accept(ctx *fasthttp.RequestCtx) (g *generation, streamed bool, err error) {
	var r chatRequest
	if err := json.Unmarshal(ctx.PostBody(), &r); err != nil {
		return nil, false, err
	}
	p, err := newPrompt(r.Model, r.Messages)
	if err != nil {
		return nil, false, err
	}
	if r.MaxTokens <= 0 {
		r.MaxTokens = defaultMaxTokens
	}
	h := &ctx.Request.Header
	g = &generation{id: string(h.Peek(requestIDHeader)), model: r.Model, prompt: p, max: r.MaxTokens}
	g.key = entryKey{workspace: string(h.Peek("X-Workspace")), program: string(h.Peek("X-Program"))}
	g.changed = make(chan struct{})
	g.run = Run{
		Workspace: g.key.workspace, Program: g.key.program, Model: r.Model,
		Messages: len(p.blocks), Digest: p.digest, PromptTokens: p.tokens,
		ArrivedMs: time.Now().UnixMilli(),
	}
	return g, r.Stream, nil
}

// add registers a generation and starts it. It returns the one registered before.
func (e *Engine) add(g *generation) (before *generation) {
	e.mu.Lock()
	e.nextID++
	if g.id == "" {
		g.id = "run-" + strconv.Itoa(e.nextID)
	}
	g.run.ID = g.id
	before, e.last = e.last, g
	e.streams[g.id] = g
	e.order = append(e.order, g)
	e.expire(time.Now())
	e.mu.Unlock()
	e.batch.add(g)
	return before
}

// handleStream serves the resumption and the cancellation of an answer.
func (e *Engine) handleStream(ctx *fasthttp.RequestCtx, id string) {
	e.mu.Lock()
	g := e.streams[id]
	e.mu.Unlock()
	switch {
	case g == nil || g.expired(time.Now()):
		serve.Fail(ctx, fasthttp.StatusNotFound, "no such stream")
	case ctx.IsDelete():
		g.cancel(time.Now())
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

func (e *Engine) answerWhole(ctx *fasthttp.RequestCtx, g *generation) {
	for {
		_, s, changed := g.read(0)
		switch s {
		case finished:
			ctx.Response.Header.Set(requestIDHeader, g.id)
			serve.JSON(ctx, fasthttp.StatusOK, g.whole())
			return
		case cancelled:
			serve.Break(ctx)
			return
		}
		select {
		case <-changed:
		case <-e.batch.done:
			serve.Break(ctx)
			return
		}
	}
}

// stream answers with the events after a number. With cutAfter above 0 the connection breaks after that many events.
func (e *Engine) stream(ctx *fasthttp.RequestCtx, g *generation, after, cutAfter int) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set(requestIDHeader, g.id)
	ctx.Response.ImmediateHeaderFlush = true
	w := &streamWriter{conn: ctx.Conn(), g: g, sent: after, cutAfter: cutAfter, done: e.batch.done}
	ctx.SetBodyStreamWriter(w.run)
}

type streamWriter struct {
	conn     net.Conn
	g        *generation
	sent     int // number of the last event written
	cutAfter int
	done     <-chan struct{}
}

func (s *streamWriter) run(w *bufio.Writer) {
	for {
		events, state, changed := s.g.read(s.sent)
		for _, data := range events {
			if s.cutAfter > 0 && s.sent >= s.cutAfter {
				_ = w.Flush()
				_ = s.conn.Close()
				return
			}
			s.sent++
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", s.sent, data)
		}
		switch state {
		case finished:
			fmt.Fprint(w, "data: [DONE]\n\n")
			return
		case cancelled:
			return
		}
		// A write fails when the reader is gone; the generation goes on.
		if err := w.Flush(); err != nil {
			return
		}
		select {
		case <-changed:
		case <-s.done:
			return
		}
	}
}
