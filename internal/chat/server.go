// Package chat is the HTTP server for callers. It serves chat completions, requests to services and requests to end a
// program.
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

// Caller identifies the sender of a request. KeyHash is empty for a request without a key.
type Caller struct {
	Workspace ids.WorkspaceID
	KeyHash   string
}

// Directory looks up callers in the current configuration.
type Directory interface {
	// Authenticate returns the caller that a key belongs to, and false if the key is not valid.
	Authenticate(now time.Time, key string) (Caller, bool)
	// Public returns the caller to assume for requests without a key, and false if the service requires one.
	Public(service string) (Caller, bool)
	// Admitting reports whether the configuration is fresh enough to admit requests.
	Admitting(now time.Time) bool
}

// Runner runs a request at its owner, which may be another instance. It passes the deltas of a streamed answer to onDelta
// in order.
type Runner interface {
	Run(ctx context.Context, c peer.Call, onDelta func(string)) peer.Result
}

// Observer is notified of every answered request.
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
	// calls is the parent of the contexts of all calls. cancelCalls ends it.
	calls       context.Context
	cancelCalls context.CancelFunc
}

// New binds the address on which callers connect. The returned cleanup closes the listener.
func New(instance ids.InstanceID, address string, l Limits, d Directory, r Runner, o Observer) (s *Server, cleanup func(), err error) {
	defer func() { err = oops.In("chat").With("address", address).Wrapf(err, "listen for callers") }()
	s = &Server{instance: instance, limits: l, dir: d, run: r, observer: o}
	s.calls, s.cancelCalls = context.WithCancel(context.Background())
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
	return s, func() {
		s.cancelCalls()
		_ = s.listener.Close()
	}, nil
}

// Address returns the bound address.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Active returns the number of requests in progress.
func (s *Server) Active() int64 { return s.active.Load() }

// Serve accepts and answers requests until Shutdown.
func (s *Server) Serve() error {
	return oops.In("chat").Wrapf(s.http.Serve(s.listener), "serve callers")
}

const (
	// lastAnswersTimeout is how long Shutdown waits for the answers to the calls that it has ended.
	lastAnswersTimeout = time.Second
	lastAnswersPoll    = 10 * time.Millisecond
)

// Shutdown stops accepting connections and waits until the requests in progress are answered or ctx ends. Then it ends the
// calls that are left, so that their callers get a refusal instead of a closed connection.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.ShutdownWithContext(ctx)
	if err != nil {
		s.cancelCalls()
		for waited := time.Duration(0); s.active.Load() > 0 && waited < lastAnswersTimeout; waited += lastAnswersPoll {
			time.Sleep(lastAnswersPoll)
		}
	}
	return oops.In("chat").Wrapf(err, "shut down the callers' server")
}

// protocolError answers requests that fasthttp could not read.
func (s *Server) protocolError(ctx *fasthttp.RequestCtx, err error) {
	ctx.SetConnectionClose()
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		drainBody(ctx.Conn())
		writeRefusal(ctx, newRefusal(peer.CodeBodyTooLarge, peer.NotRun, "the body is above "+strconv.Itoa(s.limits.MaxBodyBytes)+" bytes"))
		return
	}
	writeRefusal(ctx, newRefusal(peer.CodeBadRequest, peer.NotRun, "malformed HTTP request"))
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	began := time.Now()
	if s.active.Add(1) > int64(s.limits.MaxConcurrent) {
		defer s.active.Add(-1)
		r := newRefusal(peer.CodeOverloaded, peer.NotRun, "this instance runs as many requests as it may")
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
	result := s.runCall(call, nil)
	s.answer(ctx, route, call, began, result)
}

// runCall runs a call until its deadline or the end of a planned stop. The call continues if the caller disconnects, so
// that a repeated request with the same key gets the answer.
func (s *Server) runCall(call peer.Call, onDelta func(string)) peer.Result {
	ctx, cancel := context.WithTimeout(s.calls, time.Duration(call.DeadlineMillis)*time.Millisecond)
	defer cancel()
	return s.run.Run(ctx, call, onDelta)
}

// parse returns the route of a request, for metrics, and its call or the refusal.
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
		return "unknown", c, newRefusal(peer.CodeUnknownRoute, peer.NotRun, "no route for "+method+" "+path)
	}
	if r = s.parseHeaders(ctx, &c); r != nil {
		return route, c, r
	}
	if !s.awaitAdmitting(&c, now) {
		r = newRefusal(peer.CodeStale, peer.NotRun, "this instance cannot tell whether its configuration is current")
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
	// admitTimeout limits how long a request waits for a current configuration. For example, right after a start
	// the port is open before the configuration has been read.
	admitTimeout = 3 * time.Second
	admitPoll    = 10 * time.Millisecond
)

// awaitAdmitting waits until the configuration is fresh enough to admit requests, and subtracts the wait from the
// request's deadline. It returns false if admitTimeout or the deadline passes first.
func (s *Server) awaitAdmitting(c *peer.Call, began time.Time) bool {
	timeout := min(admitTimeout, time.Duration(c.DeadlineMillis)*time.Millisecond)
	for now := began; ; now = time.Now() {
		if s.dir.Admitting(now) {
			c.DeadlineMillis -= now.Sub(began).Milliseconds()
			return c.DeadlineMillis > 0
		}
		if now.Sub(began) >= timeout {
			return false
		}
		time.Sleep(admitPoll)
	}
}

func (s *Server) authenticate(ctx *fasthttp.RequestCtx, c *peer.Call, now time.Time) *peer.Refusal {
	key, ok := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	if ok {
		if caller, known := s.dir.Authenticate(now, key); known {
			c.Workspace, c.KeyHash = caller.Workspace, caller.KeyHash
			return nil
		}
		return newRefusal(peer.CodeUnauthorized, peer.NotRun, "the key is not known or was withdrawn")
	}
	if c.Service != nil {
		if caller, public := s.dir.Public(c.Service.Name); public {
			c.Workspace = caller.Workspace
			return nil
		}
	}
	return newRefusal(peer.CodeUnauthorized, peer.NotRun, "the request carries no bearer key")
}

func (s *Server) parseHeaders(ctx *fasthttp.RequestCtx, c *peer.Call) *peer.Refusal {
	h := &ctx.Request.Header
	c.Program = ids.ProgramID(h.Peek(HeaderProgram))
	c.RequestKey = ids.RequestKey(h.Peek(HeaderIdempotencyKey))
	if len(c.Program) > maxNameBytes || len(c.RequestKey) > maxNameBytes {
		return newRefusal(peer.CodeBadRequest, peer.NotRun, "the program id or idempotency key is above "+strconv.Itoa(maxNameBytes)+" bytes")
	}
	if c.RequestKey == "" {
		c.RequestKey = ids.RequestKey("r-" + rand.Text())
	}
	deadline := s.limits.DefaultDeadline
	if raw := string(h.Peek(HeaderDeadline)); raw != "" {
		ms, err := strconv.ParseInt(raw, 10, 64)
		if err != nil {
			return newRefusal(peer.CodeBadRequest, peer.NotRun, HeaderDeadline+" is not a number of milliseconds")
		}
		if ms <= 0 {
			return newRefusal(peer.CodeDeadline, peer.NotRun, "the deadline has passed")
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
			return newRefusal(peer.CodeBadRequest, peer.NotRun, err.Error())
		}
		c.Chat = chat
	case peer.KindEnd:
		c.Program = ids.ProgramID(strings.TrimPrefix(path, prefixPrograms))
		if c.Program == "" {
			return newRefusal(peer.CodeBadRequest, peer.NotRun, "the path names no program")
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

// fingerprint hashes the parts in which two requests with the same request key must agree to count as the same request.
func fingerprint(ctx *fasthttp.RequestCtx, c *peer.Call) ids.Fingerprint {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(c.Kind), []byte(c.Program), ctx.Method(), ctx.RequestURI(), ctx.PostBody()} {
		h.Write([]byte(strconv.Itoa(len(part)) + ":"))
		h.Write(part)
	}
	return ids.Fingerprint(hex.EncodeToString(h.Sum(nil)[:16]))
}

func (s *Server) answer(ctx *fasthttp.RequestCtx, route string, call peer.Call, began time.Time, r peer.Result) {
	setTraceHeaders(ctx, r.Trace)
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

func setTraceHeaders(ctx *fasthttp.RequestCtx, t peer.Trace) {
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

// stream answers with server-sent events. It sends the status line only when there is a first delta or the whole answer,
// so that a refusal before that is an ordinary HTTP error.
func (s *Server) stream(ctx *fasthttp.RequestCtx, route string, call peer.Call, began time.Time) {
	deltas := make(chan string, deltaBuffer)
	final := make(chan peer.Result, 1)
	go func() {
		overflow := false
		final <- s.runCall(call, func(d string) {
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
	first, hasFirst := <-deltas
	if !hasFirst {
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
		s.writeEvents(&eventWriter{call: call, created: began.Unix(), w: w}, first, hasFirst, deltas, final, route, began)
	})
}

// deltaBuffer is how many deltas may wait for a slow caller. If there are more, all later deltas are dropped and the rest
// of the text is sent at the end of the stream.
const deltaBuffer = 1024

// writeEvents writes the body of a streamed answer. It waits for the result even if the caller has disconnected.
func (s *Server) writeEvents(e *eventWriter, first string, hasFirst bool, deltas <-chan string, final <-chan peer.Result, route string, began time.Time) {
	var err error
	if hasFirst {
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
