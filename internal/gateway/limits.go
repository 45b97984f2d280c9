package gateway

import (
	"time"

	"github.com/comfreylink/comfreylink/internal/httpwire"
)

// Limits that apply before the first configuration is read.
const (
	initialHeaderBytes   = 16 << 10
	initialBodyBytes     = 4 << 20
	initialHeaderTimeout = 3 * time.Second
	initialIdleTimeout   = 15 * time.Second
)

// limits returns the limits for the messages and connections of callers.
func (g *Gateway) limits() httpwire.Limits {
	t := g.follower.Table()
	if t == nil {
		return httpwire.Limits{HeaderBytes: initialHeaderBytes, BodyBytes: initialBodyBytes, HeaderTimeout: initialHeaderTimeout, IdleTimeout: initialIdleTimeout}
	}
	l := t.Config.Limits
	return httpwire.Limits{
		HeaderBytes: orDefault(l.HeaderBytes, initialHeaderBytes), BodyBytes: orDefault(l.BodyBytes, initialBodyBytes),
		HeaderTimeout: orDefault(l.HeaderTimeout, initialHeaderTimeout), IdleTimeout: orDefault(l.IdleTimeout, initialIdleTimeout),
	}
}

func orDefault[T int | time.Duration](v, d T) T {
	if v <= 0 {
		return d
	}
	return v
}
