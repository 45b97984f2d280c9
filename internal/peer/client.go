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
	// maxPendingChunks bounds the chunks that wait for a slow reader of one call. When the buffer is full, this chunk
	// and all later ones are dropped, and the reader takes the rest from the result, which is always complete.
	maxPendingChunks = 1024
)

// Error codes of jsonrpc2 responses.
const (
	codeBusy     = -32001
	codeInternal = -32603
)

// ErrNotSent is wrapped by errors of calls that did not reach the peer.
var ErrNotSent = errors.New("not sent")

// Address is the address at which an instance listens for peers.
type Address struct {
	Instance ids.InstanceID
	HostPort string
}

// Client sends requests to peers. It keeps one connection to each peer and dials when it is first used. It is safe for
// concurrent use.
type Client struct {
	credentials Credentials
	mu          sync.Mutex
	conns       map[Address]*clientConn
	lastID      atomic.Int64
	closed      bool
	traffic     traffic.Counter
}

// New returns a client. The returned cleanup closes all connections.
func New(c Credentials) (p *Client, cleanup func()) {
	p = &Client{credentials: c, conns: map[Address]*clientConn{}}
	return p, p.close
}

// Call sends a request and waits for its result. If onChunk is not nil, it is called in order with the chunks that
// arrive before the result. An error that wraps ErrNotSent means that the peer has not seen the request; after any
// other error the peer may have seen it.
func (p *Client) Call(ctx context.Context, to Address, m Method, params, result any, onChunk func(json.RawMessage)) (err error) {
	defer func() { err = oops.In("peer").With("method", m, "peer", to.Instance).Wrapf(err, "call a peer") }()
	conn, err := p.conn(ctx, to)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	id := strconv.FormatInt(p.lastID.Add(1), 10)
	if onChunk == nil {
		return conn.rpc.Call(ctx, string(m), params, result, jsonrpc2.PickID(jsonrpc2.ID{Str: id, IsString: true}))
	}
	return conn.callChunks(ctx, id, m, params, result, onChunk)
}

// conn returns the connection to a peer, and dials if there is none. It blocks until dialing has ended.
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

// connect dials a peer and does the TLS handshake. The traffic counter counts the encrypted bytes.
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

// Traffic returns the counter of the bytes sent to and received from peers on the connections that this client dialed.
func (p *Client) Traffic() *traffic.Counter { return &p.traffic }

func (p *Client) forget(c *clientConn, to Address) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[to] == c {
		delete(p.conns, to)
	}
}

// Drop closes the connection to a peer that does not answer, so that its calls end and the next call dials again. It
// closes in the background, because a connection can be closed only after its dialing has ended, and because the peer
// may not read the TLS closing message.
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

// clientConn is the connection to one peer.
type clientConn struct {
	// ready is closed when dialing has ended; err and rpc are set before.
	ready chan struct{}
	err   error
	rpc   *jsonrpc2.Conn
	mu    sync.Mutex
	// chunks holds the buffer of each call that receives chunks, by the id of its request.
	chunks map[string]chan json.RawMessage
}

func (c *clientConn) close() {
	<-c.ready
	if c.rpc != nil {
		_ = c.rpc.Close()
	}
}

// Handle implements jsonrpc2.Handler. It receives the chunks of answers; jsonrpc2 calls it in the order of arrival.
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
	buffer, ok := c.chunks[m.Call]
	if !ok {
		return
	}
	select {
	case buffer <- m.Data:
	default:
		// The buffer is full. No later chunk may follow the gap.
		close(buffer)
		delete(c.chunks, m.Call)
	}
}

// callChunks sends a request and passes the chunks of its answer to onChunk. It returns when all of them are passed.
func (c *clientConn) callChunks(ctx context.Context, id string, m Method, params, result any, onChunk func(json.RawMessage)) error {
	buffer := make(chan json.RawMessage, maxPendingChunks)
	c.mu.Lock()
	c.chunks[id] = buffer
	c.mu.Unlock()
	delivered := make(chan struct{})
	go func() {
		defer close(delivered)
		for data := range buffer {
			onChunk(data)
		}
	}()
	err := c.rpc.Call(ctx, string(m), params, result, jsonrpc2.PickID(jsonrpc2.ID{Str: id, IsString: true}))
	c.mu.Lock()
	if _, ok := c.chunks[id]; ok {
		delete(c.chunks, id)
		close(buffer)
	}
	c.mu.Unlock()
	<-delivered
	return err
}
