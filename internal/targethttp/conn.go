package targethttp

import (
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/comfreylink/comfreylink/internal/httpwire"
)

// lease is a connection taken from a pool; exactly one of giveBack and drop is called.
type lease struct {
	conn           net.Conn
	giveBack, drop func()
}

// acquireConn returns a connection that carries the context's deadline. It drops idle connections that the target has
// closed or that hold unexpected bytes: a request written to the first would be lost with its fate unknown, and the
// second could be a late answer to an earlier request.
func acquireConn(ctx context.Context, pool *fasthttp.HostClient) (l lease, err error) {
	deadline, limited := ctx.Deadline()
	for {
		wait := dialTimeout
		if limited {
			wait = min(wait, time.Until(deadline))
		}
		if wait <= 0 {
			return lease{}, context.DeadlineExceeded
		}
		cc, err := pool.AcquireConn(wait, false)
		if err != nil {
			return lease{}, err
		}
		if err := cc.Conn().SetDeadline(deadline); err == nil && httpwire.Quiet(cc.Conn()) {
			return lease{
				conn:     cc.Conn(),
				giveBack: func() { pool.ReleaseConn(cc) },
				drop:     func() { pool.CloseConn(cc) },
			}, nil
		}
		pool.CloseConn(cc)
	}
}
