package logservice

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/comfreylink/comfreylink/internal/httpwire"
	"github.com/comfreylink/comfreylink/internal/traffic"
)

const (
	// maxIdleConns is the maximum number of idle connections in a pool.
	maxIdleConns = 16
	// maxIdleTime is shorter than the usual idle timeouts of servers. With a longer one, a server may close a connection
	// while a request is sent over it.
	maxIdleTime = 10 * time.Second
)

// pool is a pool of connections to one address. It sends requests and reads responses itself, because fasthttp's client
// does not cancel a request when its context ends, does not report whether a failed request was sent, and takes some malformed
// responses for a success.
type pool struct {
	address string
	dialer  net.Dialer
	traffic traffic.Counter

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

type conn struct {
	net.Conn
	raw       net.Conn // the same without the count of its bytes
	r         *bufio.Reader
	w         *bufio.Writer
	idleSince time.Time
}

// do sends a request and reads the response, until ctx ends. sent is true if a part of the request may have been sent.
func (p *pool) do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, maxBody int) (sent bool, err error) {
	if err := ctx.Err(); err != nil {
		return false, err
	}
	c, err := p.get(ctx)
	if err != nil {
		return false, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	err = c.roundTrip(req, resp, maxBody)
	interrupted := !stop()
	if err != nil || interrupted || resp.ConnectionClose() {
		_ = c.Close()
	} else {
		p.put(c)
	}
	if err != nil && interrupted {
		err = ctx.Err()
	}
	return true, err
}

func (c *conn) roundTrip(req *fasthttp.Request, resp *fasthttp.Response, maxBody int) (err error) {
	if err := req.Write(c.w); err != nil {
		return err
	}
	if err := c.w.Flush(); err != nil {
		return err
	}
	body, err := httpwire.ReadAnswer(c.r, &resp.Header, false, func() error { return httpwire.Received(c.raw, nil) })
	if err != nil {
		return err
	}
	n, err := io.Copy(resp.BodyWriter(), io.LimitReader(body, int64(maxBody)+1))
	if err == nil && n > int64(maxBody) {
		return fasthttp.ErrBodyTooLarge
	}
	return err
}

func (p *pool) get(ctx context.Context) (c *conn, err error) {
	if c := p.takeIdle(time.Now()); c != nil {
		return c, nil
	}
	n, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	counted := p.traffic.Conn(n)
	return &conn{Conn: counted, raw: n, r: bufio.NewReader(counted), w: bufio.NewWriter(counted)}, nil
}

func (p *pool) takeIdle(now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		// Unread bytes would be taken for the response to the next request.
		if now.Sub(c.idleSince) < maxIdleTime && c.r.Buffered() == 0 && httpwire.IdleAndOpen(c.raw) {
			return c
		}
		_ = c.Close()
	}
	return nil
}

func (p *pool) put(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdleConns {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}
