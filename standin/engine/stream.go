package engine

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/comfreylink/comfreylink/standin/engine/batch"
	"github.com/valyala/fasthttp"
)

// errCutOff makes the server close the connection in the middle of an answer.
var errCutOff = errors.New("stream cut off")

// stream answers with the events whose number is above after. If cutAfter is above 0, the connection is closed after the
// event with that number.
func (e *Engine) stream(ctx *fasthttp.RequestCtx, g *batch.Generation, after, cutAfter int) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set(requestIDHeader, g.ID())
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStream(&eventStream{g: g, sent: after, cutAfter: cutAfter, done: e.batch.Done()}, -1)
}

// eventStream reads a generation as server-sent events. The server writes the result of each Read before it calls the next
// one, so the connection is closed exactly after event cutAfter.
type eventStream struct {
	g        *batch.Generation
	sent     int // number of the last event written to pending
	cutAfter int
	done     <-chan struct{}
	pending  bytes.Buffer
	ended    bool // the final [DONE] event was written to pending
}

// Read implements io.Reader. It blocks until there is an event.
func (s *eventStream) Read(p []byte) (int, error) {
	for s.pending.Len() == 0 {
		if err := s.fill(); err != nil {
			return 0, err
		}
	}
	return s.pending.Read(p)
}

// fill writes new events to pending. If there are none, it blocks until the generation changes.
func (s *eventStream) fill() error {
	switch {
	case s.ended:
		return io.EOF
	case s.atCut():
		return errCutOff
	}
	events, state, changed := s.g.Read(s.sent)
	for _, data := range events {
		if s.atCut() {
			return nil
		}
		s.sent++
		fmt.Fprintf(&s.pending, "id: %d\ndata: %s\n\n", s.sent, data)
	}
	switch {
	case state == batch.Finished && !s.atCut():
		s.pending.WriteString("data: [DONE]\n\n")
		s.ended = true
		return nil
	case len(events) > 0:
		return nil
	case state == batch.Cancelled:
		return errCutOff
	}
	select {
	case <-changed:
		return nil
	case <-s.done:
		return errCutOff
	}
}

// atCut reports whether the connection is to be closed here.
func (s *eventStream) atCut() bool { return s.cutAfter > 0 && s.sent >= s.cutAfter }
