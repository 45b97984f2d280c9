package httpwiretest

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// Reply is what a target sends for a request. Afterwards it closes the connection, unless Keep is true, or resets it.
type Reply struct {
	Raw         string
	Keep, Reset bool
	// Bytewise sends each byte by itself.
	Bytewise bool
}

// Target is a target that sends prepared bytes.
type Target struct {
	listener net.Listener
	replies  chan Reply
}

// NewTarget starts a target; cleanup stops it.
func NewTarget() (t *Target, cleanup func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	t = &Target{listener: l, replies: make(chan Reply, 8)}
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
	br := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		r := <-t.replies
		if r.Bytewise {
			for i := range len(r.Raw) {
				_, _ = io.WriteString(conn, r.Raw[i:i+1])
			}
		} else {
			_, _ = io.WriteString(conn, r.Raw)
		}
		if r.Reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		if !r.Keep {
			return
		}
	}
}
