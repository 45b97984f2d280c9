// Package traffic counts the bytes that connections carry, so that the cost of control can be observed.
package traffic

import (
	"net"
	"sync/atomic"
)

// Counter counts the bytes of any number of connections. The zero value is ready; methods may be called concurrently.
type Counter struct {
	sent, received atomic.Int64
}

// Sent returns the bytes written so far. Those of TCP, IP and below are not included.
func (c *Counter) Sent() int64 { return c.sent.Load() }

// Received returns the bytes read so far.
func (c *Counter) Received() int64 { return c.received.Load() }

// Conn returns a connection whose bytes are counted. Under TLS it must wrap the connection that TLS writes to.
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
