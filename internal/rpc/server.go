package rpc

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/comfreylink/comfreylink/internal/frame"
)

const (
	// maxCalls bounds the calls of one connection that are in progress.
	maxCalls = 1024
	// maxParamsBytes bounds the parameters of all calls in progress that are larger than smallParamsBytes.
	maxParamsBytes   = 32 << 20
	smallParamsBytes = 1 << 10
	// finishTimeout is how long a server that stops waits for the calls in progress.
	finishTimeout = 100 * time.Millisecond
	// finishPoll is how often it checks whether they have ended.
	finishPoll = 2 * time.Millisecond
)

// Server serves calls of other instances.
type Server struct {
	methods map[string]Method
	failed  func(err error)

	mu          sync.Mutex
	conns       map[*serverConn]struct{}
	paramsBytes int // of the calls in progress that are not small
}

// serverConn is a connection of another instance. It is a jsonrpc2.Handler.
type serverConn struct {
	server *Server
	stream *stream
	rpc    *jsonrpc2.Conn
	calls  int // in progress; guarded by the server's lock
}

// NewServer returns a server for the methods in all of the maps, by name. It calls failed when a method panics.
func NewServer(failed func(err error), methods ...map[string]Method) *Server {
	s := &Server{failed: failed, methods: make(map[string]Method), conns: make(map[*serverConn]struct{})}
	for _, m := range methods {
		for name, method := range m {
			s.methods[name] = method
		}
	}
	return s
}

// Serve accepts and serves connections until the listener is closed. Then it waits a short time for the calls in progress and
// closes the connections.
func (s *Server) Serve(l net.Listener) error {
	defer s.closeAll()
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			s.finish()
			return nil
		}
		if err != nil {
			return err
		}
		s.add(nc)
	}
}

func (s *Server) add(nc net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &serverConn{server: s}
	c.stream = newStream(nc, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	})
	s.conns[c] = struct{}{}
	c.rpc = jsonrpc2.NewConn(context.Background(), c.stream, c, quiet)
}

// finish waits until no call is in progress and all responses are written, for finishTimeout at most.
func (s *Server) finish() {
	for deadline := time.Now().Add(finishTimeout); s.inProgress() && time.Now().Before(deadline); {
		time.Sleep(finishPoll)
	}
}

func (s *Server) inProgress() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.calls > 0 || !c.stream.written() {
			return true
		}
	}
	return false
}

func (s *Server) closeAll() {
	s.mu.Lock()
	var all []*jsonrpc2.Conn
	for c := range s.conns {
		all = append(all, c.rpc)
	}
	s.mu.Unlock()
	for _, conn := range all {
		_ = conn.Close()
	}
}

// Handle implements jsonrpc2.Handler. Each call is handled in its own goroutine, unless there are too many.
func (c *serverConn) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	bytes, ok := c.begin(r)
	if !ok {
		_ = conn.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: codeBusy, Message: "too many calls in progress"})
		return
	}
	go func() {
		defer c.end(bytes)
		c.respond(ctx, conn, r)
	}()
}

// begin counts a call, unless there are too many. bytes is what end needs.
func (c *serverConn) begin(r *jsonrpc2.Request) (bytes int, ok bool) {
	if r.Params != nil && len(*r.Params) > smallParamsBytes {
		bytes = len(*r.Params)
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.calls >= maxCalls || bytes > 0 && c.server.paramsBytes+bytes > maxParamsBytes {
		return 0, false
	}
	c.calls++
	c.server.paramsBytes += bytes
	return bytes, true
}

func (c *serverConn) end(bytes int) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.calls--
	c.server.paramsBytes -= bytes
}

// respond handles a call and queues its response. Errors of a closed connection are ignored: its caller no longer waits.
func (c *serverConn) respond(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	result, err := c.server.handle(ctx, r)
	if err == nil {
		err = conn.Reply(ctx, r.ID, result)
		if !errors.Is(err, frame.ErrTooLarge) && !errors.Is(err, errQueueFull) {
			return
		}
	}
	var answer *jsonrpc2.Error
	if !errors.As(err, &answer) {
		answer = &jsonrpc2.Error{Message: err.Error()}
	}
	if conn.ReplyWithError(ctx, r.ID, answer) != nil {
		// Without a response the call would wait until its deadline.
		_ = conn.Close()
	}
}

// handle calls the method of a call.
func (s *Server) handle(ctx context.Context, r *jsonrpc2.Request) (result any, err error) {
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
	var meta callMeta
	if r.Meta != nil {
		if err := json.Unmarshal(*r.Meta, &meta); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: err.Error()}
		}
	}
	ctx, cancel := meta.context(ctx)
	defer cancel()
	return method(ctx, *r.Params)
}
