// Package rpc makes and serves JSON-RPC calls between instances. Only the side that opened a connection makes calls on
// it.
package rpc

import (
	"context"
	"encoding/json"
	"io"
	"log"

	"github.com/sourcegraph/jsonrpc2"
)

// quiet discards the log output of jsonrpc2. It reports responses to abandoned calls and closed connections, which are
// expected.
var quiet = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// codeBusy is the error code of a call that was not begun because too many are in progress.
const codeBusy = -32000

// Method handles the calls of one JSON-RPC method.
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
