package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"

	"github.com/valyala/fasthttp"

	"github.com/comfreylink/comfreylink/internal/eventstream"
	"github.com/comfreylink/comfreylink/internal/programs"
	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// relayStream passes a stream on, event by event. A stream that breaks off may go on at another target if its route is
// resumable; the caller then sees one answer.
func (e *exchange) relayStream(h *fasthttp.ResponseHeader, body io.Reader) verdict {
	r := eventstream.New(body)
	for {
		event, err := r.Next()
		if errors.Is(err, io.EOF) && e.events > 0 {
			return e.endStream()
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return e.broken(err)
		}
		if v, failed := e.passEvent(h, event); failed {
			return v
		}
	}
}

// passEvent writes one event to the caller.
func (e *exchange) passEvent(h *fasthttp.ResponseHeader, event []byte) (v verdict, failed bool) {
	var err error
	if e.x.Started() {
		err = e.x.WriteChunk(event)
	} else {
		if v, failed := e.awaitReservation(); failed {
			return v, true
		}
		e.firstByte = e.now().Sub(e.began)
		e.Metrics.FirstByte(e.route.Name, e.firstByte)
		err = e.x.WriteHead(fasthttp.StatusOK, responseHeaders(h), event)
	}
	e.events++
	if err != nil {
		return e.broken(err), true
	}
	if id, ok := eventstream.Field(event, "id"); ok {
		e.req.LastEvent = string(id)
	}
	if data, ok := eventstream.Field(event, "data"); ok && e.route.Remembered {
		e.output = append(e.output, data...)
		e.output = append(e.output, '\n')
	}
	return verdict{}, false
}

// awaitReservation waits until the turn's tokens are reserved for certain: until then the caller gets none.
func (e *exchange) awaitReservation() (v verdict, failed bool) {
	if e.reservation == nil {
		return v, false
	}
	ctx, cancel := context.WithTimeout(e.ctx, e.deadline.Sub(e.now()))
	defer cancel()
	if err := e.reservation.Wait(ctx); err != nil {
		return verdict{
			done: true, refusal: &refusal{status: fasthttp.StatusBadGateway, code: codeOverBudget, err: err},
			reason: string(codeOverBudget), outcome: dispatch.NotSent, err: err,
		}, true
	}
	return v, false
}

// endStream ends a complete stream. A turn that is remembered is kept before its caller sees the end.
func (e *exchange) endStream() verdict {
	usage := record.Usage{
		Prompt: e.req.Prompt, Cached: e.cached, Completion: ids.Tokens(e.events) * e.tokensPerEvent(),
	}
	if e.route.Remembered {
		ctx, cancel := context.WithTimeout(e.ctx, e.deadline.Sub(e.now()))
		defer cancel()
		err := e.programs.Put(ctx, programs.Turn{
			ID: e.req.ID, Program: e.program(), Chain: e.chain, Input: bytes.Clone(e.x.Body), Output: e.output,
		})
		if err != nil {
			return verdict{
				done: true, refusal: &refusal{status: fasthttp.StatusBadGateway, code: codeNotKept, err: err},
				reason: string(codeNotKept), outcome: dispatch.Completed, usage: usage, err: err,
			}
		}
	}
	if err := e.x.WriteLast(nil); err != nil {
		return e.broken(err)
	}
	e.answered(fasthttp.StatusOK)
	return verdict{done: true, reason: "answered", outcome: dispatch.Completed, usage: usage}
}
