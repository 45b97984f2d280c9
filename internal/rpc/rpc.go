// Package rpc makes and serves JSON-RPC calls between instances. Only the side that opened a connection makes calls on
// it.
package rpc

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"runtime/debug"
	"sync"

	"github.com/sourcegraph/jsonrpc2"
)

// quiet discards the log output of jsonrpc2. It reports responses to abandoned calls and closed connections, which are
// expected.
var quiet = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

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

// Server serves calls of other instances.
type Server struct {
	methods map[string]Method
	failed  func(err error)

	mu    sync.Mutex
	conns map[*jsonrpc2.Conn]struct{}
}

// NewServer returns a server for the methods in all of the maps, by name. It calls failed when a method panics.
func NewServer(failed func(err error), methods ...map[string]Method) *Server {
	s := &Server{failed: failed, methods: make(map[string]Method), conns: make(map[*jsonrpc2.Conn]struct{})}
	for _, m := range methods {
		for name, method := range m {
			s.methods[name] = method
		}
	}
	return s
}

// Serve accepts and serves connections until the listener is closed. Then it closes the connections.
func (s *Server) Serve(l net.Listener) error {
	defer s.closeAll()
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		// A disconnected caller no longer waits for its response, so errors of sending to a closed connection are ignored.
		conn := jsonrpc2.NewConn(context.Background(), newStream(nc, func() {}),
			jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.handle).SuppressErrClosed()), quiet)
		s.mu.Lock()
		s.conns[conn] = struct{}{}
		s.mu.Unlock()
		go func() {
			<-conn.DisconnectNotify()
			s.mu.Lock()
			defer s.mu.Unlock()
			delete(s.conns, conn)
		}()
	}
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

func (s *Server) handle(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (result any, err error) {
	// A call that makes its method panic must not end the process.
	defer func() {
		if cause := recover(); cause != nil {
			err = &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "internal error"}
			s.failed(fmt.Errorf("panic in %s: %v\n%s", r.Method, cause, debug.Stack()))
		}
	}()
	method := s.methods[r.Method]
	switch {
	case method == nil:
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
	case r.Params == nil:
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	return method(ctx, *r.Params)
}
