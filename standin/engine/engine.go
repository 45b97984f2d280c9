// Package engine is a stand-in of a model engine. It keeps the time of an engine with continuous batching and a prefix
// cache, and answers with a text that depends only on the messages it received.
package engine

import (
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/comfreylink/comfreylink/standin/engine/batch"
	"github.com/comfreylink/comfreylink/standin/engine/costs"
	"github.com/comfreylink/comfreylink/standin/serve"
	"github.com/valyala/fasthttp"
)

// Options configure a stand-in; zero values stand for the defaults.
type Options struct {
	// Speed divides all durations of the engine's work; 1 by default.
	Speed float64
	// Slots is the number of sequences in the batch.
	Slots int
	// CacheTokens is the size of the prefix cache.
	CacheTokens int
	// IgnoreFencing accepts orders with any fencing number.
	IgnoreFencing bool
	// Models are the models served at start; empty for all.
	Models []string
	// Exit ends the process; os.Exit by default.
	Exit func(code int)
}

// Engine is the stand-in.
type Engine struct {
	options Options
	faults  *serve.Faults[Faults]
	batch   *batch.Batch
	leaving atomic.Bool
	nextID  atomic.Int64
	load    atomic.Pointer[Load]
	orders  *orderBook

	mu      sync.Mutex
	streams map[string]*batch.Generation
	order   []*batch.Generation // all runs that are listed, oldest first
	last    *batch.Generation
	exposed int // requests with an Authorization header
}

// New starts an engine. The cleanup stops its work and releases requests that hang.
func New(o Options) (e *Engine, cleanup func()) {
	e = &Engine{options: o.withDefaults(), faults: serve.NewFaults[Faults](), streams: make(map[string]*batch.Generation)}
	b, endBatch := batch.New(e.options.Slots, e.options.CacheTokens, e.options.Speed, e.padding)
	e.batch = b
	e.orders = newOrderBook(e.options.IgnoreFencing, e.options.Models)
	e.load.Store(e.measure())
	var reports sync.WaitGroup
	reports.Go(e.reportLoad)
	return e, sync.OnceFunc(func() {
		endBatch()
		reports.Wait()
	})
}

func (o Options) withDefaults() Options {
	if o.Speed <= 0 {
		o.Speed = 1
	}
	if o.Slots <= 0 {
		o.Slots = costs.Slots
	}
	if o.CacheTokens <= 0 {
		o.CacheTokens = costs.CacheTokens
	}
	if o.Exit == nil {
		o.Exit = os.Exit
	}
	return o
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) { e.faults.Set(f) }

// Drain makes the engine refuse new work.
func (e *Engine) Drain() { e.leaving.Store(true) }

// scaled divides a duration of the engine's work by its speed.
func (e *Engine) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) / e.options.Speed)
}

// Handle serves the engine's requests.
func (e *Engine) Handle(ctx *fasthttp.RequestCtx) {
	if len(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)) > 0 {
		e.mu.Lock()
		e.exposed++
		e.mu.Unlock()
	}
	path := string(ctx.Path())
	if id, ok := strings.CutPrefix(path, "/v1/streams/"); ok {
		e.handleStream(ctx, id)
		return
	}
	if id, ok := strings.CutPrefix(path, "/v1/cache/"); ok && ctx.IsDelete() {
		e.evict(ctx, id)
		return
	}
	switch string(ctx.Method()) + " " + path {
	case "GET /faults", "POST /faults":
		e.faults.Handle(ctx)
	case "POST /v1/chat/completions":
		e.chat(ctx)
	case "GET /v1/load":
		serve.JSON(ctx, fasthttp.StatusOK, e.load.Load())
	case "GET /v1/cache":
		e.listCache(ctx)
	case "GET /v1/cache/events":
		e.cacheEvents(ctx)
	case "POST /v1/kv/export":
		e.exportKV(ctx)
	case "POST /v1/kv/import":
		e.importKV(ctx)
	case "POST /v1/orders":
		e.handleOrder(ctx)
	case "GET /v1/orders":
		serve.JSON(ctx, fasthttp.StatusOK, e.orders.list())
	case "POST /v1/drain":
		e.Drain()
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	case "GET /runs":
		serve.JSON(ctx, fasthttp.StatusOK, e.Runs())
	default:
		serve.Fail(ctx, fasthttp.StatusNotFound, "no such path")
	}
}
