package engine

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/comfreylink/comfreylink/standin/engine/batch"
	"github.com/valyala/fasthttp"
)

// errBroken makes the server close the connection in the middle of an answer.
var errBroken = errors.New("stream broken off")

// stream answers with the events after a number. With cutAfter above 0 the connection breaks after that many events.
func (e *Engine) stream(ctx *fasthttp.RequestCtx, g *batch.Generation, after, cutAfter int) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set(requestIDHeader, g.ID())
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStream(&eventStream{g: g, sent: after, cutAfter: cutAfter, done: e.batch.Done()}, -1)
}

// eventStream reads a generation as server-sent events. The server writes what a Read returns before it calls the next,
// so that a cut comes exactly after the events that it names.
type eventStream struct {
	g        *batch.Generation
	sent     int // number of the last event in pending or before it
	cutAfter int
	done     <-chan struct{}
	pending  bytes.Buffer
	ended    bool
}

// Read implements io.Reader. It waits for the next event.
func (s *eventStream) Read(p []byte) (int, error) {
	for s.pending.Len() == 0 {
		if err := s.fill(); err != nil {
			return 0, err
		}
	}
	return s.pending.Read(p)
}

// fill moves events into pending, or waits for a change if there are none.
func (s *eventStream) fill() error {
	switch {
	case s.ended:
		return io.EOF
	case s.cut():
		return errBroken
	}
	events, state, changed := s.g.Read(s.sent)
	for _, data := range events {
		if s.cut() {
			return nil
		}
		s.sent++
		fmt.Fprintf(&s.pending, "id: %d\ndata: %s\n\n", s.sent, data)
	}
	switch {
	case state == batch.Finished && !s.cut():
		s.pending.WriteString("data: [DONE]\n\n")
		s.ended = true
		return nil
	case len(events) > 0:
		return nil
	case state == batch.Cancelled:
		return errBroken
	}
	select {
	case <-changed:
		return nil
	case <-s.done:
		return errBroken
	}
}

// cut reports whether the connection is to break here.
func (s *eventStream) cut() bool { return s.cutAfter > 0 && s.sent >= s.cutAfter }
