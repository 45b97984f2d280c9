// Package serve runs the HTTP server of a stand-in and holds the code that the stand-ins share: JSON answers and faults that
// are set at run time.
package serve

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// stopTimeout is how long Stop waits for requests in progress. A request that hangs because of a fault never ends.
	stopTimeout = 2 * time.Second
	// maxBodyBytes leaves room for the design's longest history of 210,000 tokens, at 4 bytes a token.
	maxBodyBytes = 16 << 20
)

// Server is a running HTTP server.
type Server struct {
	address  string
	listener net.Listener
	http     *fasthttp.Server
	done     chan error
}

// Start listens on address and serves h until Stop is called.
func Start(address string, h fasthttp.RequestHandler) (s *Server, err error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s = &Server{address: l.Addr().String(), listener: l, done: make(chan error, 1)}
	s.http = &fasthttp.Server{
		Handler:            h,
		Name:               "standin",
		MaxRequestBodySize: maxBodyBytes,
		CloseOnShutdown:    true,
		Logger:             quietLogger{},
	}
	go func() { s.done <- s.http.Serve(l) }()
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.address }

// Stop ends the server and waits up to stopTimeout for requests in progress.
func (s *Server) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = s.http.ShutdownWithContext(ctx)
	// If Serve has not started yet, ShutdownWithContext does not know the listener and leaves it open. Serve would then
	// accept connections forever.
	_ = s.listener.Close()
	return <-s.done
}

// Run serves h until ctx ends. It prints "listening ADDRESS" to out when it accepts connections. At the end it calls release,
// which must unblock requests that hang because of a fault, and waits up to stopTimeout for requests in progress. Run may
// call release twice.
func Run(ctx context.Context, address string, out io.Writer, h fasthttp.RequestHandler, release func()) error {
	defer release()
	s, err := Start(address, h)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(out, "listening %s\n", s.Address()); err != nil {
		return err
	}
	select {
	case err := <-s.done:
		return err
	case <-ctx.Done():
		release()
		return s.Stop()
	}
}

// quietLogger discards fasthttp's messages about connections that were closed by faults or by clients.
type quietLogger struct{}

// Printf implements fasthttp.Logger.
func (quietLogger) Printf(string, ...any) {}

// JSON answers with the status and v encoded as JSON.
func JSON(ctx *fasthttp.RequestCtx, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		Fail(ctx, fasthttp.StatusInternalServerError, err.Error())
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(data, '\n'))
}

// ErrorResponse is the body of an error answer.
type ErrorResponse struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error.
type ErrorDetail struct {
	Message string `json:"message"`
}

// Fail answers with the status and an error message.
func Fail(ctx *fasthttp.RequestCtx, status int, message string) {
	JSON(ctx, status, ErrorResponse{ErrorDetail{message}})
}

// CloseConnection closes the connection of a request without an answer.
func CloseConnection(ctx *fasthttp.RequestCtx) {
	_ = ctx.Conn().Close()
}
