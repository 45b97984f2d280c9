package rpc_test

import (
	"context"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/internal/rpc"
)

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
