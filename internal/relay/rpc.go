package relay

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/rpc"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Names of the methods.
const (
	methodAppend = "append"
	methodRead   = "read"
	methodNewest = "newest"
)

// Codes of errors, beside those of JSON-RPC.
const (
	codeNotDone  = 1
	codeUnknown  = 2
	codeConflict = 3
	codeGone     = 4
)

type appendParams struct {
	Partition partlog.Partition `json:"partition"`
	At        ids.Offset        `json:"at"`
	Records   [][]byte          `json:"records"`
}

type appendResult struct {
	First ids.Offset `json:"first"`
}

type readParams struct {
	Partition partlog.Partition `json:"partition"`
	From      ids.Offset        `json:"from"`
	WaitMs    int64             `json:"waitMs"`
}

type newestParams struct {
	Partition partlog.Partition `json:"partition"`
}

type newestResult struct {
	Entries []partlog.Entry `json:"entries"`
	End     ids.Offset      `json:"end"`
}

type errorData struct {
	Offset ids.Offset `json:"offset"`
}

// peerLog is the log as another instance reaches it.
type peerLog struct {
	client  *rpc.Client
	address string
}

func (p *peerLog) call(ctx context.Context, method string, params, result any) error {
	err := p.client.Call(ctx, p.address, method, params, result)
	var answered *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &answered):
		return decodeError(answered)
	case errors.Is(err, rpc.ErrUnreachable):
		return errors.Join(partlog.ErrNotApplied, err)
	default:
		return errors.Join(partlog.ErrOutcomeUnknown, err)
	}
}

func (p *peerLog) Append(ctx context.Context, part partlog.Partition, at ids.Offset, records ...[]byte) (ids.Offset, error) {
	var r appendResult
	err := p.call(ctx, methodAppend, appendParams{Partition: part, At: at, Records: records}, &r)
	return r.First, err
}

func (p *peerLog) Read(ctx context.Context, part partlog.Partition, from ids.Offset, wait time.Duration) (page partlog.Page, err error) {
	err = p.call(ctx, methodRead, readParams{Partition: part, From: from, WaitMs: wait.Milliseconds()}, &page)
	// A read that was not answered had no effect, so that another instance may be asked.
	return page, notDone(err)
}

func (p *peerLog) Newest(ctx context.Context, part partlog.Partition) ([]partlog.Entry, ids.Offset, error) {
	var r newestResult
	err := p.call(ctx, methodNewest, newestParams{Partition: part}, &r)
	return r.Entries, r.End, notDone(err)
}

func notDone(err error) error {
	if errors.Is(err, partlog.ErrOutcomeUnknown) {
		return errors.Join(partlog.ErrNotApplied, err)
	}
	return err
}

// Methods are the calls of other instances, made directly: they are never passed on to a third instance.
func (l *Log) Methods() map[string]rpc.Method {
	return map[string]rpc.Method{
		methodAppend: serve(l, func(ctx context.Context, p appendParams) (any, error) {
			first, err := l.Direct.Append(ctx, p.Partition, p.At, p.Records...)
			return appendResult{First: first}, err
		}),
		methodRead: serve(l, func(ctx context.Context, p readParams) (any, error) {
			return l.Direct.Read(ctx, p.Partition, p.From, time.Duration(p.WaitMs)*time.Millisecond)
		}),
		methodNewest: serve(l, func(ctx context.Context, p newestParams) (any, error) {
			entries, end, err := l.Direct.Newest(ctx, p.Partition)
			return newestResult{Entries: entries, End: end}, err
		}),
	}
}

func serve[P any](l *Log, do func(context.Context, P) (any, error)) rpc.Method {
	return rpc.Typed(func(ctx context.Context, p P) (any, error) {
		if !l.Reachable() {
			return nil, encodeError(errAway)
		}
		result, err := do(ctx, p)
		l.note(err)
		if err != nil {
			return nil, encodeError(err)
		}
		return result, nil
	})
}

func encodeError(err error) *jsonrpc2.Error {
	e := &jsonrpc2.Error{Code: codeUnknown, Message: err.Error()}
	var conflict *partlog.ConflictError
	var gone *partlog.TruncatedError
	switch {
	case errors.As(err, &conflict):
		e.Code = codeConflict
		e.SetError(errorData{Offset: conflict.End})
	case errors.As(err, &gone):
		e.Code = codeGone
		e.SetError(errorData{Offset: gone.First})
	case errors.Is(err, partlog.ErrNotApplied):
		e.Code = codeNotDone
	}
	return e
}

func decodeError(e *jsonrpc2.Error) error {
	var data errorData
	if e.Data != nil {
		if err := json.Unmarshal(*e.Data, &data); err != nil {
			return errors.Join(partlog.ErrOutcomeUnknown, err)
		}
	}
	switch e.Code {
	case codeConflict:
		return &partlog.ConflictError{End: data.Offset}
	case codeGone:
		return &partlog.TruncatedError{First: data.Offset}
	case codeNotDone:
		return errors.Join(partlog.ErrNotApplied, e)
	default:
		return errors.Join(partlog.ErrOutcomeUnknown, e)
	}
}
