package gateway

import (
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/events"
)

// maxReadyAge is the age of the configuration up to which the gateway reports itself ready for new callers.
const maxReadyAge = 2500 * time.Millisecond

// probe answers the readiness probe of the load balancer: 200 if the gateway is ready for new callers, and otherwise 503.
func (g *Gateway) probe(c *fasthttp.RequestCtx) {
	if string(c.Path()) != g.ReadyPath {
		c.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if !g.updateReady(g.now()) {
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// updateReady reports whether the gateway is ready for new callers, and logs each change.
func (g *Gateway) updateReady(now time.Time) bool {
	age, known := g.follower.Freshness(now)
	reason := ""
	switch {
	case g.draining.Load():
		reason = "draining"
	case !known:
		reason = "no configuration"
	case !g.follower.TargetsKnown():
		reason = "no list of targets"
	case age > maxReadyAge:
		reason = "stale configuration"
	}
	ready := reason == ""
	if g.ready.Swap(ready) != ready {
		events.Log(g.Logger, events.ReadinessChanged, zap.Bool("ready", ready), zap.String("reason", reason),
			zap.Duration("configAge", age), zap.Int64("configVersion", g.configVersion()))
	}
	return ready
}
