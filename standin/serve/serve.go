// Package serve runs the HTTP server of a stand-in and holds what all stand-ins share: JSON answers and faults that are
// switched at run time.
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
	// stopTimeout is how long a stop waits for requests in progress; one that hangs by fault never ends.
	stopTimeout = 2 * time.Second
	// maxBodyBytes has room for the history of 210,000 tokens that the design names, at 4 bytes a token.
	maxBodyBytes = 16 << 20
)

// Server is a running HTTP server.
type Server struct {
	address  string
	listener net.Listener
	http     *fasthttp.Server
	done     chan error
}

// Start listens on address and serves until Stop.
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

// Stop ends the server and waits a moment for requests in progress.
func (s *Server) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = s.http.ShutdownWithContext(ctx)
	// Shutdown does not know the listener if Serve has not begun yet, and Serve would then wait for connections for ever.
	_ = s.listener.Close()
	return <-s.done
}

// Run serves until the context ends. It prints "listening ADDRESS" to out when it accepts connections. At the end it
// calls release, which lets requests that hang by fault go on, and waits a moment for requests in progress.
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

// quietLogger drops fasthttp's reports about connections that faults or clients broke.
type quietLogger struct{}

// Printf implements fasthttp.Logger.
func (quietLogger) Printf(string, ...any) {}

// JSON answers with a status and a value.
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

// Failure is the body of a refusal.
type Failure struct {
	Error FailureDetail `json:"error"`
}

// FailureDetail says what was wrong.
type FailureDetail struct {
	Message string `json:"message"`
}

// Fail answers with a status and a message.
func Fail(ctx *fasthttp.RequestCtx, status int, message string) {
	JSON(ctx, status, Failure{FailureDetail{message}})
}

// Break closes the connection without an answer.
func Break(ctx *fasthttp.RequestCtx) {
	_ = ctx.Conn().Close()
}
