// Package service is a stand-in for plain services and tool services. It accepts every path and method, records each run, and
// answers with a description of the run.
package service

import (
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/comfreylink/comfreylink/standin/serve"
	"github.com/valyala/fasthttp"
)

// crashExitCode is the exit status of a process that the CrashAfter fault ends.
const crashExitCode = 70

// Run is one execution of a request.
type Run struct {
	Method    string `json:"method"`
	Path      string `json:"path"`
	Key       string `json:"key"`
	Workspace string `json:"workspace"`
	Fence     int64  `json:"fence,omitempty"`
	Body      string `json:"body,omitempty"`
	// ArrivedMs is the time of arrival in Unix milliseconds.
	ArrivedMs int64 `json:"arrivedMs"`
	// Authorization reports whether the request had an Authorization header. No target may receive that header.
	Authorization bool `json:"authorization"`
}

// Runs is the body of GET /runs.
type Runs struct {
	Runs []Run `json:"runs"`
	// Refused counts the requests that were refused without running.
	Refused int `json:"refused"`
}

// Faults are the faults that can be set. The zero value means no faults.
type Faults struct {
	// HangBefore and HangAfter block requests before or after they run, until the faults change.
	HangBefore bool `json:"hangBefore"`
	HangAfter  bool `json:"hangAfter"`
	// DelayMs delays the answer after the run.
	DelayMs int64 `json:"delayMs"`
	// CrashAfter ends the process after the run, without an answer.
	CrashAfter bool `json:"crashAfter"`
	// CloseBefore and CloseAfter close the connection without an answer, before or after the run.
	CloseBefore bool `json:"closeBefore"`
	CloseAfter  bool `json:"closeAfter"`
	// Fail answers 500 after the run.
	Fail bool `json:"fail"`
	// Leaving answers 503 with "Connection: close" without running.
	Leaving bool `json:"leaving"`
	// AnswerBytes adds this many bytes of padding to the answer's body.
	AnswerBytes int `json:"answerBytes"`
	// Next limits the other faults to this many requests. 0 means no limit.
	Next int `json:"next"`
}

// Options configures a service.
type Options struct {
	// CheckFencing makes the service refuse a request whose X-Fence header is lower than the highest one seen with the same
	// X-Fence-Scope header. Requests without X-Fence are not checked.
	CheckFencing bool
	// Exit ends the process. The default is os.Exit.
	Exit func(code int)
}

// Service is a stand-in for a service.
type Service struct {
	options Options
	faults  *serve.Faults[Faults]
	done    chan struct{}

	mu      sync.Mutex
	runs    []Run
	refused int
	fences  map[string]int64 // highest fencing number by scope
}

// New returns a service. The cleanup unblocks requests that hang.
func New(o Options) (s *Service, cleanup func()) {
	if o.Exit == nil {
		o.Exit = os.Exit
	}
	s = &Service{options: o, fences: map[string]int64{}, faults: serve.NewFaults[Faults](), done: make(chan struct{})}
	return s, sync.OnceFunc(func() { close(s.done) })
}

// SetFaults replaces all faults.
func (s *Service) SetFaults(f Faults) { s.faults.Set(f) }

// Runs returns all executions so far.
func (s *Service) Runs() Runs {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Runs{Runs: append([]Run{}, s.runs...), Refused: s.refused}
}

// Handle serves /faults, /runs, and every other path as a request to run.
func (s *Service) Handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/faults":
		s.faults.Handle(ctx)
	case "/runs":
		serve.JSON(ctx, fasthttp.StatusOK, s.Runs())
	default:
		s.serve(ctx)
	}
}

// serve runs a request and applies the faults.
func (s *Service) serve(ctx *fasthttp.RequestCtx) {
	f := s.faults.Consume(countDown)
	switch {
	case f.Leaving:
		ctx.SetConnectionClose()
		s.refuse(ctx, fasthttp.StatusServiceUnavailable, "leaving")
		return
	case f.CloseBefore:
		serve.CloseConnection(ctx)
		return
	case f.HangBefore:
		s.faults.Hang(s.done)
	}
	run, ok := s.run(ctx)
	if !ok {
		s.refuse(ctx, fasthttp.StatusConflict, "older fencing number")
		return
	}
	s.answer(ctx, f, run)
}

// countDown counts a request against Next and clears the faults after the last one.
func countDown(f *Faults) {
	if f.Next == 0 {
		return
	}
	if f.Next--; f.Next == 0 {
		*f = Faults{}
	}
}

// refuse counts a refusal and answers with an error.
func (s *Service) refuse(ctx *fasthttp.RequestCtx, status int, message string) {
	s.mu.Lock()
	s.refused++
	s.mu.Unlock()
	serve.Fail(ctx, status, message)
}

// run records an execution. ok is false if the fencing number of the request is outdated; then nothing is recorded.
func (s *Service) run(ctx *fasthttp.RequestCtx) (r Run, ok bool) {
	h := &ctx.Request.Header
	r = Run{
		Method:        string(ctx.Method()),
		Path:          string(ctx.RequestURI()),
		Key:           string(h.Peek("Idempotency-Key")),
		Workspace:     string(h.Peek("X-Workspace")),
		Body:          string(ctx.PostBody()),
		ArrivedMs:     time.Now().UnixMilli(),
		Authorization: len(h.Peek("Authorization")) > 0,
	}
	r.Fence, _ = strconv.ParseInt(string(h.Peek("X-Fence")), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Fence > 0 {
		scope := string(h.Peek("X-Fence-Scope"))
		if s.options.CheckFencing && r.Fence < s.fences[scope] {
			return r, false
		}
		s.fences[scope] = max(s.fences[scope], r.Fence)
	}
	s.runs = append(s.runs, r)
	return r, true
}

// Answer is the body of the answer to a request that ran.
type Answer struct {
	Run
	// Padding has the length that the AnswerBytes fault sets.
	Padding string `json:"padding,omitempty"`
}

// answer answers a request that ran, and applies the faults that follow a run.
func (s *Service) answer(ctx *fasthttp.RequestCtx, f Faults, r Run) {
	serve.Pause(s.done, f.DelayMs)
	switch {
	case f.CrashAfter:
		s.options.Exit(crashExitCode)
		serve.CloseConnection(ctx)
	case f.CloseAfter:
		serve.CloseConnection(ctx)
	case f.Fail:
		serve.Fail(ctx, fasthttp.StatusInternalServerError, "failed by fault")
	case f.HangAfter:
		s.faults.Hang(s.done)
		fallthrough
	default:
		serve.JSON(ctx, fasthttp.StatusOK, Answer{Run: r, Padding: padding(f.AnswerBytes)})
	}
}

// padding returns n bytes of text.
func padding(n int) string {
	b := make([]byte, n)
	for i := range b {
		b[i] = 'x'
	}
	return string(b)
}
