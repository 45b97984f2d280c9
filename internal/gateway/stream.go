package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/comfreylink/comfreylink/internal/eventstream"
	"github.com/comfreylink/comfreylink/internal/httpwire"
	"github.com/comfreylink/comfreylink/internal/programs"
	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// relayStream passes on a stream, event by event. If the stream breaks off and its route is resumable, it may continue at
// another target, and the caller sees one answer.
func (e *exchange) relayStream(h *fasthttp.ResponseHeader, body io.Reader) attemptResult {
	memory := e.answerMemory.Reserve()
	defer memory.Release()
	r := eventstream.New(httpwire.Limit(body, maxAnswerBytes), memory)
	maxEvents := e.maxEvents()
	if e.events == 0 {
		e.contentType = string(h.ContentType())
	} else if t := string(h.ContentType()); t != "" && t != e.contentType && !eventstream.IsMediaType(t) {
		return e.incomplete(errNotContinued)
	}
	continued := e.events == 0
	for {
		event, err := r.Next()
		if errors.Is(err, io.EOF) && e.events > 0 {
			return e.endStream()
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return e.incomplete(err)
		}
		if e.events >= maxEvents {
			return e.incomplete(errTooManyEvents)
		}
		if !continued && !eventstream.Comment(event) {
			if !eventstream.Follows(event, e.req.LastEvent) {
				return e.incomplete(errNotContinued)
			}
			continued = true
		}
		if res, failed := e.relayEvent(h, event); failed {
			return res
		}
	}
}

// errNotContinued is the error of an answer that should go on with a stream after the events that the caller has. It may be
// an error page with status 200, or a stream that begins anew.
var errNotContinued = fmt.Errorf("%w: it does not go on after the stream's last event", errUnusable)

var errTooManyEvents = fmt.Errorf("%w: the stream has more events than the request's tokens allow", errUnusable)

// maxEvents returns how many events the caller may get: those of the most tokens that the request may generate, and one for
// an end without tokens. A faulty target may send events without end.
func (e *exchange) maxEvents() int {
	if e.req.MaxOutput <= 0 {
		return math.MaxInt
	}
	perEvent := max(e.tokensPerEvent(), 1)
	return int((e.req.MaxOutput+perEvent-1)/perEvent) + 1
}

// relayEvent writes one event to the caller. If it fails, it returns the result of the attempt.
func (e *exchange) relayEvent(h *fasthttp.ResponseHeader, event []byte) (res attemptResult, failed bool) {
	var err error
	if e.x.Started() {
		err = e.x.WriteChunk(event)
	} else {
		if res, failed := e.awaitReservation(); failed {
			return res, true
		}
		e.firstByte = e.now().Sub(e.began)
		e.Metrics.FirstByte(e.route.Name, e.firstByte)
		err = e.x.WriteHead(fasthttp.StatusOK, responseHeaders(h), event)
	}
	e.events++
	if err != nil {
		return e.callerFailed(err), true
	}
	if id, ok := eventstream.Field(event, "id"); ok {
		e.req.LastEvent = string(id)
	}
	if data, ok := eventstream.Field(event, "data"); ok && e.route.Remembered {
		if err := e.outputMemory.Grow(len(data) + 1); err != nil {
			return e.incomplete(err), true
		}
		e.output = append(e.output, data...)
		e.output = append(e.output, '\n')
	}
	return attemptResult{}, false
}

// recordTime is how long before its deadline the answer of a turn may begin at the latest. Less time would hardly be enough for
// the turn's record, without which a begun answer is cut off.
const recordTime = 100 * time.Millisecond

// awaitReservation blocks until the reservation of the turn's tokens is confirmed, because the caller must not get any tokens
// before. If it fails, it returns the result of the attempt.
func (e *exchange) awaitReservation() (res attemptResult, failed bool) {
	if e.reservation == nil {
		return res, false
	}
	left := e.deadline.Sub(e.now())
	if e.route.Remembered {
		left -= recordTime
	}
	ctx, cancel := context.WithTimeout(e.ctx, left)
	defer cancel()
	if err := e.reservation.Wait(ctx); err != nil {
		return attemptResult{
			done: true, refusal: &refusal{status: fasthttp.StatusBadGateway, code: codeOverBudget, err: err},
			reason: string(codeOverBudget), outcome: dispatch.NotSent, err: err,
		}, true
	}
	return res, false
}

// recordContext returns the context for the record of a turn that its target has finished. A planned stop does not end it: until
// the process exits, the record may still be written.
func (e *exchange) recordContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(e.ctx), e.deadline.Sub(e.now()))
	stopWatch := context.AfterFunc(e.ctx, func() {
		if e.endCode() != codeStopping {
			cancel()
		}
	})
	return ctx, func() {
		stopWatch()
		cancel()
	}
}

// endStream ends a complete stream. On routes that remember turns, the turn is stored before the caller sees the end.
func (e *exchange) endStream() attemptResult {
	usage := record.Usage{
		Prompt: e.req.Prompt, Cached: e.cached, Completion: ids.Tokens(e.events) * e.tokensPerEvent(),
	}
	if e.route.Remembered {
		ctx, cancel := e.recordContext()
		defer cancel()
		err := e.programs.Put(ctx, programs.Turn{
			ID: e.req.ID, Program: e.program(), Chain: e.chain, Input: bytes.Clone(e.x.Body), Output: e.output,
		})
		if err != nil {
			return attemptResult{
				done: true, refusal: &refusal{status: fasthttp.StatusBadGateway, code: codeTurnNotKept, err: err},
				reason: string(codeTurnNotKept), outcome: dispatch.Completed, usage: usage, err: err,
			}
		}
	}
	if err := e.x.WriteLast(nil); err != nil {
		return e.callerFailed(err)
	}
	e.logAnswered(fasthttp.StatusOK)
	return attemptResult{done: true, reason: "answered", outcome: dispatch.Completed, usage: usage}
}

// responseHeaders returns the headers of a target's answer that the caller gets.
func responseHeaders(h *fasthttp.ResponseHeader) []byte {
	return httpwire.AppendHeaders(nil, h.All(), h.Peek("Connection"), nil)
}
