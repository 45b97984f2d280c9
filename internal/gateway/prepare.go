package gateway

import (
	"bytes"
	"context"
	"errors"

	"github.com/valyala/fasthttp"

	"github.com/comfreylink/comfreylink/internal/programs"
	"github.com/comfreylink/comfreylink/pkg/admission"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// prepare loads the earlier turns that the request continues, and reserves its tokens in the program's budget.
func (e *exchange) prepare() *refusal {
	if !e.route.Remembered && !e.needsReservation() {
		return nil
	}
	request := admission.Request{Deadline: e.deadline, Run: e.queues.MeanDuration(e.route.Backend(e.backendKey())), First: e.firstCall}
	if r := e.checkRecordable(request); r != nil {
		return r
	}
	ctx, cancel := e.recordGate.Prepare(e.ctx, e.now(), request)
	defer cancel()
	if e.route.Remembered {
		if r := e.loadChain(ctx); r != nil {
			return r
		}
	}
	if e.needsReservation() {
		return e.reserve(ctx)
	}
	return nil
}

// needsReservation reports whether the request takes tokens from the budget of its program.
func (e *exchange) needsReservation() bool {
	return e.req.Budget > 0 && e.req.MaxOutput > 0 && e.req.Program != "" && e.workspace != nil
}

// checkRecordable refuses a request whose result would probably not be recorded in the log before its deadline, so that no
// target runs it for nothing.
func (e *exchange) checkRecordable(request admission.Request) *refusal {
	a := e.recordGate.Decide(request)
	if a.Admitted {
		return nil
	}
	return &refusal{status: fasthttp.StatusServiceUnavailable, code: codeLogUnavailable, retry: a.RetryAfter}
}

// loadChain puts the earlier turns of the chain before the request's body.
func (e *exchange) loadChain(ctx context.Context) *refusal {
	if len(e.x.Body) > programs.MaxInput {
		return &refusal{status: fasthttp.StatusRequestEntityTooLarge, code: codeTooLarge}
	}
	if e.req.Previous == "" {
		return nil
	}
	turns, err := e.programs.Chain(ctx, e.began, e.program(), e.req.Previous)
	if errors.Is(err, programs.ErrTurnNotFound) {
		return &refusal{status: fasthttp.StatusNotFound, code: codeNoTurn}
	}
	if err != nil {
		return &refusal{status: fasthttp.StatusServiceUnavailable, code: codeTurnUnavailable, retry: logRetryDelay(err, e.recordGate.ExpectedWrite()), err: err}
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

// reserve reserves the turn's tokens in the budget of the program.
func (e *exchange) reserve(ctx context.Context) *refusal {
	r, err := e.programs.Reserve(ctx, programs.ReserveRequest{
		Key: e.program(), Turn: string(e.req.ID), Budget: e.req.Budget, Tokens: e.req.MaxOutput,
		Deadline: e.deadline,
	})
	e.reservation = r
	switch {
	case err == nil:
		return nil
	case errors.Is(err, programs.ErrBudgetExceeded):
		return &refusal{status: fasthttp.StatusPaymentRequired, code: codeBudget}
	default:
		return &refusal{status: fasthttp.StatusServiceUnavailable, code: codeLedgerUnavailable, retry: logRetryDelay(err, e.recordGate.ExpectedWrite()), err: err}
	}
}

// settle replaces the reservation by the number of tokens that the caller has received.
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
