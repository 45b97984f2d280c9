// Package rpc makes and serves JSON-RPC calls between instances. Only the side that opened a connection makes calls on
// it.
package rpc

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// quiet discards the log output of jsonrpc2. It reports responses to abandoned calls and closed connections, which are
// expected.
var quiet = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// codeBusy is the error code of a call that was not begun because too many are in progress.
const codeBusy = -32000

// callMeta is sent with a call, beside its parameters.
type callMeta struct {
	// TimeoutMs is how long the caller waits; 0 if it does not say.
	TimeoutMs int64 `json:"timeoutMs,omitempty"`
}

// metaOf returns what is sent with a call that has a context.
func metaOf(ctx context.Context) (m callMeta) {
	if deadline, ok := ctx.Deadline(); ok {
		m.TimeoutMs = max(time.Until(deadline).Milliseconds(), 1)
	}
	return m
}

// context returns a context that ends when the caller no longer waits.
func (m callMeta) context(ctx context.Context) (context.Context, context.CancelFunc) {
	if m.TimeoutMs <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(m.TimeoutMs)*time.Millisecond)
}

// Method handles the calls of one JSON-RPC method. Its context ends when the caller no longer waits or has disconnected.
type Method func(ctx context.Context, params json.RawMessage) (result any, err error)

// Typed returns a Method that decodes its parameters into a P and passes them to do.
func Typed[P any](do func(ctx context.Context, p P) (any, error)) Method {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		var p P
		if err := json.Unmarshal(params, &p); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return do(ctx, p)
	}
}

// IsAnswer reports whether the error of a call is the answer of the called instance.
func IsAnswer(err error) bool {
	var answered *jsonrpc2.Error
	return errors.As(err, &answered)
}
