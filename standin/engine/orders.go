package engine

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/comfreylink/comfreylink/standin/engine/costs"
	"github.com/comfreylink/comfreylink/standin/serve"
	"github.com/valyala/fasthttp"
)

// Order is an order that the engine accepted.
type Order struct {
	Fence  int64  `json:"fence"`
	Action string `json:"action"`
	Model  string `json:"model"`
	AtMs   int64  `json:"atMs"`
}

// Orders is the body of GET /v1/orders.
type Orders struct {
	Orders  []Order `json:"orders"`
	Refused int     `json:"refused"`
}

// orderBook holds the orders and what they changed.
type orderBook struct {
	ignoreFencing bool

	mu      sync.Mutex
	fence   int64
	orders  []Order
	refused int
	all     bool            // models that no order named are served
	loaded  map[string]bool // models given at start or named by orders
}

func newOrderBook(ignoreFencing bool, models []string) *orderBook {
	b := &orderBook{ignoreFencing: ignoreFencing, all: len(models) == 0, loaded: make(map[string]bool)}
	for _, m := range models {
		b.loaded[m] = true
	}
	return b
}

// accept records an order, unless a higher fencing number was seen and numbers are checked.
func (b *orderBook) accept(o Order) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if o.Fence < b.fence && !b.ignoreFencing {
		b.refused++
		return false
	}
	b.fence = max(b.fence, o.Fence)
	b.orders = append(b.orders, o)
	return true
}

func (b *orderBook) setLoaded(model string, loaded bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loaded[model] = loaded
}

func (b *orderBook) serves(model string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	loaded, known := b.loaded[model]
	return loaded || (b.all && !known)
}

func (b *orderBook) list() Orders {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Orders{Orders: append([]Order{}, b.orders...), Refused: b.refused}
}

func (e *Engine) handleOrder(ctx *fasthttp.RequestCtx) {
	var o Order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		serve.Fail(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	o.AtMs = time.Now().UnixMilli()
	if !e.orders.accept(o) {
		serve.Fail(ctx, fasthttp.StatusConflict, "older fencing number")
		return
	}
	switch o.Action {
	case "loadModel", "loadAdapter", "loadVersion":
		serve.Pause(e.batch.Done(), e.scaled(costs.LoadTime).Milliseconds())
		e.orders.setLoaded(o.Model, true)
	case "unloadModel":
		e.orders.setLoaded(o.Model, false)
	case "setRole":
	case "drain":
		e.Drain()
	default:
		serve.Fail(ctx, fasthttp.StatusBadRequest, "unknown action")
		return
	}
	serve.JSON(ctx, fasthttp.StatusOK, o)
}
