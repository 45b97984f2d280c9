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

// Method names.
const (
	methodAppend = "append"
	methodRead   = "read"
	methodNewest = "newest"
)

// Error codes, in addition to those of JSON-RPC.
const (
	codeNotApplied     = 1
	codeOutcomeUnknown = 2
	codeConflict       = 3
	codeTruncated      = 4
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

// peerLog is the platform's log, called through another instance.
type peerLog struct {
	client  Caller
	address string
}

func (p *peerLog) call(ctx context.Context, method string, params, result any) error {
	err := p.client.Call(ctx, p.address, method, params, result)
	var rpcErr *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &rpcErr):
		return decodeError(rpcErr)
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
	// A read has no effect, so it may be retried through another instance even if there was no answer.
	return page, asNotApplied(err)
}

func (p *peerLog) Newest(ctx context.Context, part partlog.Partition) ([]partlog.Entry, ids.Offset, error) {
	var r newestResult
	err := p.call(ctx, methodNewest, newestParams{Partition: part}, &r)
	return r.Entries, r.End, asNotApplied(err)
}

// asNotApplied adds ErrNotApplied to an error with an unknown outcome. It is meant for reads, which have no effect.
func asNotApplied(err error) error {
	if errors.Is(err, partlog.ErrOutcomeUnknown) {
		return errors.Join(partlog.ErrNotApplied, err)
	}
	return err
}

// Methods returns the methods that other instances call. They call the log directly and never through a third instance.
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

func (p appendParams) target() (partlog.Partition, callKind) { return p.Partition, appendCall }
func (p readParams) target() (partlog.Partition, callKind)   { return p.Partition, kindOfRead(p.From) }
func (p newestParams) target() (partlog.Partition, callKind) { return p.Partition, readCall }

// serve returns a method that runs do if this instance reaches the partition directly, and records its result. It also probes a
// partition that is considered unavailable: this instance may have no calls of its own to it that would.
func serve[P interface {
	target() (partlog.Partition, callKind)
}](l *Log, do func(context.Context, P) (any, error)) rpc.Method {
	return rpc.Typed(func(ctx context.Context, params P) (result any, err error) {
		p, kind := params.target()
		if !l.reachesAfterProbe(ctx, p) {
			return nil, encodeError(errUnavailable)
		}
		err = l.callDirect(ctx, p, kind, func(ctx context.Context, _ partlog.Log) (err error) {
			result, err = do(ctx, params)
			return err
		})
		if err != nil {
			return nil, encodeError(err)
		}
		return result, nil
	})
}

func encodeError(err error) *jsonrpc2.Error {
	e := &jsonrpc2.Error{Code: codeOutcomeUnknown, Message: err.Error()}
	var conflict *partlog.ConflictError
	var truncated *partlog.TruncatedError
	switch {
	case errors.As(err, &conflict):
		e.Code = codeConflict
		e.SetError(errorData{Offset: conflict.End})
	case errors.As(err, &truncated):
		e.Code = codeTruncated
		e.SetError(errorData{Offset: truncated.First})
	case errors.Is(err, partlog.ErrNotApplied):
		e.Code = codeNotApplied
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
	case codeTruncated:
		return &partlog.TruncatedError{First: data.Offset}
	case codeNotApplied:
		return errors.Join(partlog.ErrNotApplied, e)
	default:
		return errors.Join(partlog.ErrOutcomeUnknown, e)
	}
}
