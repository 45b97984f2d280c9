// Package chat serves callers over HTTP: chat completions, plain services and the end of programs.
package chat

import (
	"bufio"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"

	"github.com/comfreylink/comfreylink/internal/peer"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Headers that callers send or receive.
const (
	HeaderProgram        = "Comfreylink-Program"
	HeaderDeadline       = "Comfreylink-Deadline-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestKey     = "Comfreylink-Request-Key"
	HeaderEntry          = "Comfreylink-Entry"
	HeaderOwner          = "Comfreylink-Owner"
	HeaderTarget         = "Comfreylink-Target"
	HeaderTurn           = "Comfreylink-Turn"
	HeaderReplayed       = "Comfreylink-Replayed"
)

const (
	pathCompletions = "/v1/chat/completions"
	prefixPrograms  = "/v1/programs/"
	prefixServices  = "/services/"
	maxNameBytes    = 256
)

// Caller is who a request comes from.
type Caller struct {
	Workspace ids.WorkspaceID
	KeyHash   string
}

// Directory answers questions about the configuration in force.
type Directory interface {
	// Authenticate returns the workspace of a key.
	Authenticate(now time.Time, key string) (Caller, bool)
	// Public returns the workspace under which a service that is open to all runs.
	Public(service string) (Caller, bool)
	// Admitting reports whether the configuration is fresh enough to admit requests.
	Admitting(now time.Time) bool
}

// Runner runs a request, wherever its owner is. Deltas of a streamed answer are given to onDelta in order.
type Runner interface {
	Run(ctx context.Context, c peer.Call, onDelta func(string)) peer.Result
}

// Observer is told about every answered request.
type Observer interface {
	Answered(route string, status int, refusal *peer.Refusal, took time.Duration)
}

// Limits bound what callers may send.
type Limits struct {
	MaxBodyBytes    int
	MaxConcurrent   int
	DefaultDeadline time.Duration
	MaxDeadline     time.Duration
}

// Server is the HTTP server for callers.
type Server struct {
	instance ids.InstanceID
	limits   Limits
	dir      Directory
	run      Runner
	observer Observer
	http     *fasthttp.Server
	listener net.Listener
	active   atomic.Int64
	stopping atomic.Bool
}

// New binds the callers' address. The returned cleanup closes the listener.
func New(instance ids.InstanceID, address string, l Limits, d Directory, r Runner, o Observer) (s *Server, cleanup func(), err error) {
	defer func() { err = oops.In("chat").With("address", address).Wrapf(err, "listen for callers") }()
	s = &Server{instance: instance, limits: l, dir: d, run: r, observer: o}
	if s.listener, err = net.Listen("tcp", address); err != nil {
		return nil, nil, err
	}
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          s.protocolError,
		Name:                  "comfreylink",
		MaxRequestBodySize:    l.MaxBodyBytes,
		ReadTimeout:           l.MaxDeadline,
		IdleTimeout:           time.Minute,
		NoDefaultServerHeader: true,
		NoDefaultContentType:  true,
		CloseOnShutdown:       true,
	}
	return s, func() { _ = s.listener.Close() }, nil
}

// Address returns the bound address.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Active returns the number of requests under way.
func (s *Server) Active() int64 { return s.active.Load() }

// Serve answers callers until Shutdown.
func (s *Server) Serve() error {
	return oops.In("chat").Wrapf(s.http.Serve(s.listener), "serve callers")
}

// Shutdown stops accepting connections and waits until the requests under way are answered or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopping.Store(true)
	return oops.In("chat").Wrapf(s.http.ShutdownWithContext(ctx), "shut down the callers' server")
}

func (s *Server) protocolError(ctx *fasthttp.RequestCtx, err error) {
	ctx.SetConnectionClose()
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		drainBody(ctx.Conn())
		writeRefusal(ctx, refuse(peer.CodeBodyTooLarge, peer.NotRun, "the body is above "+strconv.Itoa(s.limits.MaxBodyBytes)+" bytes"))
		return
	}
	writeRefusal(ctx, refuse(peer.CodeBadRequest, peer.NotRun, "malformed HTTP request"))
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	began := time.Now()
	if s.active.Add(1) > int64(s.limits.MaxConcurrent) {
		defer s.active.Add(-1)
		r := refuse(peer.CodeOverloaded, peer.NotRun, "this instance runs as many requests as it may")
		r.RetryAfterMillis = 1000
		s.answerRefusal(ctx, "any", began, r)
		return
	}
	route, call, refusal := s.parse(ctx, began)
	if refusal != nil {
		defer s.active.Add(-1)
		s.answerRefusal(ctx, route, began, refusal)
		return
	}
	ctx.Response.Header.Set(HeaderRequestKey, string(call.RequestKey))
	ctx.Response.Header.Set(HeaderEntry, string(s.instance))
	if call.Chat != nil && call.Chat.Stream {
		s.stream(ctx, route, call, began)
		return
	}
	defer s.active.Add(-1)
	result := s.start(call, nil)
	s.answer(ctx, route, call, began, result)
}

// start runs a call under its deadline. The request goes on if the caller goes away, so that a repeated request with the
// same key finds its answer.
func (s *Server) start(call peer.Call, onDelta func(string)) peer.Result {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(call.DeadlineMillis)*time.Millisecond)
	defer cancel()
	return s.run.Run(ctx, call, onDelta)
}

func (s *Server) parse(ctx *fasthttp.RequestCtx, now time.Time) (route string, c peer.Call, r *peer.Refusal) {
	path := string(ctx.Path())
	method := string(ctx.Method())
	switch {
	case path == pathCompletions && method == fasthttp.MethodPost:
		route, c.Kind = "chat", peer.KindChat
	case strings.HasPrefix(path, prefixServices):
		route, c.Kind = "service", peer.KindService
	case strings.HasPrefix(path, prefixPrograms) && method == fasthttp.MethodDelete:
		route, c.Kind = "end", peer.KindEnd
	default:
		return "unknown", c, refuse(peer.CodeUnknownRoute, peer.NotRun, "no route for "+method+" "+path)
	}
	if r = s.parseHeaders(ctx, &c); r != nil {
		return route, c, r
	}
	if !s.awaitAdmitting(&c, now) {
		r = refuse(peer.CodeStale, peer.NotRun, "this instance cannot tell whether its configuration is current")
		r.RetryAfterMillis = 1000
		return route, c, r
	}
	if r = s.parseContent(ctx, &c, path, method); r != nil {
		return route, c, r
	}
	if r = s.authenticate(ctx, &c, time.Now()); r != nil {
		return route, c, r
	}
	c.Fingerprint = fingerprint(ctx, &c)
	return route, c, nil
}

const (
	// staleHold bounds the wait for a current configuration, such as right after a start, when the port is open already.
	staleHold = 3 * time.Second
	stalePoll = 10 * time.Millisecond
)

// awaitAdmitting waits, within the request's deadline, until the configuration is fresh enough to admit requests.
func (s *Server) awaitAdmitting(c *peer.Call, began time.Time) bool {
	hold := min(staleHold, time.Duration(c.DeadlineMillis)*time.Millisecond)
	for now := began; ; now = time.Now() {
		if s.dir.Admitting(now) {
			c.DeadlineMillis -= now.Sub(began).Milliseconds()
			return c.DeadlineMillis > 0
		}
		if now.Sub(began) >= hold {
			return false
		}
		time.Sleep(stalePoll)
	}
}

func (s *Server) authenticate(ctx *fasthttp.RequestCtx, c *peer.Call, now time.Time) *peer.Refusal {
	key, ok := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	if ok {
		if caller, known := s.dir.Authenticate(now, key); known {
			c.Workspace, c.KeyHash = caller.Workspace, caller.KeyHash
			return nil
		}
		return refuse(peer.CodeUnauthorized, peer.NotRun, "the key is not known or was withdrawn")
	}
	if c.Service != nil {
		if caller, public := s.dir.Public(c.Service.Name); public {
			c.Workspace = caller.Workspace
			return nil
		}
	}
	return refuse(peer.CodeUnauthorized, peer.NotRun, "the request carries no bearer key")
}

func (s *Server) parseHeaders(ctx *fasthttp.RequestCtx, c *peer.Call) *peer.Refusal {
	h := &ctx.Request.Header
	c.Program = ids.ProgramID(h.Peek(HeaderProgram))
	c.RequestKey = ids.RequestKey(h.Peek(HeaderIdempotencyKey))
	if len(c.Program) > maxNameBytes || len(c.RequestKey) > maxNameBytes {
		return refuse(peer.CodeBadRequest, peer.NotRun, "the program id or idempotency key is above "+strconv.Itoa(maxNameBytes)+" bytes")
	}
	if c.RequestKey == "" {
		c.RequestKey = ids.RequestKey("r-" + rand.Text())
	}
	deadline := s.limits.DefaultDeadline
	if raw := string(h.Peek(HeaderDeadline)); raw != "" {
		ms, err := strconv.ParseInt(raw, 10, 64)
		if err != nil {
			return refuse(peer.CodeBadRequest, peer.NotRun, HeaderDeadline+" is not a number of milliseconds")
		}
		if ms <= 0 {
			return refuse(peer.CodeDeadline, peer.NotRun, "the deadline has passed")
		}
		deadline = time.Duration(min(ms, s.limits.MaxDeadline.Milliseconds())) * time.Millisecond
	}
	c.DeadlineMillis = ids.Millis(deadline)
	return nil
}

func (s *Server) parseContent(ctx *fasthttp.RequestCtx, c *peer.Call, path, method string) *peer.Refusal {
	switch c.Kind {
	case peer.KindChat:
		chat, err := parseCompletion(ctx.PostBody())
		if err != nil {
			return refuse(peer.CodeBadRequest, peer.NotRun, err.Error())
		}
		c.Chat = chat
	case peer.KindEnd:
		c.Program = ids.ProgramID(strings.TrimPrefix(path, prefixPrograms))
		if c.Program == "" {
			return refuse(peer.CodeBadRequest, peer.NotRun, "the path names no program")
		}
	case peer.KindService:
		name, rest, _ := strings.Cut(strings.TrimPrefix(path, prefixServices), "/")
		c.Service = &peer.ServiceCall{
			Name:        name,
			Method:      method,
			Path:        "/" + rest,
			Query:       string(ctx.QueryArgs().QueryString()),
			ContentType: string(ctx.Request.Header.ContentType()),
			Accept:      string(ctx.Request.Header.Peek(fasthttp.HeaderAccept)),
			Body:        append([]byte(nil), ctx.PostBody()...),
		}
	}
	return nil
}

// fingerprint hashes what makes two requests with the same key the same request.
func fingerprint(ctx *fasthttp.RequestCtx, c *peer.Call) ids.Fingerprint {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(c.Kind), []byte(c.Program), ctx.Method(), ctx.RequestURI(), ctx.PostBody()} {
		h.Write([]byte(strconv.Itoa(len(part)) + ":"))
		h.Write(part)
	}
	return ids.Fingerprint(hex.EncodeToString(h.Sum(nil)[:16]))
}

func (s *Server) answer(ctx *fasthttp.RequestCtx, route string, call peer.Call, began time.Time, r peer.Result) {
	setTrace(ctx, r.Trace)
	switch {
	case r.Refusal != nil:
		s.answerRefusal(ctx, route, began, r.Refusal)
		return
	case r.Chat != nil:
		writeJSON(ctx, newCompletion(call, began.Unix(), r.Chat))
	case r.Service != nil:
		ctx.SetStatusCode(r.Service.Status)
		ctx.SetContentType(r.Service.ContentType)
		ctx.SetBody(r.Service.Body)
	default:
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	}
	s.observer.Answered(route, ctx.Response.StatusCode(), nil, time.Since(began))
}

func (s *Server) answerRefusal(ctx *fasthttp.RequestCtx, route string, began time.Time, r *peer.Refusal) {
	writeRefusal(ctx, r)
	s.observer.Answered(route, ctx.Response.StatusCode(), r, time.Since(began))
}

func setTrace(ctx *fasthttp.RequestCtx, t peer.Trace) {
	h := &ctx.Response.Header
	if t.Owner != "" {
		h.Set(HeaderOwner, string(t.Owner))
	}
	if t.Target != "" {
		h.Set(HeaderTarget, string(t.Target))
	}
	if t.Turn > 0 {
		h.Set(HeaderTurn, strconv.Itoa(t.Turn))
	}
	if t.Replayed {
		h.Set(HeaderReplayed, "true")
	}
}

// stream answers with server-sent events. The status line waits for the first delta, so that a refusal before it is an
// ordinary HTTP error.
func (s *Server) stream(ctx *fasthttp.RequestCtx, route string, call peer.Call, began time.Time) {
	deltas := make(chan string, deltaRing)
	final := make(chan peer.Result, 1)
	go func() {
		overflow := false
		final <- s.start(call, func(d string) {
			if overflow {
				return
			}
			select {
			case deltas <- d:
			default:
				overflow = true
			}
		})
		close(deltas)
	}()
	first, more := <-deltas
	if !more {
		result := <-final
		if result.Refusal != nil {
			defer s.active.Add(-1)
			s.answer(ctx, route, call, began, result)
			return
		}
		final <- result
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-store")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer s.active.Add(-1)
		s.writeEvents(&eventWriter{call: call, created: began.Unix(), w: w}, first, more, deltas, final, route, began)
	})
}

// deltaRing bounds the deltas that wait for a slow caller. Later ones are dropped; the last event brings the rest.
const deltaRing = 1024

func (s *Server) writeEvents(e *eventWriter, first string, more bool, deltas <-chan string, final <-chan peer.Result, route string, began time.Time) {
	var err error
	if more {
		err = e.delta(first)
	}
	for d := range deltas {
		if err == nil {
			err = e.delta(d)
		}
	}
	result := <-final
	if err == nil {
		_ = e.finish(result)
	}
	s.observer.Answered(route, fasthttp.StatusOK, result.Refusal, time.Since(began))
}
