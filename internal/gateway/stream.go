package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"

	"github.com/valyala/fasthttp"

	"github.com/comfreylink/comfreylink/internal/programs"
	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// maxEvent bounds one event of a stream.
const maxEvent = 1 << 20

// readSize is how much of a stream is read at once.
const readSize = 4 << 10

// errPartialEvent says that a stream ended within an event.
var errPartialEvent = errors.New("the stream ended within an event")

// eventReader splits a stream into events.
type eventReader struct {
	r   io.Reader
	buf []byte
	err error
}

// next returns the next whole event with its blank line, or io.EOF at the end of a complete stream. The event is valid
// until the next call.
func (r *eventReader) next() (event []byte, err error) {
	for {
		if end := bytes.Index(r.buf, []byte("\n\n")); end >= 0 {
			event, r.buf = r.buf[:end+2], r.buf[end+2:]
			return event, nil
		}
		if r.err != nil {
			if errors.Is(r.err, io.EOF) && len(bytes.TrimSpace(r.buf)) > 0 {
				return nil, errPartialEvent
			}
			return nil, r.err
		}
		if len(r.buf) > maxEvent {
			return nil, errors.New("an event is too long")
		}
		b := make([]byte, len(r.buf), len(r.buf)+readSize)
		copy(b, r.buf)
		n, err := r.r.Read(b[len(b):cap(b)])
		r.buf, r.err = b[:len(b)+n], err
	}
}

// field returns the value of a field of an event.
func field(event []byte, name string) (value []byte, ok bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		rest, found := bytes.CutPrefix(line, []byte(name+":"))
		if found {
			return bytes.TrimPrefix(bytes.TrimSuffix(rest, []byte("\r")), []byte(" ")), true
		}
	}
	return nil, false
}

// relayStream passes a stream on, event by event. A stream that breaks off may go on at another target if its route is
// resumable; the caller then sees one answer.
func (e *exchange) relayStream(h *fasthttp.ResponseHeader, body io.Reader) verdict {
	r := &eventReader{r: body}
	for {
		event, err := r.next()
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
		err = e.x.Piece(event)
	} else {
		if v, failed := e.awaitReservation(); failed {
			return v, true
		}
		e.firstByte = e.now().Sub(e.began)
		e.Metrics.FirstByte(e.route.Name, e.firstByte)
		err = e.x.Begin(fasthttp.StatusOK, responseHeaders(h), event)
	}
	e.events++
	if err != nil {
		return e.broken(err), true
	}
	if id, ok := field(event, "id"); ok {
		e.req.LastEvent = string(id)
	}
	if data, ok := field(event, "data"); ok && e.route.Remembered {
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
			reason: string(codeOverBudget), outcome: dispatch.Unsent, err: err,
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
	if err := e.x.End(nil); err != nil {
		return e.broken(err)
	}
	e.answered(fasthttp.StatusOK)
	return verdict{done: true, reason: "answered", outcome: dispatch.Completed, usage: usage}
}
