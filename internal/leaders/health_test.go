package leaders_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// firstCalls fails the first call of each method and answers the others.
func firstCalls(fail func(ctx context.Context, method string) error) func(context.Context, string) error {
	var mu sync.Mutex
	called := make(map[string]bool)
	return func(ctx context.Context, method string) error {
		mu.Lock()
		first := !called[method]
		called[method] = true
		mu.Unlock()
		if first {
			return fail(ctx, method)
		}
		return nil
	}
}

// Guards against a leader that is not called for 2 s because one call failed, or the scheduler or a silent connection held one
// question back, although it is alive.
func TestOneFailedCallDoesNotPauseLeader(t *testing.T) {
	for name, fail := range map[string]func(context.Context, string) error{
		"silent connection": silent,
		"closed connection": func(_ context.Context, method string) error {
			if method == "m" {
				return errors.New("connection closed")
			}
			return nil
		},
		"late answer": func(ctx context.Context, method string) error {
			if method == "m" {
				return slow(ctx, method)
			}
			return silent(ctx, method)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				p := &peers{calls: make(map[string]int), answer: map[string]func(context.Context, string) error{"a": firstCalls(fail)}}
				r := newClient(p)
				began := time.Now()
				for range 3 {
					_, err := r.Do(context.Background(), part, "m", nil, nil, nil)
					c.Assert(err, qt.IsNil)
				}
				c.Assert(time.Since(began) < 400*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
				c.Assert(p.calls, qt.DeepEquals, map[string]int{"a": 4}) // the first call was made twice
			})
		})
	}
}

// Guards against a leader without power that holds a caller up again each time that its pause has passed, and against one that
// is not called again after it is back.
func TestSilentLeaderHoldsCallersUpOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := &peers{calls: make(map[string]int), answer: map[string]func(context.Context, string) error{"a": silent}}
		r := newClient(p)
		var waited time.Duration
		for range 100 {
			began := time.Now()
			_, err := r.Do(context.Background(), part, "m", nil, nil, nil)
			c.Assert(err, qt.IsNil)
			waited += time.Since(began)
			time.Sleep(100 * time.Millisecond)
		}
		c.Check(waited < 500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", waited))
		c.Check(p.calls["a"], qt.Equals, 1)
		p.mu.Lock()
		delete(p.answer, "a")
		p.mu.Unlock()
		time.Sleep(3 * time.Second)
		for range 2 {
			_, err := r.Do(context.Background(), part, "m", nil, nil, nil)
			c.Assert(err, qt.IsNil)
			synctest.Wait()
		}
		c.Check(p.calls["a"], qt.Equals, 2)
	})
}

// query is the parameters of a method that changes nothing.
type query struct{}

func (query) ChangesNothing() bool { return true }

// Guards against a query that waits for a slow leader although the next one has the answer, and against one that asks all.
func TestQueryOfSlowLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := &peers{calls: make(map[string]int), answer: map[string]func(context.Context, string) error{"a": slow}}
		r := newClient(p)
		began := time.Now()
		_, err := r.Do(context.Background(), part, "m", query{}, nil, nil)
		c.Assert(err, qt.IsNil)
		c.Check(time.Since(began) < 200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
		time.Sleep(time.Second)
		c.Check(p.calls, qt.DeepEquals, map[string]int{"a": 1, "b": 1})

		p = &peers{calls: make(map[string]int), answer: map[string]func(context.Context, string) error{"a": slow, "b": slow}}
		_, err = newClient(p).Do(context.Background(), part, "m", query{}, nil, nil)
		c.Assert(err, qt.IsNil)
		time.Sleep(time.Second)
		c.Check(p.calls, qt.DeepEquals, map[string]int{"a": 1, "b": 1})

		p = &peers{calls: make(map[string]int), answer: map[string]func(context.Context, string) error{"a": dead, "b": dead, "c": dead}}
		local := 0
		_, err = newClient(p).Do(context.Background(), part, "m", query{}, nil, func() error { local++; return nil })
		c.Assert(err, qt.IsNil)
		c.Check(local, qt.Equals, 1)
	})
}
