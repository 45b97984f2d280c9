package httpwiretest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// Reply is what a target sends for a request. Afterwards it closes the connection, unless Keep is true, or resets it.
type Reply struct {
	Raw         string
	Keep, Reset bool
	// Bytewise sends each byte by itself.
	Bytewise bool
	// HalfClose ends the answer in order, and the connection only later, which is then reset if Reset is true.
	HalfClose bool
}

// halfClosedTime is the time between the ends of the two directions of a half-closed connection.
const halfClosedTime = 50 * time.Millisecond

// earlyBufferBytes is the receive buffer of a target that answers early, so that it takes little of a request's body.
const earlyBufferBytes = 4 << 10

// Target is a target that sends prepared bytes.
type Target struct {
	listener net.Listener
	replies  chan Reply
	early    bool
}

// NewTarget starts a target; cleanup stops it.
func NewTarget() (t *Target, cleanup func(), err error) { return newTarget(false) }

// NewEarlyTarget starts a target that replies as soon as it has read the head of a request, and reads nothing of its body.
func NewEarlyTarget() (t *Target, cleanup func(), err error) { return newTarget(true) }

func newTarget(early bool) (t *Target, cleanup func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	t = &Target{listener: l, replies: make(chan Reply, 8), early: early}
	go t.serve()
	return t, func() { _ = l.Close() }, nil
}

// Address returns the target's host and port.
func (t *Target) Address() string { return t.listener.Addr().String() }

// Enqueue sets the reply to the next request without one.
func (t *Target) Enqueue(r Reply) { t.replies <- r }

func (t *Target) serve() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return
		}
		go t.serveConn(conn)
	}
}

func (t *Target) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if t.early {
		_ = conn.(*net.TCPConn).SetReadBuffer(earlyBufferBytes)
	}
	br := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if !t.early {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		r := <-t.replies
		if r.Bytewise {
			for i := range len(r.Raw) {
				_, _ = io.WriteString(conn, r.Raw[i:i+1])
			}
		} else {
			_, _ = io.WriteString(conn, r.Raw)
		}
		if r.HalfClose {
			_ = conn.(*net.TCPConn).CloseWrite()
			time.Sleep(halfClosedTime)
		}
		if r.Reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		if !r.Keep {
			return
		}
	}
}
