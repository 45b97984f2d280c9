package targethttp

import (
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/comfreylink/comfreylink/internal/httpwire"
)

// pooledConn is a connection taken from a pool. The user must call either release or discard, once.
type pooledConn struct {
	conn             net.Conn
	release, discard func()
}

// acquireConn returns a connection of the pool with the context's deadline set. It discards idle connections that the
// target has closed, because it would be unknown whether a request written to one was run, and those with unread bytes,
// because these may be a late answer to an earlier request.
func acquireConn(ctx context.Context, pool *fasthttp.HostClient) (p pooledConn, err error) {
	deadline, hasDeadline := ctx.Deadline()
	for {
		timeout := dialTimeout
		if hasDeadline {
			timeout = min(timeout, time.Until(deadline))
		}
		if timeout <= 0 {
			return pooledConn{}, context.DeadlineExceeded
		}
		cc, err := pool.AcquireConn(timeout, false)
		if err != nil {
			return pooledConn{}, err
		}
		if err := cc.Conn().SetDeadline(deadline); err == nil && httpwire.IdleAndOpen(cc.Conn()) {
			return pooledConn{
				conn:    cc.Conn(),
				release: func() { pool.ReleaseConn(cc) },
				discard: func() { pool.CloseConn(cc) },
			}, nil
		}
		pool.CloseConn(cc)
	}
}
