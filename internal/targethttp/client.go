// Package targethttp sends HTTP requests to targets and platform services on behalf of the adapters. It sends each
// request at most once, honors the context during the whole exchange, limits the size of the answer, and reports in its
// errors whether the request may have reached the target.
package targethttp

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// dialTimeout bounds the connection setup. Zones are at most a few milliseconds apart, so a target that does not
	// accept within this time is down or overloaded.
	dialTimeout = time.Second
	// maxConnsPerHost exceeds the number of calls that a dispatcher ever has in progress at one target.
	maxConnsPerHost = 4096
	// idleTimeout is below the usual keep-alive timeouts of servers, so that this side closes idle connections first.
	idleTimeout = 5 * time.Second
	// readBufferSize is also the limit of the size of an answer's headers.
	readBufferSize = 16 << 10
	// pruneAfter is how long the connection pool of an address is kept after its last exchange.
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
	active   int // exchanges in progress
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

// acquire returns the pool of an address for one exchange. Before it adds a new address, it deletes the pools of
// addresses that are no longer in use, since instances are replaced.
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

// newPool returns a fasthttp host client, which serves only as a connection pool: its Do methods would repeat idempotent
// requests.
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
