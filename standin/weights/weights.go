// Package weights is a stand-in for the platform's rate-limited weight store.
package weights

import (
	"io"
	"math"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/comfreylink/comfreylink/standin/serve"
	"github.com/valyala/fasthttp"
)

// Options configures a store.
type Options struct {
	// Rate is the number of downloads that may start per second. Burst is the number that may start at once.
	Rate  float64
	Burst int
	// Bytes is the size of each model's weights.
	Bytes int64
}

// Counts is the body of GET /runs.
type Counts struct {
	// Served counts the downloads of each model.
	Served map[string]int `json:"served"`
	// Refused counts the requests above the rate.
	Refused int `json:"refused"`
}

// Faults are the faults that can be set. The zero value means no faults.
type Faults struct {
	// Outage answers 503 to downloads.
	Outage bool `json:"outage"`
	// DelayMs delays the answers to downloads.
	DelayMs int64 `json:"delayMs"`
}

// Store is a stand-in for the weight store.
type Store struct {
	options Options
	now     func() time.Time
	faults  *serve.Faults[Faults]
	done    chan struct{}

	mu         sync.Mutex
	tokens     float64 // token bucket of the download rate
	refilledAt time.Time
	served     map[string]int
	refused    int
}

// New returns a store. The cleanup unblocks delayed requests.
func New(o Options, now func() time.Time) (s *Store, cleanup func()) {
	s = &Store{
		options: o, now: now, faults: serve.NewFaults[Faults](), done: make(chan struct{}),
		tokens: float64(o.Burst), refilledAt: now(), served: make(map[string]int),
	}
	return s, sync.OnceFunc(func() { close(s.done) })
}

// Handle serves the store's HTTP interface.
func (s *Store) Handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	model, ok := strings.CutPrefix(path, "/v1/weights/")
	switch {
	case path == "/faults":
		s.faults.Handle(ctx)
	case path == "/runs":
		serve.JSON(ctx, fasthttp.StatusOK, s.counts())
	case ok && ctx.IsGet():
		s.get(ctx, model)
	default:
		serve.Fail(ctx, fasthttp.StatusNotFound, "no such path")
	}
}

// get serves GET /v1/weights/MODEL.
func (s *Store) get(ctx *fasthttp.RequestCtx, model string) {
	f := s.faults.Get()
	serve.Pause(s.done, f.DelayMs)
	if f.Outage {
		serve.Fail(ctx, fasthttp.StatusServiceUnavailable, "outage")
		return
	}
	if unescaped, err := url.PathUnescape(model); err == nil {
		model = unescaped
	}
	if wait := s.take(model); wait > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(wait.Seconds()))))
		serve.Fail(ctx, fasthttp.StatusTooManyRequests, "above the rate")
		return
	}
	ctx.SetContentType("application/octet-stream")
	ctx.SetBodyStream(io.LimitReader(zeros{}, s.options.Bytes), int(s.options.Bytes))
}

// take takes a token from the bucket of the download rate and counts the download. If the bucket is empty, it counts a
// refusal and returns the time until the next download may start.
func (s *Store) take(model string) (wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.tokens = min(s.tokens+now.Sub(s.refilledAt).Seconds()*s.options.Rate, float64(s.options.Burst))
	s.refilledAt = now
	if s.tokens < 1 {
		s.refused++
		return time.Duration((1 - s.tokens) / s.options.Rate * float64(time.Second))
	}
	s.tokens--
	s.served[model]++
	return 0
}

func (s *Store) counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Counts{Served: make(map[string]int, len(s.served)), Refused: s.refused}
	for model, n := range s.served {
		c.Served[model] = n
	}
	return c
}

// zeros is an endless stream of zero bytes.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
