// Package targethttp makes HTTP exchanges with targets and platform services for the adapters. It sends each request at
// most once, honors the context during the whole exchange, bounds the answer, and tells by its errors whether the
// request may have reached the target.
package targethttp

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// dialTimeout bounds the connection setup. Zones are at most a few milliseconds apart, so that a target which does
	// not accept within this time is down or overloaded.
	dialTimeout = time.Second
	// maxConnsPerHost is above any number of calls that a dispatcher keeps at one target.
	maxConnsPerHost = 4096
	// idleTimeout is below the usual keep-alive timeouts of servers, so that idle connections are closed by this side.
	idleTimeout = 5 * time.Second
	// readBufferSize also limits the size of an answer's headers.
	readBufferSize = 16 << 10
	// pruneAfter is how long an address stays known after its last exchange.
	pruneAfter = time.Minute
)

// Client exchanges requests with any number of addresses. It is safe for concurrent use.
type Client struct {
	mu    sync.Mutex
	hosts map[string]*host
}

// host is the connection pool of one address.
type host struct {
	pool     *fasthttp.HostClient
	active   int
	lastUsed time.Time
}

// New returns a client. The cleanup closes its idle connections.
func New() (c *Client, cleanup func()) {
	c = &Client{hosts: make(map[string]*host)}
	return c, c.closeIdle
}

func (c *Client) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hosts {
		h.pool.CloseIdleConnections()
	}
}

// acquire returns the pool of an address and forgets addresses that were not used for a while: instances come and go.
func (c *Client) acquire(address string, now time.Time) *host {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[address]
	if h == nil {
		c.prune(now)
		h = &host{pool: newPool(address)}
		c.hosts[address] = h
	}
	h.active++
	h.lastUsed = now
	return h
}

func (c *Client) release(h *host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h.active--
}

func (c *Client) prune(now time.Time) {
	for address, h := range c.hosts {
		if h.active == 0 && now.Sub(h.lastUsed) > pruneAfter {
			h.pool.CloseIdleConnections()
			delete(c.hosts, address)
		}
	}
}

// newPool uses fasthttp's host client only for its connections: its Do methods would repeat idempotent requests.
func newPool(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                address,
		MaxConns:            maxConnsPerHost,
		MaxIdleConnDuration: idleTimeout,
		ConnPoolStrategy:    fasthttp.LIFO,
		ReadBufferSize:      readBufferSize,
		DialTimeout: func(address string, timeout time.Duration) (net.Conn, error) {
			return net.DialTimeout("tcp", address, timeout)
		},
	}
}
