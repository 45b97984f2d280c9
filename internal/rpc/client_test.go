package rpc_test

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/internal/rpc"
)

// Guards against a call whose caller has gone that breaks all other calls to the same instance.
func TestCancelledCallLeavesOthersInProgress(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	l := serve(c, release)
	client := newClient(c)
	other := make(chan error, 1)
	go func() { other <- client.Call(context.Background(), l.Addr().String(), "wait", struct{}{}, nil) }()
	eventually(c, func() bool { return l.accepted.Load() == 1 })
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	c.Assert(client.Call(ctx, l.Addr().String(), "wait", struct{}{}, nil), qt.ErrorIs, context.Canceled)
	time.Sleep(50 * time.Millisecond)
	close(release)
	c.Assert(<-other, qt.IsNil)
	c.Assert(client.Call(context.Background(), l.Addr().String(), "add", 1, nil), qt.IsNil)
	c.Assert(l.accepted.Load(), qt.Equals, int64(1))
}

// Guards against a connection that has gone silent and that new calls use all the same, and against other calls that end with
// the first one whose deadline passes.
func TestSilentConnectionIsRetired(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	l := serve(c, release)
	client := newClient(c)
	other := make(chan error, 1)
	go func() { other <- client.Call(context.Background(), l.Addr().String(), "wait", struct{}{}, nil) }()
	eventually(c, func() bool { return l.accepted.Load() == 1 })
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	c.Assert(client.Call(ctx, l.Addr().String(), "wait", struct{}{}, nil), qt.ErrorIs, context.DeadlineExceeded)
	c.Assert(client.Call(context.Background(), l.Addr().String(), "add", 1, nil), qt.IsNil)
	c.Assert(l.accepted.Load(), qt.Equals, int64(2))
	close(release)
	c.Assert(<-other, qt.IsNil)
	eventually(c, func() bool { return l.open.Load() == 1 })
}

// Guards against new connections for each call whose deadline passes although the other instance answers other calls.
func TestSlowMethodKeepsConnection(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	defer close(release)
	l := serve(c, release)
	client := newClient(c)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	time.AfterFunc(50*time.Millisecond, func() { _ = client.Call(context.Background(), l.Addr().String(), "add", 1, nil) })
	c.Assert(client.Call(ctx, l.Addr().String(), "wait", struct{}{}, nil), qt.ErrorIs, context.DeadlineExceeded)
	c.Assert(client.Call(context.Background(), l.Addr().String(), "add", 1, nil), qt.IsNil)
	c.Assert(l.accepted.Load(), qt.Equals, int64(1))
}

// Guards against a second connection that is opened for a call at the same time, and never closed.
func TestCallsAtOnceShareConnection(t *testing.T) {
	c := qt.New(t)
	l := serve(c, nil)
	client, cleanup := rpc.NewClient()
	var calls sync.WaitGroup
	for range 20 {
		calls.Go(func() { _ = client.Call(context.Background(), l.Addr().String(), "add", 1, nil) })
	}
	calls.Wait()
	c.Check(l.accepted.Load(), qt.Equals, int64(1))
	cleanup()
	eventually(c, func() bool { return l.open.Load() == 0 })
}
