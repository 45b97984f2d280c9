package leaders_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/leaders"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/rpc"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/leader"
)

var part = partlog.Partition{Topic: "records"}

// peers is a Caller whose instances may be dead, slow or silent.
type peers struct {
	mu     sync.Mutex
	calls  map[string]int // by address, without the calls of alive
	answer map[string]func(ctx context.Context, method string) error
}

func (p *peers) Call(ctx context.Context, address, method string, _, _ any) error {
	p.mu.Lock()
	answer := p.answer[address]
	if method == "m" {
		p.calls[address]++
	}
	p.mu.Unlock()
	if answer == nil {
		return nil
	}
	return answer(ctx, method)
}

func dead(context.Context, string) error {
	return errors.Join(rpc.ErrUnreachable, errors.New("connection refused"))
}

func silent(ctx context.Context, _ string) error {
	<-ctx.Done()
	return context.Cause(ctx)
}

// slow takes 400 ms for a call, but is alive.
func slow(ctx context.Context, method string) error {
	if method != "m" {
		return nil
	}
	select {
	case <-time.After(400 * time.Millisecond):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// freezing is alive for 300 ms and then silent.
func freezing() func(ctx context.Context, method string) error {
	began := time.Now()
	return func(ctx context.Context, method string) error {
		if method != "m" && time.Since(began) < 300*time.Millisecond {
			return nil
		}
		return silent(ctx, method)
	}
}

// Guards against a leader that freezes after it has said that it is there, and then holds its callers until their deadline.
func TestLeaderFreezesDuringCall(t *testing.T) {
	c := qt.New(t)
	p := &peers{calls: make(map[string]int), answer: map[string]func(context.Context, string) error{"a": freezing()}}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, err := newClient(p).Do(ctx, part, "m", nil, nil, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(p.calls["b"], qt.Equals, 1)
}

func newClient(p *peers) *leaders.Client { return newClientOf(p, "a", "b", "c") }

// newClientOf returns a client of members that lead in the given order, itself last unless it is among them.
func newClientOf(p *peers, order ...ids.InstanceID) *leaders.Client {
	var members []leader.Member
	if !slices.Contains(order, "self") {
		members = append(members, leader.Member{Candidate: leader.Candidate{Instance: "self"}, Address: "self"})
	}
	weight := 1e9
	for _, id := range order {
		members = append(members, leader.Member{Candidate: leader.Candidate{Instance: id, Weight: weight}, Address: string(id)})
		weight /= 1e5 // so far apart that the order is certain
	}
	return leaders.New(leaders.Config{
		Self: "self", Members: func() []leader.Member { return members }, Caller: p, Now: time.Now, Logger: zap.NewNop(),
	})
}

// Guards against an instance that keeps calling a leader that is gone, or acts itself although the next one is there.
func TestNextLeader(t *testing.T) {
	c := qt.New(t)
	p := &peers{calls: make(map[string]int), answer: map[string]func(context.Context, string) error{"a": dead}}
	r := newClient(p)
	for range 5 {
		_, err := r.Do(context.Background(), part, "m", nil, nil, func() error { return errors.New("acted itself") })
		c.Assert(err, qt.IsNil)
	}
	c.Assert(p.calls, qt.DeepEquals, map[string]int{"a": 1, "b": 5})
	c.Assert(r.Rank(part), qt.Equals, 3)
}

// Guards against a write that fails because several leaders are gone, and against one that tries all instances in turn.
func TestWithoutLeaders(t *testing.T) {
	c := qt.New(t)
	p := &peers{calls: make(map[string]int), answer: map[string]func(context.Context, string) error{"a": dead, "b": dead, "c": dead, "d": dead}}
	local := 0
	unanswered, err := newClientOf(p, "a", "b", "c", "d", "e").Do(context.Background(), part, "m", nil, nil, func() error { local++; return nil })
	c.Assert(err, qt.IsNil)
	c.Assert(unanswered, qt.IsFalse)
	c.Assert(local, qt.Equals, 1)
	c.Assert(p.calls, qt.DeepEquals, map[string]int{"a": 1, "b": 1, "c": 1, "d": 1})
}

// Guards against all instances that act themselves, and for that read a whole partition each, because two of a hundred are gone.
func TestTwoLeadersGone(t *testing.T) {
	c := qt.New(t)
	p := &peers{calls: make(map[string]int), answer: map[string]func(context.Context, string) error{"a": dead, "b": dead}}
	_, err := newClient(p).Do(context.Background(), part, "m", nil, nil, func() error { return errors.New("acted itself") })
	c.Assert(err, qt.IsNil)
	c.Assert(p.calls["c"], qt.Equals, 1)
}

// Guards against a slow log that makes instances abandon a leader that waits for it, and against a leader without power
// whose callers wait until their deadline.
func TestSlowAndSilentLeaders(t *testing.T) {
	c := qt.New(t)
	p := &peers{calls: make(map[string]int), answer: map[string]func(context.Context, string) error{"a": slow}}
	unanswered, err := newClient(p).Do(context.Background(), part, "m", nil, nil, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(unanswered, qt.IsFalse)
	c.Assert(p.calls, qt.DeepEquals, map[string]int{"a": 1})

	p = &peers{calls: make(map[string]int), answer: map[string]func(context.Context, string) error{"a": silent}}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	began := time.Now()
	unanswered, err = newClient(p).Do(ctx, part, "m", nil, nil, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(unanswered, qt.IsTrue)
	c.Assert(time.Since(began) < time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
	c.Assert(p.calls["b"], qt.Equals, 1)
}

// Guards against a refusal of the leader that is taken for its silence, so that another instance is asked too.
func TestAnsweredErrorIsFinal(t *testing.T) {
	c := qt.New(t)
	p := &peers{calls: make(map[string]int), answer: map[string]func(context.Context, string) error{
		"a": func(context.Context, string) error { return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams} },
	}}
	_, err := newClient(p).Do(context.Background(), part, "m", nil, nil, nil)
	c.Assert(err, qt.IsNotNil)
	c.Assert(p.calls, qt.DeepEquals, map[string]int{"a": 1})
}

// Guards against an instance that orders all instances of a large fleet several times for each turn, which took a large part of
// the time of a small one, and against one that keeps calling a leader that is about to stop.
func TestOrderIsComputedSeldom(t *testing.T) {
	c := qt.New(t)
	now, asked, members := time.Unix(1, 0), 0, []leader.Member{{Candidate: leader.Candidate{Instance: "a", Weight: 1}, Zone: "z"}}
	r := leaders.New(leaders.Config{
		Self: "self", Zone: "z", Now: func() time.Time { return now },
		Members: func() []leader.Member { asked++; return members },
	})
	for range 50 {
		c.Assert(r.Near([]partlog.Partition{part}), qt.HasLen, 1)
	}
	c.Assert(asked, qt.Equals, 1)
	members, now = nil, now.Add(200*time.Millisecond)
	c.Assert(r.Near([]partlog.Partition{part}), qt.HasLen, 0)
}
