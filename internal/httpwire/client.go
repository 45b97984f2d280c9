package httpwire

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

const (
	// answerBufferBytes is the size of the read buffer, which also limits the size of an answer's head.
	answerBufferBytes = 8 << 10
	// defaultIdleTimeout is how long an idle connection is kept if the server sends no timeout.
	defaultIdleTimeout = 10 * time.Second
	// idleMargin is how long before the end of the server's own idle timeout a connection is no longer used.
	idleMargin = time.Second
	// maxIdlePerAddress bounds the idle connections to one address.
	maxIdlePerAddress = 16
)

// ClientOptions are the settings of a client.
type ClientOptions struct {
	// ConnectTimeout bounds the time to open a connection.
	ConnectTimeout time.Duration
	// SilenceTimeout bounds how long sent bytes may stay unacknowledged. A peer can become unreachable without a reset.
	SilenceTimeout time.Duration
}

// Client opens connections to servers and keeps idle ones. It is safe for concurrent use.
type Client struct {
	opt    ClientOptions
	dialer net.Dialer

	mu   sync.Mutex
	idle map[string][]*Conn
}

// NewClient returns a client; cleanup closes its idle connections.
func NewClient(o ClientOptions) (c *Client, cleanup func()) {
	c = &Client{opt: o, idle: make(map[string][]*Conn)}
	c.dialer = net.Dialer{Timeout: o.ConnectTimeout, Control: c.setUserTimeout, KeepAlive: -1}
	return c, c.closeIdle
}

// setUserTimeout makes the kernel close a connection on which sent bytes stay unacknowledged for SilenceTimeout.
func (c *Client) setUserTimeout(_, _ string, raw syscall.RawConn) (err error) {
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(c.opt.SilenceTimeout.Milliseconds()))
	})
	return errors.Join(controlErr, err)
}

// Conn is a connection to a server that carries one exchange at a time.
type Conn struct {
	client  *Client
	conn    net.Conn
	br      *bufio.Reader
	address string
	// usableUntil is when the connection, if idle, may no longer be reused.
	usableUntil time.Time
	idleSince   time.Time
	// Reused is true if the connection has already carried an exchange.
	Reused bool
	// head is true if the last request was a HEAD request.
	head bool
	// writeErr is the error of writing the last request.
	writeErr error
}

// Get returns a connection to an address. It reuses an idle connection that has been idle for no longer than maxIdle, or
// else opens a new one.
func (c *Client) Get(ctx context.Context, address string, now time.Time, maxIdle time.Duration) (conn *Conn, err error) {
	for {
		conn = c.takeIdle(address)
		if conn == nil {
			break
		}
		if now.Before(conn.usableUntil) && now.Sub(conn.idleSince) <= maxIdle && conn.idleAndOpen() {
			return conn, nil
		}
		conn.Close()
	}
	nc, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &Conn{client: c, conn: nc, br: bufio.NewReaderSize(nc, answerBufferBytes), address: address}, nil
}

func (c *Client) takeIdle(address string) *Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.idle[address]
	if len(l) == 0 {
		return nil
	}
	last := l[len(l)-1]
	l[len(l)-1] = nil
	c.idle[address] = l[:len(l)-1]
	return last
}

// CloseIdleTo closes the idle connections to an address.
func (c *Client) CloseIdleTo(address string) {
	c.mu.Lock()
	l := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, conn := range l {
		conn.Close()
	}
}

func (c *Client) closeIdle() {
	c.mu.Lock()
	addresses := make([]string, 0, len(c.idle))
	for a := range c.idle {
		addresses = append(addresses, a)
	}
	c.mu.Unlock()
	for _, a := range addresses {
		c.CloseIdleTo(a)
	}
}

// CloseStale closes the idle connections that may no longer be reused.
func (c *Client) CloseStale(now time.Time) {
	var stale []*Conn
	c.mu.Lock()
	for a, l := range c.idle {
		kept := l[:0]
		for _, conn := range l {
			if now.Before(conn.usableUntil) {
				kept = append(kept, conn)
			} else {
				stale = append(stale, conn)
			}
		}
		clear(l[len(kept):])
		c.idle[a] = kept
		if len(kept) == 0 {
			delete(c.idle, a)
		}
	}
	c.mu.Unlock()
	for _, conn := range stale {
		conn.Close()
	}
}

// Close closes the connection. An exchange in progress fails.
func (c *Conn) Close() { _ = c.conn.Close() }

// SetDeadline sets the time of the system's clock by which the whole exchange must have ended.
func (c *Conn) SetDeadline(t time.Time) error { return c.conn.SetDeadline(t) }

// idleAndOpen reports whether the connection is open and holds no unread bytes. Unread bytes could be a late answer to an
// earlier request.
func (c *Conn) idleAndOpen() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	return IdleAndOpen(c.conn)
}

// IdleAndOpen reports whether a connection that carries no exchange is open and holds no unread bytes.
func IdleAndOpen(conn net.Conn) bool {
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

// Write sends a whole request. If it fails after the first byte, the server may nevertheless have received all of it, and may
// have answered before that.
func (c *Conn) Write(b []byte) error {
	c.head = bytes.HasPrefix(b, []byte("HEAD "))
	_, c.writeErr = c.conn.Write(b)
	return c.writeErr
}

// ReadHead reads the head of the answer to the request that was written last, as ReadAnswer does, also if the write failed.
func (c *Conn) ReadHead(h *fasthttp.ResponseHeader) (body io.Reader, err error) {
	return ReadAnswer(c.br, h, c.head, func() error { return Received(c.conn, c.writeErr) })
}

// errNotReceived is the error of a request of which a part has not arrived at the peer.
var errNotReceived = errors.New("the peer has not acknowledged all of it")

// Received returns an error unless a request was written without an error, writeErr, and the peer's system has acknowledged all
// of it. After a failed write, the end of a connection says nothing: the system reports a reset once, to the write, and the end
// of the connection to all later reads.
func Received(conn net.Conn, writeErr error) (receivedErr error) {
	if writeErr != nil {
		return writeErr
	}
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	err = raw.Control(func(fd uintptr) {
		// A system that cannot tell says nothing against the peer.
		if unacknowledged, ioctlErr := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); ioctlErr == nil && unacknowledged > 0 {
			receivedErr = errNotReceived
		}
	})
	return errors.Join(err, receivedErr)
}

// Release keeps the connection for another exchange, or closes it if its write failed, the answer does not allow reuse or enough
// connections are idle. Call it after the whole body has been read.
func (c *Conn) Release(h *fasthttp.ResponseHeader, now time.Time) {
	if c.writeErr != nil || h.ConnectionClose() || c.br.Buffered() > 0 || c.conn.SetDeadline(time.Time{}) != nil {
		c.Close()
		return
	}
	c.Reused, c.idleSince = true, now
	c.usableUntil = now.Add(idleTimeout(string(h.Peek("Keep-Alive"))))
	c.client.mu.Lock()
	l := c.client.idle[c.address]
	keep := len(l) < maxIdlePerAddress
	if keep {
		c.client.idle[c.address] = append(l, c)
	}
	c.client.mu.Unlock()
	if !keep {
		c.Close()
	}
}

// idleTimeout returns how long a connection may be idle, according to the value of a Keep-Alive header.
func idleTimeout(value string) time.Duration {
	for item := range strings.SplitSeq(value, ",") {
		seconds, ok := strings.CutPrefix(strings.TrimSpace(item), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(seconds); err == nil {
			return max(time.Duration(n)*time.Second-idleMargin, 0)
		}
	}
	return defaultIdleTimeout
}
