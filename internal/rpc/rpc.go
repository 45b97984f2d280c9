// Package rpc carries JSON-RPC calls between instances. Only the side that opened a connection calls.
package rpc

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/comfreylink/comfreylink/internal/frame"
)

// dialTimeout bounds the time to reach another instance.
const dialTimeout = 150 * time.Millisecond

// quiet drops what jsonrpc2 prints of its own: answers to calls that were given up and connections that end are expected.
var quiet = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// ErrUnreachable is wrapped by errors of calls that did not reach the other instance.
var ErrUnreachable = errors.New("the instance is not reachable")

// Client keeps a connection to each instance that was called. It is safe for concurrent use.
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
	conn = jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(nc, frame.Codec{}), refuseCalls{}, quiet)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[address] = conn
	return conn, nil
}

// drop closes a connection on which an answer is missing.
func (c *Client) drop(address string, conn *jsonrpc2.Conn) {
	_ = conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
}

// Call makes a call. The error is a *jsonrpc2.Error if the other instance answered with one, and wraps ErrUnreachable if
// nothing was sent.
func (c *Client) Call(ctx context.Context, address, method string, params, result any) error {
	conn, err := c.conn(ctx, address)
	if err != nil {
		return errors.Join(ErrUnreachable, err)
	}
	err = conn.Call(ctx, method, params, result)
	var answered *jsonrpc2.Error
	if err != nil && !errors.As(err, &answered) {
		c.drop(address, conn)
	}
	return err
}

// refuseCalls answers nothing.
type refuseCalls struct{}

func (refuseCalls) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// Method answers one kind of call.
type Method func(ctx context.Context, params json.RawMessage) (result any, err error)

// Typed returns a method whose parameters are decoded.
func Typed[P any](do func(ctx context.Context, p P) (any, error)) Method {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		var p P
		if err := json.Unmarshal(params, &p); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return do(ctx, p)
	}
}

// Server answers calls of other instances.
type Server struct {
	methods map[string]Method

	mu    sync.Mutex
	conns map[*jsonrpc2.Conn]struct{}
}

// NewServer returns a server of the methods of all the maps.
func NewServer(methods ...map[string]Method) *Server {
	s := &Server{methods: make(map[string]Method), conns: make(map[*jsonrpc2.Conn]struct{})}
	for _, m := range methods {
		for name, method := range m {
			s.methods[name] = method
		}
	}
	return s
}

// Serve accepts connections until the listener is closed.
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
		// A caller that has gone does not wait for its answer, so that nothing is lost with what cannot be sent.
		conn := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(nc, frame.Codec{}),
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
	method := s.methods[r.Method]
	switch {
	case method == nil:
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
	case r.Params == nil:
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	return method(ctx, *r.Params)
}
