package engine

import (
	"encoding/json"
	"slices"
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
	models  []string // empty: every model is served
}

func newOrderBook(ignoreFencing bool, models []string) *orderBook {
	return &orderBook{ignoreFencing: ignoreFencing, models: slices.Clone(models)}
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

func (b *orderBook) load(model string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.models) > 0 && !slices.Contains(b.models, model) {
		b.models = append(b.models, model)
	}
}

func (b *orderBook) unload(model string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.models = slices.DeleteFunc(b.models, func(m string) bool { return m == model })
}

func (b *orderBook) serves(model string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.models) == 0 || slices.Contains(b.models, model)
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
		e.orders.load(o.Model)
	case "unloadModel":
		e.orders.unload(o.Model)
	case "setRole":
	case "drain":
		e.Drain()
	default:
		serve.Fail(ctx, fasthttp.StatusBadRequest, "unknown action")
		return
	}
	serve.JSON(ctx, fasthttp.StatusOK, o)
}
