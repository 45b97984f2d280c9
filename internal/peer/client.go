package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/comfreylink/comfreylink/internal/frame"
	"github.com/comfreylink/comfreylink/internal/traffic"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

const (
	dialTimeout = 2 * time.Second
	// chunkRing bounds the chunks that wait for a slow reader of one call. When it is full, later chunks are dropped and
	// the reader takes the rest from the result, which is always whole.
	chunkRing = 1024
)

// Error codes of jsonrpc2 answers.
const (
	codeBusy     = -32001
	codeInternal = -32603
)

// ErrNotSent is wrapped by errors of calls that did not reach the peer.
var ErrNotSent = errors.New("not sent")

// Address tells where an instance listens for peers.
type Address struct {
	Instance ids.InstanceID
	HostPort string
}

// Client keeps one connection to each peer that is called.
type Client struct {
	credentials Credentials
	mu          sync.Mutex
	conns       map[Address]*clientConn
	next        atomic.Int64
	closed      bool
	traffic     traffic.Counter
}

// New returns a client. The returned cleanup closes all connections.
func New(c Credentials) (p *Client, cleanup func()) {
	p = &Client{credentials: c, conns: map[Address]*clientConn{}}
	return p, p.close
}

// Call sends a request and waits for its result. Chunks that come ahead of the result are given to onChunk in order, if
// it is not nil. An error that wraps ErrNotSent means that the peer has not seen the request; any other error leaves
// that open.
func (p *Client) Call(ctx context.Context, to Address, m Method, params, result any, onChunk func(json.RawMessage)) (err error) {
	defer func() { err = oops.In("peer").With("method", m, "peer", to.Instance).Wrapf(err, "call a peer") }()
	conn, err := p.conn(ctx, to)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	id := strconv.FormatInt(p.next.Add(1), 10)
	if onChunk == nil {
		return conn.rpc.Call(ctx, string(m), params, result, jsonrpc2.PickID(jsonrpc2.ID{Str: id, IsString: true}))
	}
	return conn.callChunks(ctx, id, m, params, result, onChunk)
}

func (p *Client) conn(ctx context.Context, to Address) (*clientConn, error) {
	p.mu.Lock()
	c := p.conns[to]
	if c == nil && !p.closed {
		c = &clientConn{ready: make(chan struct{}), chunks: map[string]chan json.RawMessage{}}
		p.conns[to] = c
		go p.dial(c, to)
	}
	p.mu.Unlock()
	if c == nil {
		return nil, net.ErrClosed
	}
	select {
	case <-c.ready:
		return c, c.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dial connects, and forgets the connection when it ends, so that the next call dials again.
func (p *Client) dial(c *clientConn, to Address) {
	defer p.forget(c, to)
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := p.connect(ctx, to)
	if err != nil {
		c.err = err
		close(c.ready)
		return
	}
	stream := jsonrpc2.NewBufferedStream(deadlineConn{conn, writeTimeout}, frame.Codec{})
	c.rpc = jsonrpc2.NewConn(context.Background(), stream, c, jsonrpc2.SetLogger(discardLogger{}))
	close(c.ready)
	<-c.rpc.DisconnectNotify()
}

// connect makes a connection whose bytes are counted below TLS.
func (p *Client) connect(ctx context.Context, to Address) (secure *tls.Conn, err error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", to.HostPort)
	if err != nil {
		return nil, err
	}
	secure = tls.Client(p.traffic.Conn(conn), p.credentials.clientConfig(to.Instance))
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return secure, nil
}

// Traffic counts the bytes of the connections to peers.
func (p *Client) Traffic() *traffic.Counter { return &p.traffic }

func (p *Client) forget(c *clientConn, to Address) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[to] == c {
		delete(p.conns, to)
	}
}

// Drop closes the connection to a peer that does not answer, so that its calls end and the next call dials again. It
// does not wait: a connection that is being made can be closed when dialing has ended, and the peer may not take the
// notice of the end.
func (p *Client) Drop(to Address) {
	p.mu.Lock()
	c := p.conns[to]
	delete(p.conns, to)
	p.mu.Unlock()
	if c != nil {
		go c.close()
	}
}

func (p *Client) close() {
	p.mu.Lock()
	p.closed = true
	conns := p.conns
	p.conns = map[Address]*clientConn{}
	p.mu.Unlock()
	for _, c := range conns {
		c.close()
	}
}

type clientConn struct {
	ready  chan struct{}
	err    error
	rpc    *jsonrpc2.Conn
	mu     sync.Mutex
	chunks map[string]chan json.RawMessage
}

func (c *clientConn) close() {
	<-c.ready
	if c.rpc != nil {
		_ = c.rpc.Close()
	}
}

// Handle implements jsonrpc2.Handler for the chunks of answers. jsonrpc2 calls it in the order of arrival.
func (c *clientConn) Handle(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if !req.Notif || req.Method != string(methodChunk) || req.Params == nil {
		return
	}
	var m chunkMessage
	if json.Unmarshal(*req.Params, &m) != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	ring, ok := c.chunks[m.Call]
	if !ok {
		return
	}
	select {
	case ring <- m.Data:
	default:
		// A gap must not be followed by later chunks.
		close(ring)
		delete(c.chunks, m.Call)
	}
}

func (c *clientConn) callChunks(ctx context.Context, id string, m Method, params, result any, onChunk func(json.RawMessage)) error {
	ring := make(chan json.RawMessage, chunkRing)
	c.mu.Lock()
	c.chunks[id] = ring
	c.mu.Unlock()
	delivered := make(chan struct{})
	go func() {
		defer close(delivered)
		for data := range ring {
			onChunk(data)
		}
	}()
	err := c.rpc.Call(ctx, string(m), params, result, jsonrpc2.PickID(jsonrpc2.ID{Str: id, IsString: true}))
	c.mu.Lock()
	if _, ok := c.chunks[id]; ok {
		delete(c.chunks, id)
		close(ring)
	}
	c.mu.Unlock()
	<-delivered
	return err
}
