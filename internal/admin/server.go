// Package admin is the HTTP server for operators and monitoring: health, readiness, metrics, state and drain.
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
	// writeTimeout lets a large dump through a slow connection.
	writeTimeout = time.Minute
	// shutdownTimeout bounds the wait for answers in progress.
	shutdownTimeout = 5 * time.Second
)

// Config says what the server shows. The functions may be called at any time.
type Config struct {
	// Address is where the server listens, HOST:PORT.
	Address  string
	Instance ids.InstanceID
	Metrics  *Metrics
	// Parts are shown by /status and /dump in this order.
	Parts []Part
	// NotReady returns the reasons why the daemon admits no requests; none if it does.
	NotReady func() []string
	// Drain begins a planned stop and returns at once. It may be called more than once.
	Drain  func()
	Logger *zap.Logger
}

// Server is the server. It listens from New on and answers while Run runs.
type Server struct {
	config   Config
	listener net.Listener
	server   *fasthttp.Server
	metrics  fasthttp.RequestHandler
	// dumping lets one report be made at a time, because a dump takes memory and locks of the parts.
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

// Run serves until the context ends, then finishes the answers in progress.
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

// recover keeps a fault in a part's function from ending the daemon.
func (s *Server) recover(ctx *fasthttp.RequestCtx) {
	fault := recover()
	if fault == nil {
		return
	}
	events.Log(s.config.Logger, events.InternalError, zap.String("task", "admin"), zap.String("error", fmt.Sprint(fault)))
	fail(ctx, fasthttp.StatusInternalServerError, "internalError", "a fault in the daemon; see its log")
}

// healthAnswer is the answer of /health.
type healthAnswer struct {
	Up bool `json:"up"`
}

func (s *Server) health(ctx *fasthttp.RequestCtx) {
	answer(ctx, fasthttp.StatusOK, healthAnswer{Up: true})
}

// readyAnswer is the answer of /ready.
type readyAnswer struct {
	Ready bool `json:"ready"`
	// Reasons say why the daemon is not ready.
	Reasons []string `json:"reasons"`
}

func (s *Server) ready(ctx *fasthttp.RequestCtx) {
	reasons := s.config.NotReady()
	if len(reasons) > 0 {
		answer(ctx, fasthttp.StatusServiceUnavailable, readyAnswer{Reasons: reasons})
		return
	}
	answer(ctx, fasthttp.StatusOK, readyAnswer{Ready: true, Reasons: []string{}})
}

func (s *Server) status(ctx *fasthttp.RequestCtx) { s.report(ctx, status) }

func (s *Server) dump(ctx *fasthttp.RequestCtx) { s.report(ctx, dump) }

func (s *Server) report(ctx *fasthttp.RequestCtx, of func([]Part) []partReport) {
	s.dumping.Lock()
	defer s.dumping.Unlock()
	answer(ctx, fasthttp.StatusOK, report{Instance: s.config.Instance, Parts: of(s.config.Parts)})
}

// drainAnswer is the answer of /drain.
type drainAnswer struct {
	Draining bool `json:"draining"`
}

func (s *Server) drain(ctx *fasthttp.RequestCtx) {
	s.config.Drain()
	answer(ctx, fasthttp.StatusAccepted, drainAnswer{Draining: true})
}

// errorAnswer is the answer to a request that failed.
type errorAnswer struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func fail(ctx *fasthttp.RequestCtx, status int, code, message string) {
	answer(ctx, status, errorAnswer{Error: errorBody{Code: code, Message: message}})
}

func answer(ctx *fasthttp.RequestCtx, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // a part's state that cannot be encoded; recover answers
	}
	ctx.ResetBody()
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(data, '\n'))
}
