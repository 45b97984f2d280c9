package rpc

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

const (
	// dialTimeout bounds the time to connect to another instance.
	dialTimeout = 150 * time.Millisecond
	// maxAbandoned bounds the calls of a connection that have ended without a response, whose responses may still arrive.
	maxAbandoned = 256
	// maxRetired bounds the retired connections to one instance. The oldest is closed when there are more.
	maxRetired = 3
)

// ErrUnreachable is wrapped by errors of calls that have had no effect because there is no connection to the other instance,
// or because it does not read fast enough or works on too many calls.
var ErrUnreachable = errors.New("the instance is not reachable")

// Client makes calls and keeps a connection to each instance that it has called. It is safe for concurrent use.
type Client struct {
	mu     sync.Mutex
	peers  map[string]*peer // by address
	closed bool
}

// peer holds the connections to one instance. It is guarded by the client's lock.
type peer struct {
	current *conn // nil if there is none
	dialing *dial // nil if no connection is being opened
	// retired connections get no new calls, and are closed when their calls have ended. The oldest comes first.
	retired []*conn
}

// dial is an attempt to connect that all calls to the instance wait for.
type dial struct {
	done chan struct{}
	err  error // set before done is closed
}

// conn is a connection to an instance. Its counts are guarded by the client's lock.
type conn struct {
	address   string
	rpc       *jsonrpc2.Conn
	stream    *stream
	sending   chan struct{} // a lock held while a message is queued; those who wait for it end with their context
	calls     int           // in progress
	abandoned int           // calls that have ended without a response
	retired   bool
}

// NewClient returns a client; cleanup closes its connections.
func NewClient() (c *Client, cleanup func()) {
	c = &Client{peers: make(map[string]*peer)}
	return c, c.close
}

func (c *Client) close() {
	c.mu.Lock()
	c.closed = true
	var all []*conn
	for _, p := range c.peers {
		all = append(all, p.retired...)
		if p.current != nil {
			all = append(all, p.current)
		}
	}
	c.mu.Unlock()
	for _, conn := range all {
		_ = conn.rpc.Close()
	}
}

// Call calls a method of the instance at an address and decodes the response into result. The error is a *jsonrpc2.Error
// if the other instance answered with an error. If it wraps ErrUnreachable, the method was not begun. The parameters must not
// be changed, even after Call has returned.
//
// Calls share a connection. The end of one call does not end the others: a call that is cancelled says nothing about the
// connection, and a connection that may have gone silent is only retired.
func (c *Client) Call(ctx context.Context, address, method string, params, result any) error {
	if err := ctx.Err(); err != nil {
		return errors.Join(ErrUnreachable, err)
	}
	conn, err := c.acquire(ctx, address)
	if err != nil {
		return errors.Join(ErrUnreachable, err)
	}
	received := conn.stream.received.Load()
	sent := make(chan jsonrpc2.Waiter)
	refused := make(chan error, 1)
	// Encoding a large message takes long and cannot be interrupted.
	go func() {
		waiter, err := conn.send(ctx, method, params)
		if err != nil {
			c.release(conn, false, false)
			refused <- errors.Join(ErrUnreachable, err)
			return
		}
		select {
		case sent <- waiter:
		case <-ctx.Done():
			c.release(conn, true, false)
		}
	}()
	select {
	case waiter := <-sent:
		return c.wait(ctx, conn, received, waiter, result)
	case err := <-refused:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// send queues the message of a call, unless its context ends before. After an error nothing of the message will be sent.
func (c *conn) send(ctx context.Context, method string, params any) (w jsonrpc2.Waiter, err error) {
	encoded, err := json.Marshal(params)
	if err != nil {
		return w, err
	}
	select {
	case c.sending <- struct{}{}:
	case <-ctx.Done():
		return w, ctx.Err()
	}
	defer func() { <-c.sending }()
	if err := ctx.Err(); err != nil {
		return w, err
	}
	return c.rpc.DispatchCall(ctx, method, json.RawMessage(encoded), jsonrpc2.Meta(metaOf(ctx)))
}

// wait waits for the response to a call, and ends the call. received is what had arrived on the connection before the call.
func (c *Client) wait(ctx context.Context, conn *conn, received int64, waiter jsonrpc2.Waiter, result any) error {
	err := waiter.Wait(ctx, result)
	abandoned := err != nil && ctx.Err() != nil
	silent := errors.Is(err, context.DeadlineExceeded) && conn.stream.received.Load() == received
	c.release(conn, abandoned, silent)
	var answered *jsonrpc2.Error
	if errors.As(err, &answered) && answered.Code == codeBusy {
		return fmt.Errorf("%w: %s", ErrUnreachable, answered.Message)
	}
	return err
}

// acquire returns the connection to an instance for one call, and opens it if there is none. The caller must release it.
func (c *Client) acquire(ctx context.Context, address string) (*conn, error) {
	for {
		conn, d := c.connOrDial(address)
		if conn != nil {
			return conn, nil
		}
		select {
		case <-d.done:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if d.err != nil {
			return nil, d.err
		}
	}
}

// connOrDial returns the current connection to an instance, or else the attempt to open one.
func (c *Client) connOrDial(address string) (*conn, *dial) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[address]
	if p == nil {
		p = new(peer)
		c.peers[address] = p
	}
	if p.current != nil {
		p.current.calls++
		return p.current, nil
	}
	if p.dialing == nil {
		p.dialing = &dial{done: make(chan struct{})}
		go c.dial(address, p, p.dialing)
	}
	return nil, p.dialing
}

// dial opens a connection to an instance. It does not depend on the call that caused it, since others may wait for it too.
func (c *Client) dial(address string, p *peer, d *dial) {
	defer close(d.done)
	nc, err := net.DialTimeout("tcp", address, dialTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	p.dialing = nil
	if err == nil && c.closed {
		_ = nc.Close()
		err = net.ErrClosed
	}
	if err != nil {
		d.err = err
		c.dropUnused(address, p)
		return
	}
	conn := &conn{address: address, sending: make(chan struct{}, 1)}
	conn.stream = newStream(nc, func() { c.forget(conn) })
	conn.rpc = jsonrpc2.NewConn(context.Background(), conn.stream, ignoreCalls{}, quiet)
	p.current = conn
}

// release ends a call. abandoned means that it has ended without a response, silent that its deadline has passed while nothing
// at all arrived on the connection.
func (c *Client) release(used *conn, abandoned, silent bool) {
	c.mu.Lock()
	used.calls--
	if abandoned {
		used.abandoned++
	}
	var unused []*conn
	if silent || used.abandoned > maxAbandoned {
		unused = c.retire(used)
	}
	if used.retired && used.calls == 0 {
		unused = append(unused, used)
	}
	c.mu.Unlock()
	for _, conn := range unused {
		_ = conn.rpc.Close()
	}
}

// retire makes new calls open another connection, and returns the connections to close because too many are retired. The
// caller holds the lock.
func (c *Client) retire(used *conn) (excess []*conn) {
	p := c.peers[used.address]
	if p == nil || p.current != used {
		return nil
	}
	used.retired = true
	p.current = nil
	p.retired = append(p.retired, used)
	if len(p.retired) > maxRetired {
		excess = []*conn{p.retired[0]}
	}
	return excess
}

// forget removes a connection that was closed.
func (c *Client) forget(closed *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[closed.address]
	if p == nil {
		return
	}
	if p.current == closed {
		p.current = nil
	}
	p.retired = slices.DeleteFunc(p.retired, func(conn *conn) bool { return conn == closed })
	c.dropUnused(closed.address, p)
}

// dropUnused removes an instance to which there is no connection. The caller holds the lock.
func (c *Client) dropUnused(address string, p *peer) {
	if p.current == nil && p.dialing == nil && len(p.retired) == 0 && c.peers[address] == p {
		delete(c.peers, address)
	}
}

// ignoreCalls is the handler of a client's connections. It ignores calls from the other side.
type ignoreCalls struct{}

func (ignoreCalls) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
