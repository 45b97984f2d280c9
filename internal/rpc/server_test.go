package rpc_test

import (
	"context"
	"errors"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/comfreylink/comfreylink/internal/frame"
	"github.com/comfreylink/comfreylink/internal/rpc"
)

// Guards against a caller that waits until its deadline for a result that is too large to be sent.
func TestResultTooLarge(t *testing.T) {
	c := qt.New(t)
	l := serve(c, nil)
	client := newClient(c)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var answered *jsonrpc2.Error
	c.Assert(errors.As(client.Call(ctx, l.Addr().String(), "large", 16<<20, nil), &answered), qt.IsTrue)
	c.Assert(client.Call(ctx, l.Addr().String(), "add", 1, nil), qt.IsNil)
}

// Guards against calls that are cut off when the instance that works on them stops, and against a stop that waits for one that
// does not end.
func TestStopFinishesCalls(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	l := listen(c)
	server := rpc.NewServer(func(error) {}, map[string]rpc.Method{
		"wait": rpc.Typed(func(_ context.Context, d time.Duration) (any, error) {
			select {
			case <-release:
			case <-time.After(d):
			}
			return strings.Repeat("x", 64<<10), nil
		}),
	})
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	client := newClient(c)
	call := func(d time.Duration) chan error {
		ended := make(chan error, 1)
		go func() { ended <- client.Call(context.Background(), l.Addr().String(), "wait", d, nil) }()
		return ended
	}
	short, long := call(120*time.Millisecond), call(time.Minute)
	time.Sleep(100 * time.Millisecond)
	c.Assert(l.Close(), qt.IsNil)
	select {
	case err := <-served:
		c.Check(err, qt.IsNil)
	case <-time.After(time.Second):
		c.Error("the server has not stopped within 1 s")
	}
	c.Check(<-short, qt.IsNil)
	c.Check(<-long, qt.IsNotNil)
	close(release)
}

// Guards against calls of one instance without number that this one works on at once.
func TestTooManyCallsAreRefused(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	defer close(release)
	l := serve(c, release)
	client := newClient(c)
	results := make(chan error, 5000)
	for range cap(results) {
		go func() { results <- client.Call(context.Background(), l.Addr().String(), "wait", struct{}{}, nil) }()
	}
	select {
	case err := <-results:
		c.Assert(err, qt.ErrorIs, rpc.ErrUnreachable)
	case <-time.After(2 * time.Second):
		c.Fatal("no call is refused")
	}
}

// Guards against responses that accumulate for a caller that does not read.
func TestCallerThatDoesNotRead(t *testing.T) {
	c := qt.New(t)
	l := serve(c, nil)
	before := runtime.NumGoroutine()
	conn, err := net.Dial("tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	for id := range 30 {
		message, err := frame.Encode(map[string]any{"jsonrpc": "2.0", "id": id + 1, "method": "large", "params": 1 << 20})
		c.Assert(err, qt.IsNil)
		_, err = conn.Write(message)
		c.Assert(err, qt.IsNil)
	}
	eventually(c, func() bool { return l.open.Load() == 0 && runtime.NumGoroutine() <= before+1 })
}

// Guards against work for calls whose deadlines have passed, which holds up that for others.
func TestMethodEndsAtDeadlineOfItsCall(t *testing.T) {
	c := qt.New(t)
	l := listen(c)
	ended := make(chan error, 1)
	server := rpc.NewServer(func(error) {}, map[string]rpc.Method{
		"work": rpc.Typed(func(ctx context.Context, _ struct{}) (any, error) {
			select {
			case <-ctx.Done():
			case <-time.After(2 * time.Second):
			}
			ended <- ctx.Err()
			return nil, ctx.Err()
		}),
		"wait": rpc.Typed(func(context.Context, struct{}) (any, error) {
			time.Sleep(3 * time.Second)
			return struct{}{}, nil
		}),
	})
	go func() { _ = server.Serve(l) }()
	client := newClient(c)
	go func() { _ = client.Call(context.Background(), l.Addr().String(), "wait", struct{}{}, nil) }()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	c.Assert(client.Call(ctx, l.Addr().String(), "work", struct{}{}, nil), qt.IsNotNil)
	c.Assert(<-ended, qt.ErrorIs, context.DeadlineExceeded)
}
