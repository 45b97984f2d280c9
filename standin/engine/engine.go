// Package engine is a stand-in for a model engine. It simulates the timing of an engine with continuous batching and a prefix
// cache, and answers with a text that depends only on the messages of the request.
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

// Options configures an engine. Zero values select the defaults.
type Options struct {
	// Speed divides all durations of the engine's work. The default is 1.
	Speed float64
	// Slots is the maximum number of sequences in the batch. The default is costs.Slots.
	Slots int
	// CacheTokens is the size of the prefix cache in tokens. The default is costs.CacheTokens.
	CacheTokens int
	// IgnoreFencing makes the engine accept orders with any fencing number.
	IgnoreFencing bool
	// Models lists the models that are loaded at start. If it is empty, every model is served until an order unloads it.
	Models []string
	// Exit ends the process. The default is os.Exit.
	Exit func(code int)
}

// Engine is a stand-in for a model engine.
type Engine struct {
	options Options
	faults  *serve.Faults[Faults]
	batch   *batch.Batch
	leaving atomic.Bool
	nextID  atomic.Int64
	load    atomic.Pointer[Load] // the report of GET /v1/load
	orders  *orderState

	mu         sync.Mutex
	streams    map[string]*batch.Generation // by request id, until they expire
	listed     []*batch.Generation          // generations that GET /runs lists, oldest first
	latest     *batch.Generation
	authorized int // requests with an Authorization header
}

// New starts an engine. The cleanup stops its work and unblocks requests that hang.
func New(o Options) (e *Engine, cleanup func()) {
	e = &Engine{options: o.withDefaults(), faults: serve.NewFaults[Faults](), streams: make(map[string]*batch.Generation)}
	b, endBatch := batch.New(e.options.Slots, e.options.CacheTokens, e.options.Speed, e.padding)
	e.batch = b
	e.orders = newOrderState(e.options.IgnoreFencing, e.options.Models)
	e.load.Store(e.measure())
	var reports sync.WaitGroup
	reports.Go(e.reportLoad)
	return e, sync.OnceFunc(func() {
		endBatch()
		reports.Wait()
	})
}

// withDefaults returns the options with the defaults filled in.
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

// SetFaults replaces all faults.
func (e *Engine) SetFaults(f Faults) { e.faults.Set(f) }

// Drain makes the engine refuse new chat requests.
func (e *Engine) Drain() { e.leaving.Store(true) }

// scaled returns a duration of the engine's work divided by the engine's speed.
func (e *Engine) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) / e.options.Speed)
}

// Handle serves the engine's HTTP interface.
func (e *Engine) Handle(ctx *fasthttp.RequestCtx) {
	if len(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)) > 0 {
		e.mu.Lock()
		e.authorized++
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
