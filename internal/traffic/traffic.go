// Package traffic counts the bytes that connections carry, so that the network traffic of control messages can be
// observed.
package traffic

import (
	"net"
	"sync/atomic"
)

// Counter counts the bytes of any number of connections. The zero value is ready; methods may be called concurrently.
type Counter struct {
	sent, received atomic.Int64
}

// Sent returns the number of bytes written so far, without the headers of TCP and the layers below.
func (c *Counter) Sent() int64 { return c.sent.Load() }

// Received returns the number of bytes read so far, without the headers of TCP and the layers below.
func (c *Counter) Received() int64 { return c.received.Load() }

// Conn wraps a connection and counts its bytes. With TLS, it must wrap the underlying connection, so that the bytes on the
// network are counted.
func (c *Counter) Conn(n net.Conn) net.Conn { return conn{n, c} }

type conn struct {
	net.Conn
	counter *Counter
}

// Read implements io.Reader.
func (c conn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	c.counter.received.Add(int64(n))
	return n, err
}

// Write implements io.Writer.
func (c conn) Write(p []byte) (n int, err error) {
	n, err = c.Conn.Write(p)
	c.counter.sent.Add(int64(n))
	return n, err
}
