// Package peer carries the calls between daemons: jsonrpc2 over mutual TLS 1.3, with framed messages of bounded size.
package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/comfreylink/comfreylink/internal/frame"
	"github.com/comfreylink/comfreylink/internal/traffic"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

const (
	handshakeTimeout = 5 * time.Second
	writeTimeout     = 5 * time.Second
	// maxCallsPerConn bounds the goroutines that one peer can occupy.
	maxCallsPerConn = 4096
)

// Handler answers the requests of other daemons.
type Handler interface {
	// ServePeer answers one request. notify sends a chunk of the answer before the result.
	ServePeer(ctx context.Context, from ids.InstanceID, method Method, params json.RawMessage, notify func(any) error) (result any, err error)
}

// Rejected reports a connection that failed because of the other side, for example because it has no valid certificate
// or sent something that is not a message.
type Rejected func(address string, reason error)

// Server accepts connections of other daemons.
type Server struct {
	listener net.Listener
	tls      *tls.Config
	handler  Handler
	rejected Rejected
	conns    sync.WaitGroup
	calls    atomic.Int64
	traffic  traffic.Counter
}

// Listen binds the peer address. The returned cleanup closes the listener.
func Listen(address string, c Credentials, rejected Rejected) (s *Server, cleanup func(), err error) {
	defer func() { err = oops.In("peer").With("address", address).Wrapf(err, "listen for peers") }()
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, err
	}
	s = &Server{listener: l, tls: c.serverConfig(), rejected: rejected}
	return s, func() { _ = l.Close() }, nil
}

// Address returns the bound address.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Calls returns the number of requests that are being served.
func (s *Server) Calls() int64 { return s.calls.Load() }

// Traffic returns the counter of the bytes sent and received on the connections that peers dialed.
func (s *Server) Traffic() *traffic.Counter { return &s.traffic }

// Serve answers requests until ctx ends; then it closes all connections and waits for their goroutines.
func (s *Server) Serve(ctx context.Context, h Handler) error {
	s.handler = h
	stop := context.AfterFunc(ctx, func() { _ = s.listener.Close() })
	defer stop()
	defer s.conns.Wait()
	for {
		conn, err := s.listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return oops.In("peer").Wrapf(err, "accept a peer connection")
		}
		s.conns.Add(1)
		go s.serveConn(ctx, conn)
	}
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	defer s.conns.Done()
	secure := tls.Server(s.traffic.Conn(conn), s.tls)
	handshake, cancel := context.WithTimeout(ctx, handshakeTimeout)
	err := secure.HandshakeContext(handshake)
	cancel()
	if err != nil {
		s.reject(conn, err)
		return
	}
	from, err := identity(secure)
	if err != nil {
		s.reject(conn, err)
		return
	}
	h := &connHandler{server: s, from: from, limit: make(chan struct{}, maxCallsPerConn)}
	stream := &watchedStream{ObjectStream: jsonrpc2.NewBufferedStream(deadlineConn{secure, writeTimeout}, frame.Codec{})}
	rpc := jsonrpc2.NewConn(ctx, stream, h, jsonrpc2.SetLogger(discardLogger{}))
	<-rpc.DisconnectNotify()
	if err := stream.failure(); err != nil && ctx.Err() == nil {
		s.rejected(conn.RemoteAddr().String(), err)
	}
	h.running.Wait()
}

func (s *Server) reject(conn net.Conn, err error) {
	_ = conn.Close()
	s.rejected(conn.RemoteAddr().String(), err)
}

// connHandler runs each request of one connection in its own goroutine, up to maxCallsPerConn at a time.
type connHandler struct {
	server  *Server
	from    ids.InstanceID
	limit   chan struct{}
	running sync.WaitGroup
}

// Handle implements jsonrpc2.Handler.
func (h *connHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Notif {
		return
	}
	select {
	case h.limit <- struct{}{}:
	default:
		_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: codeBusy, Message: "too many calls on this connection"})
		return
	}
	h.running.Add(1)
	h.server.calls.Add(1)
	go func() {
		defer h.running.Done()
		defer h.server.calls.Add(-1)
		defer func() { <-h.limit }()
		h.answer(ctx, conn, req)
	}()
}

// answer runs a request and sends its result or error.
func (h *connHandler) answer(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	notify := func(chunk any) error {
		data, err := json.Marshal(chunk)
		if err != nil {
			return err
		}
		return conn.Notify(ctx, string(methodChunk), chunkMessage{Call: callID(req), Data: data})
	}
	result, err := h.server.handler.ServePeer(ctx, h.from, Method(req.Method), params, notify)
	if err != nil {
		_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: errorCode(err), Message: err.Error()})
		return
	}
	_ = conn.Reply(ctx, req.ID, result)
}

func callID(req *jsonrpc2.Request) string {
	return req.ID.Str
}

// watchedStream keeps the first read error.
type watchedStream struct {
	jsonrpc2.ObjectStream
	mu  sync.Mutex
	err error
}

// ReadObject implements jsonrpc2.ObjectStream.
func (w *watchedStream) ReadObject(v any) error {
	err := w.ObjectStream.ReadObject(v)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil && w.err == nil {
		w.err = err
	}
	return err
}

// failure returns the read error if the peer sent something that is not a valid message. It returns nil if the
// connection was closed or broke.
func (w *watchedStream) failure() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	var network net.Error
	if w.err == nil || errors.Is(w.err, io.EOF) || errors.Is(w.err, net.ErrClosed) || errors.As(w.err, &network) {
		return nil
	}
	return w.err
}

// discardLogger drops the log lines of jsonrpc2, because the server reports failed connections through Rejected.
type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}
