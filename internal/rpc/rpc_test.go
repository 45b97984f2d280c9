package rpc_test

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/internal/rpc"
)

// countingListener counts the connections that it accepts and those of them that are open.
type countingListener struct {
	net.Listener
	accepted, open atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted.Add(1)
	l.open.Add(1)
	return &countedConn{Conn: conn, closed: sync.OnceFunc(func() { l.open.Add(-1) })}, nil
}

type countedConn struct {
	net.Conn
	closed func()
}

func (c *countedConn) Close() error {
	c.closed()
	return c.Conn.Close()
}

func listen(c *qt.C) *countingListener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	return &countingListener{Listener: l}
}

// serve serves calls until the test ends. The method "wait" ends when release is closed.
func serve(c *qt.C, release <-chan struct{}) *countingListener {
	l := listen(c)
	server := rpc.NewServer(func(error) {}, map[string]rpc.Method{
		"add": rpc.Typed(func(_ context.Context, n int) (any, error) { return n + 1, nil }),
		"wait": rpc.Typed(func(context.Context, struct{}) (any, error) {
			<-release
			return struct{}{}, nil
		}),
		"large": rpc.Typed(func(_ context.Context, bytes int) (any, error) { return strings.Repeat("x", bytes), nil }),
	})
	go func() { _ = server.Serve(l) }()
	return l
}

func newClient(c *qt.C) *rpc.Client {
	client, cleanup := rpc.NewClient()
	c.Cleanup(cleanup)
	return client
}

func eventually(c *qt.C, ok func() bool) {
	c.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	c.Fatal("the condition did not become true within 5 s")
}

// Guards against a call of another instance that ends the process because its method panics.
func TestPanicEndsOnlyItsCall(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	reported := make(chan error, 1)
	served := make(chan error, 1)
	server := rpc.NewServer(func(err error) { reported <- err }, map[string]rpc.Method{
		"panic": rpc.Typed(func(context.Context, struct{}) (any, error) { panic("a fault in the method") }),
		"add":   rpc.Typed(func(_ context.Context, n int) (any, error) { return n + 1, nil }),
	})
	go func() { served <- server.Serve(l) }()
	client, cleanup := rpc.NewClient()
	defer cleanup()
	address := l.Addr().String()
	c.Assert(client.Call(context.Background(), address, "panic", struct{}{}, nil), qt.IsNotNil)
	c.Assert(<-reported, qt.ErrorMatches, "(?s)panic in panic: a fault in the method.*")
	var sum int
	c.Assert(client.Call(context.Background(), address, "add", 1, &sum), qt.IsNil)
	c.Assert(sum, qt.Equals, 2)
	c.Assert(l.Close(), qt.IsNil)
	c.Assert(<-served, qt.IsNil)
}
