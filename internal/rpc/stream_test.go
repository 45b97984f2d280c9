package rpc_test

import (
	"context"
	"errors"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against calls that outlast their deadlines because the other instance does not read, and against goroutines and
// connections of such calls that accumulate.
func TestPeerThatDoesNotRead(t *testing.T) {
	c := qt.New(t)
	l := listen(c) // the kernel opens the connections that nobody accepts
	client := newClient(c)
	call := func(params any) error {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		done := make(chan error, 1)
		go func() { done <- client.Call(ctx, l.Addr().String(), "m", params, nil) }()
		select {
		case err := <-done:
			return err
		case <-time.After(2 * time.Second):
			return errors.New("the call has outlasted its deadline by 2 s")
		}
	}
	large := strings.Repeat("x", 9<<20)
	c.Assert(call(large), qt.ErrorIs, context.DeadlineExceeded)
	c.Assert(call(0), qt.ErrorIs, context.DeadlineExceeded)
	before := runtime.NumGoroutine()
	for range 20 {
		c.Assert(call(0), qt.IsNotNil)
	}
	c.Assert(runtime.NumGoroutine() < before+10, qt.IsTrue, qt.Commentf("%d goroutines, %d before", runtime.NumGoroutine(), before))
}
