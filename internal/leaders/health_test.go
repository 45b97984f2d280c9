package leaders_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a healthy leader that is given up because the scheduler held one question back, here or there: its callers
// then called others for 2 s, and those in progress had an unknown outcome.
func TestOneLateAnswerIsNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		questions := 0
		p := &peers{calls: make(map[string]int), answer: map[string]func(context.Context, string) error{
			"a": func(ctx context.Context, method string) error {
				if method == "m" {
					return slow(ctx, method)
				}
				if questions++; questions == 1 {
					return silent(ctx, method)
				}
				return nil
			},
		}}
		unanswered, err := newClient(p).Do(context.Background(), part, "m", nil, nil, nil)
		c.Assert(err, qt.IsNil)
		c.Assert(unanswered, qt.IsFalse)
		c.Assert(p.calls, qt.DeepEquals, map[string]int{"a": 1})
	})
}

// Guards against a leader that is not called for 2 s because one call failed, although it answers others.
func TestOneFailedCallDoesNotPauseLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		calls := 0
		p := &peers{calls: make(map[string]int), answer: map[string]func(context.Context, string) error{
			"a": func(context.Context, string) error {
				if calls++; calls == 1 {
					time.Sleep(10 * time.Millisecond)
					return errors.New("connection closed")
				}
				return nil
			},
		}}
		r := newClient(p)
		failed := make(chan error)
		go func() {
			_, err := r.Do(context.Background(), part, "m", nil, nil, nil)
			failed <- err
		}()
		synctest.Wait()
		time.Sleep(5 * time.Millisecond)
		for range 3 {
			_, err := r.Do(context.Background(), part, "m", nil, nil, nil)
			c.Assert(err, qt.IsNil)
		}
		c.Assert(<-failed, qt.IsNil)
		_, err := r.Do(context.Background(), part, "m", nil, nil, nil)
		c.Assert(err, qt.IsNil)
		c.Assert(p.calls, qt.DeepEquals, map[string]int{"a": 5, "b": 1})
	})
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
