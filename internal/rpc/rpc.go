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
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// dialTimeout bounds the time to connect to another instance.
const dialTimeout = 150 * time.Millisecond

// quiet discards the log output of jsonrpc2. It reports responses to abandoned calls and closed connections, which are
// expected.
var quiet = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// ErrUnreachable is wrapped by errors of calls that were not sent because there is no connection to the other instance.
var ErrUnreachable = errors.New("the instance is not reachable")

// Client makes calls and keeps a connection to each instance that it has called. It is safe for concurrent use.
type Client struct {
	mu    sync.Mutex
	conns map[string]*jsonrpc2.Conn
}

// NewClient returns a client; cleanup closes its connections.
func NewClient() (c *Client, cleanup func()) {
	c = &Client{conns: make(map[string]*jsonrpc2.Conn)}
	return c, c.close
}

func (c *Client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

func (c *Client) conn(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	conn := c.conns[address]
	c.mu.Unlock()
	if conn != nil {
		select {
		case <-conn.DisconnectNotify():
		default:
			return conn, nil
		}
	}
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn = jsonrpc2.NewConn(context.Background(), newStream(nc), ignoreCalls{}, quiet)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[address] = conn
	return conn, nil
}

// drop closes a connection on which a call got no response, and removes it from the client.
func (c *Client) drop(address string, conn *jsonrpc2.Conn) {
	_ = conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
}

// Call calls a method of the instance at an address and decodes the response into result. The error is a *jsonrpc2.Error
// if the other instance answered with an error, and wraps ErrUnreachable if nothing was sent.
func (c *Client) Call(ctx context.Context, address, method string, params, result any) error {
	conn, err := c.conn(ctx, address)
	if err != nil {
		return errors.Join(ErrUnreachable, err)
	}
	err = conn.Call(ctx, method, params, result)
	var rpcErr *jsonrpc2.Error
	if err != nil && !errors.As(err, &rpcErr) {
		c.drop(address, conn)
	}
	return err
}

// ignoreCalls is the handler of a client's connections. It ignores calls from the other side.
type ignoreCalls struct{}

func (ignoreCalls) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

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
		conn := jsonrpc2.NewConn(context.Background(), newStream(nc),
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
