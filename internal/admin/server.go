// Package admin implements the HTTP server for operators and monitoring: health, readiness, metrics, state and drain.
package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

const (
	maxBodyBytes   = 1 << 10 // no request has a body
	maxConnections = 64
	readTimeout    = 10 * time.Second
	// writeTimeout is long enough for a large dump over a slow connection.
	writeTimeout = time.Minute
	// shutdownTimeout limits the wait for responses in progress.
	shutdownTimeout = 5 * time.Second
)

// Config configures a server. The server may call the functions at any time.
type Config struct {
	// Address is where the server listens, HOST:PORT.
	Address  string
	Instance ids.InstanceID
	Metrics  *Metrics
	// Parts are shown by /status and /dump in this order.
	Parts []Part
	// NotReady returns the reasons why the daemon admits no requests, or none if it admits requests.
	NotReady func() []string
	// Drain starts a planned stop and returns at once. It may be called more than once.
	Drain  func()
	Logger *zap.Logger
}

// Server is the admin server. It listens from New on and serves requests while Run runs.
type Server struct {
	config   Config
	listener net.Listener
	server   *fasthttp.Server
	metrics  fasthttp.RequestHandler
	// dumping is held while a report is made. Reports are made one at a time because a dump takes memory and locks the
	// parts.
	dumping sync.Mutex
}

// New listens at the address; cleanup closes the listener.
func New(c Config) (s *Server, cleanup func(), err error) {
	listener, err := net.Listen("tcp", c.Address)
	if err != nil {
		return nil, nil, oops.In("admin").Wrapf(err, "listen at the admin address")
	}
	s = &Server{config: c, listener: listener, metrics: fasthttpadaptor.NewFastHTTPHandler(c.Metrics.set.Handler())}
	s.server = &fasthttp.Server{
		Handler:               s.handle,
		Name:                  "comfreylink",
		Concurrency:           maxConnections,
		MaxRequestBodySize:    maxBodyBytes,
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
	}
	return s, func() { _ = listener.Close() }, nil
}

// Address returns where the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run serves requests until the context ends, then finishes the responses in progress.
func (s *Server) Run(ctx context.Context) (err error) {
	defer func() { err = oops.In("admin").Wrapf(err, "serve the admin address") }()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.server.Serve(s.listener) })
	g.Go(func() error {
		<-ctx.Done()
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		return s.server.ShutdownWithContext(stop)
	})
	return g.Wait()
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	defer s.recover(ctx)
	method := fasthttp.MethodGet
	var handler fasthttp.RequestHandler
	switch string(ctx.Path()) {
	case "/health":
		handler = s.health
	case "/ready":
		handler = s.ready
	case "/metrics":
		handler = s.metrics
	case "/status":
		handler = s.status
	case "/dump":
		handler = s.dump
	case "/drain":
		method, handler = fasthttp.MethodPost, s.drain
	default:
		fail(ctx, fasthttp.StatusNotFound, "unknownPath", "there is no such path")
		return
	}
	if string(ctx.Method()) != method {
		ctx.Response.Header.Set(fasthttp.HeaderAllow, method)
		fail(ctx, fasthttp.StatusMethodNotAllowed, "wrongMethod", "the path allows "+method)
		return
	}
	handler(ctx)
}

// recover responds with an error if a part's function panics, so that the panic does not end the daemon.
func (s *Server) recover(ctx *fasthttp.RequestCtx) {
	cause := recover()
	if cause == nil {
		return
	}
	events.Log(s.config.Logger, events.InternalError, zap.String("task", "admin"), zap.String("error", fmt.Sprint(cause)))
	fail(ctx, fasthttp.StatusInternalServerError, "internalError", "a fault in the daemon; see its log")
}

// healthResponse is the response of /health.
type healthResponse struct {
	Up bool `json:"up"`
}

func (s *Server) health(ctx *fasthttp.RequestCtx) {
	respond(ctx, fasthttp.StatusOK, healthResponse{Up: true})
}

// readyResponse is the response of /ready.
type readyResponse struct {
	Ready bool `json:"ready"`
	// Reasons say why the daemon is not ready.
	Reasons []string `json:"reasons"`
}

func (s *Server) ready(ctx *fasthttp.RequestCtx) {
	reasons := s.config.NotReady()
	if len(reasons) > 0 {
		respond(ctx, fasthttp.StatusServiceUnavailable, readyResponse{Reasons: reasons})
		return
	}
	respond(ctx, fasthttp.StatusOK, readyResponse{Ready: true, Reasons: []string{}})
}

func (s *Server) status(ctx *fasthttp.RequestCtx) { s.report(ctx, status) }

func (s *Server) dump(ctx *fasthttp.RequestCtx) { s.report(ctx, dump) }

func (s *Server) report(ctx *fasthttp.RequestCtx, collect func([]Part) []partReport) {
	s.dumping.Lock()
	defer s.dumping.Unlock()
	respond(ctx, fasthttp.StatusOK, report{Instance: s.config.Instance, Parts: collect(s.config.Parts)})
}

// drainResponse is the response of /drain.
type drainResponse struct {
	Draining bool `json:"draining"`
}

func (s *Server) drain(ctx *fasthttp.RequestCtx) {
	s.config.Drain()
	respond(ctx, fasthttp.StatusAccepted, drainResponse{Draining: true})
}

// errorResponse is the response to a request that failed.
type errorResponse struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func fail(ctx *fasthttp.RequestCtx, status int, code, message string) {
	respond(ctx, status, errorResponse{Error: errorBody{Code: code, Message: message}})
}

func respond(ctx *fasthttp.RequestCtx, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // a part's state cannot be encoded; recover sends the error response
	}
	ctx.ResetBody()
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(data, '\n'))
}
