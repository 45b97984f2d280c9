package httpwire

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// bufferBytes returns the size of a connection's read buffer, which a head must fit into.
func (l Limits) bufferBytes() int { return l.HeaderBytes + 1<<10 }

// Handler answers requests. Serve returns when the exchange is answered or aborted.
type Handler interface {
	Serve(ctx context.Context, x *Exchange)
}

const (
	// discardTimeout and discardBytes bound what is still read of a request that was rejected before its end.
	discardTimeout = 500 * time.Millisecond
	discardBytes   = 8 << 20
)

// maxIdleBuffer is the largest buffer for writes, in bytes, that a connection keeps for its next answer.
const maxIdleBuffer = 64 << 10

// bodyTimeout bounds the time that a caller takes to send a request's body.
const bodyTimeout = 10 * time.Second

// Server accepts connections of callers, reads their requests and passes these to a Handler.
type Server struct {
	handler Handler
	limits  func() Limits
	failed  func(err error)

	keepAliveOff atomic.Bool
	active       atomic.Int64 // exchanges in progress
	mu           sync.Mutex
	idle         map[net.Conn]struct{}                 // connections that wait for a request
	running      map[*Exchange]context.CancelCauseFunc // exchanges that the handler serves
}

// NewServer returns a server. It calls limits for each connection and each request, and failed when the handler panics.
func NewServer(h Handler, limits func() Limits, failed func(err error)) *Server {
	return &Server{handler: h, limits: limits, failed: failed, idle: make(map[net.Conn]struct{}), running: make(map[*Exchange]context.CancelCauseFunc)}
}

// Active returns the number of exchanges in progress, from the first byte of their requests on.
func (s *Server) Active() int { return int(s.active.Load()) }

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		go s.serveConn(conn)
	}
}

// DisableKeepAlive makes each connection close after the answer to its current request.
func (s *Server) DisableKeepAlive() { s.keepAliveOff.Store(true) }

// CloseIdle closes the connections that wait for a request.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.idle {
		_ = conn.SetReadDeadline(pastDeadline)
	}
}

// CancelRunning ends the contexts of the exchanges that the handler serves. The handler can still answer them.
func (s *Server) CancelRunning(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, cancel := range s.running {
		cancel(cause)
	}
}

// pastDeadline is a deadline that ends a blocked read at once.
var pastDeadline = time.Unix(1, 0)

func (s *Server) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	defer func() {
		if cause := recover(); cause != nil {
			s.reportPanic(cause)
		}
	}()
	br := bufio.NewReaderSize(conn, s.limits().bufferBytes())
	x := &Exchange{conn: conn, br: br, server: s}
	for s.waitIdle(x, s.limits().IdleTimeout) {
		if !s.serveNext(x) {
			return
		}
	}
}

// serveNext reads a request of which the first byte has arrived, and serves it. It reports whether the connection can carry
// another one. A request counts as in progress while it is read, so that a planned stop does not cut it off.
func (s *Server) serveNext(x *Exchange) bool {
	s.active.Add(1)
	defer s.active.Add(-1)
	return x.readRequest() && s.serveExchange(x)
}

// serveExchange runs the handler and reports whether the connection can carry another request.
func (s *Server) serveExchange(x *Exchange) bool {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	s.mu.Lock()
	s.running[x] = cancel
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.running, x)
		s.mu.Unlock()
	}()
	watcherDone := make(chan struct{})
	go func() {
		defer close(watcherDone)
		x.watchDisconnect(func() { cancel(nil) })
	}()
	s.handle(ctx, x)
	if cap(x.out) > maxIdleBuffer {
		x.out = nil
	}
	_ = x.conn.SetReadDeadline(pastDeadline)
	<-watcherDone
	_ = x.conn.SetReadDeadline(time.Time{})
	return x.complete && !x.closeAfter && !x.clientDisconnected.Load()
}

// handle runs the handler. A request that makes it panic must not end the process and with it all other requests. Its caller
// gets the answer that promises nothing, unless another one has begun.
func (s *Server) handle(ctx context.Context, x *Exchange) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		s.reportPanic(cause)
		if !x.started {
			x.Answer(fasthttp.StatusBadGateway, nil, nil)
		}
	}()
	s.handler.Serve(ctx, x)
}

func (s *Server) reportPanic(cause any) {
	s.failed(fmt.Errorf("panic: %v\n%s", cause, debug.Stack()))
}

// waitIdle waits for the first byte of a request and reports whether it arrived before the timeout.
func (s *Server) waitIdle(x *Exchange, idle time.Duration) bool {
	if x.br.Buffered() > 0 {
		return true
	}
	s.mu.Lock()
	s.idle[x.conn] = struct{}{}
	_ = x.conn.SetReadDeadline(time.Now().Add(idle))
	s.mu.Unlock()
	_, err := x.br.Peek(1)
	s.mu.Lock()
	delete(s.idle, x.conn)
	s.mu.Unlock()
	return err == nil
}

// Exchange is one request and its answer.
type Exchange struct {
	conn   net.Conn
	br     *bufio.Reader
	server *Server

	// Header and Body are the request. They are valid until the handler returns.
	Header fasthttp.RequestHeader
	Body   []byte

	clientDisconnected atomic.Bool // the caller has closed the connection, or a write to it failed
	started            bool        // a part of the answer was written
	complete           bool        // the whole answer was written
	closeAfter         bool        // the connection is closed after the answer
	out                []byte      // buffer for writes
}

// readRequest reads the next request. It returns false if the connection must be closed.
func (x *Exchange) readRequest() bool {
	l := x.server.limits()
	x.growBuffer(l.bufferBytes())
	x.started, x.complete, x.closeAfter = false, false, false
	x.Body = nil
	x.Header.Reset()
	_ = x.conn.SetReadDeadline(time.Now().Add(l.HeaderTimeout))
	if err := x.Header.Read(x.br); err != nil {
		x.rejectHead(err)
		return false
	}
	f, err := parseFraming(x.Header.RawHeaders())
	if err != nil {
		x.reject(fasthttp.StatusBadRequest)
		return false
	}
	x.closeAfter = x.Header.ConnectionClose() || x.server.keepAliveOff.Load()
	if len(x.Header.Peek("Expect")) > 0 {
		if _, err := x.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return false
		}
	}
	_ = x.conn.SetReadDeadline(time.Now().Add(bodyTimeout))
	if err := x.readBody(f, l.BodyBytes); err != nil {
		if errors.Is(err, ErrTooLarge) {
			x.reject(fasthttp.StatusRequestEntityTooLarge)
			x.discard()
		}
		return false
	}
	return x.conn.SetReadDeadline(time.Time{}) == nil
}

// growBuffer makes the read buffer larger if the limit for heads was raised since the connection was opened.
func (x *Exchange) growBuffer(size int) {
	if x.br.Size() >= size {
		return
	}
	// Peek can't fail for what is buffered.
	buffered, _ := x.br.Peek(x.br.Buffered())
	x.br = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(buffered), x.conn), size)
}

func (x *Exchange) readBody(f framing, limit int) (err error) {
	switch {
	case f.chunked:
		x.Body, err = ReadAll(newChunkedBody(x.br), limit)
	case f.length > int64(limit):
		return ErrTooLarge
	case f.length > 0:
		x.Body, err = ReadAll(&fixedBody{br: x.br, left: f.length}, limit)
	}
	return err
}

// rejectHead answers a head that could not be read, unless the caller disconnected, was too slow or sent nothing.
func (x *Exchange) rejectHead(err error) {
	var ne net.Error
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		x.reject(fasthttp.StatusRequestHeaderFieldsTooLarge)
	case errors.As(err, &ne), errors.Is(err, net.ErrClosed), x.br.Buffered() == 0:
	default:
		x.reject(fasthttp.StatusBadRequest)
	}
}

// reject answers a request that could not be read. The connection is closed after the answer.
func (x *Exchange) reject(status int) {
	x.closeAfter = true
	x.Answer(status, nil, nil)
}

// discard reads for a short time what the caller of a rejected request still sends. Closing the connection at once would
// reset it, and the caller would lose the answer.
func (x *Exchange) discard() {
	if half, ok := x.conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = x.conn.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, x.br, discardBytes)
}

// watchDisconnect blocks until the caller sends more, closes the connection or the exchange has ended. If the caller has
// closed the connection, it calls cancel.
func (x *Exchange) watchDisconnect(cancel context.CancelFunc) {
	_, err := x.br.Peek(1)
	var ne net.Error
	if err == nil || errors.As(err, &ne) && ne.Timeout() {
		return
	}
	x.clientDisconnected.Store(true)
	cancel()
}

// ClientDisconnected reports whether the caller has closed the connection or a write to it has failed.
func (x *Exchange) ClientDisconnected() bool { return x.clientDisconnected.Load() }

// Started reports whether at least a part of the answer was written.
func (x *Exchange) Started() bool { return x.started }

// Complete reports whether the whole answer was written.
func (x *Exchange) Complete() bool { return x.complete }

// writeTimeout bounds how long one write to a caller may block.
const writeTimeout = 10 * time.Second

func (x *Exchange) write(b []byte) error {
	_ = x.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := x.conn.Write(b)
	if err != nil {
		x.clientDisconnected.Store(true)
	}
	return err
}

func (x *Exchange) appendHead(status int, headers []byte) {
	if x.server.keepAliveOff.Load() {
		x.closeAfter = true
	}
	b := append(x.out[:0], "HTTP/1.1 "...)
	b = appendStatus(b, status)
	b = append(b, "\r\n"...)
	b = append(b, headers...)
	if x.closeAfter {
		b = append(b, "Connection: close\r\n"...)
	}
	x.out = b
}

func appendStatus(b []byte, status int) []byte {
	b = append(b, byte('0'+status/100%10), byte('0'+status/10%10), byte('0'+status%10), ' ')
	return append(b, fasthttp.StatusMessage(status)...)
}

// Answer writes a whole answer, to a HEAD request without its body. headers holds encoded header lines, each with its line break.
func (x *Exchange) Answer(status int, headers, body []byte) {
	x.appendHead(status, headers)
	x.out = append(x.out, "Content-Length: "...)
	x.out = fasthttp.AppendUint(x.out, len(body))
	x.out = append(x.out, "\r\n\r\n"...)
	if !x.Header.IsHead() {
		x.out = append(x.out, body...)
	}
	x.started = true
	x.complete = x.write(x.out) == nil
}

// WriteHead writes the head of a chunked answer and the first chunk of its body.
func (x *Exchange) WriteHead(status int, headers, first []byte) error {
	x.appendHead(status, headers)
	x.out = append(x.out, "Transfer-Encoding: chunked\r\n\r\n"...)
	x.out = appendChunk(x.out, first)
	x.started = true
	return x.write(x.out)
}

// WriteChunk writes the next chunk of the body.
func (x *Exchange) WriteChunk(b []byte) error {
	x.out = appendChunk(x.out[:0], b)
	return x.write(x.out)
}

// WriteLast writes the last chunk, if it is not empty, and the end of the body.
func (x *Exchange) WriteLast(last []byte) error {
	x.out = appendChunk(x.out[:0], last)
	x.out = append(x.out, "0\r\n\r\n"...)
	err := x.write(x.out)
	x.complete = err == nil
	return err
}

func appendChunk(b, chunk []byte) []byte {
	if len(chunk) == 0 {
		return b
	}
	b = strconv.AppendInt(b, int64(len(chunk)), 16)
	b = append(b, "\r\n"...)
	b = append(b, chunk...)
	return append(b, "\r\n"...)
}
