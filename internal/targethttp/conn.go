package targethttp

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
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
		if err := cc.Conn().SetDeadline(deadline); err == nil && quiet(cc.Conn()) {
			return lease{
				conn:     cc.Conn(),
				giveBack: func() { pool.ReleaseConn(cc) },
				drop:     func() { pool.CloseConn(cc) },
			}, nil
		}
		pool.CloseConn(cc)
	}
}

// quiet reports whether the connection is open and holds no unread bytes.
func quiet(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}
