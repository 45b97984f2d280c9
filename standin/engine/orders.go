package engine

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/comfreylink/comfreylink/standin/engine/costs"
	"github.com/comfreylink/comfreylink/standin/serve"
	"github.com/valyala/fasthttp"
)

// Order is a control order for the engine, such as loading a model or draining. AtMs is when the engine received it.
type Order struct {
	Fence  int64  `json:"fence"`
	Action string `json:"action"`
	Model  string `json:"model"`
	AtMs   int64  `json:"atMs"`
}

// Orders is the body of GET /v1/orders.
type Orders struct {
	Orders []Order `json:"orders"`
	// Refused counts the orders with an outdated fencing number.
	Refused int `json:"refused"`
}

// orderState holds the accepted orders, the highest fencing number and the loaded models.
type orderState struct {
	ignoreFencing bool

	mu           sync.Mutex
	highestFence int64
	orders       []Order
	refused      int
	servesAll    bool            // models that are not in loaded are served
	loaded       map[string]bool // whether a model is loaded, for models given at start or in orders
}

// newOrderState returns the state at start, without orders. Without models, all models are served.
func newOrderState(ignoreFencing bool, models []string) *orderState {
	s := &orderState{ignoreFencing: ignoreFencing, servesAll: len(models) == 0, loaded: make(map[string]bool)}
	for _, m := range models {
		s.loaded[m] = true
	}
	return s
}

// accept records an order and reports whether it was accepted. Unless fencing is ignored, it refuses an order whose fencing
// number is lower than the highest one seen.
func (s *orderState) accept(o Order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.Fence < s.highestFence && !s.ignoreFencing {
		s.refused++
		return false
	}
	s.highestFence = max(s.highestFence, o.Fence)
	s.orders = append(s.orders, o)
	return true
}

func (s *orderState) setLoaded(model string, loaded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loaded[model] = loaded
}

// serves reports whether the model is served.
func (s *orderState) serves(model string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	loaded, known := s.loaded[model]
	return loaded || (s.servesAll && !known)
}

func (s *orderState) list() Orders {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Orders{Orders: append([]Order{}, s.orders...), Refused: s.refused}
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
