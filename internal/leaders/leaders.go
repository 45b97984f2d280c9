// Package leaders calls the instance that leads a partition of the log. The leader collects what all instances write to its
// partition, so that many records need one call to the log. Leaders only save calls: writes must be right with two leaders of
// a partition, and without one.
package leaders

import (
	"context"
	"errors"
	"maps"
	"math"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/rpc"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/leader"
)

const (
	// maxLeaders is the number of instances that are tried for one call before this instance acts itself.
	maxLeaders = 2
	// aliveInterval is how often a leader that has not answered a call is asked whether it is alive, and aliveTimeout how long
	// it has for that answer. A slow log delays answers to calls, which is no sign that the leader is gone.
	aliveInterval = 200 * time.Millisecond
	aliveTimeout  = 100 * time.Millisecond
	// failedPause is how long an instance is not called after it did not answer.
	failedPause = 2 * time.Second
	// discoveryPause is the time between two looks whether the other instances are known.
	discoveryPause = 10 * time.Millisecond
)

// methodAlive is the name of the method that is answered at once.
const methodAlive = "alive"

// Member is an instance that may lead partitions.
type Member struct {
	leader.Candidate
	Address string
	Zone    ids.Zone
}

// Config holds a client's dependencies.
type Config struct {
	Self ids.InstanceID
	Zone ids.Zone
	// Members returns the instances that may lead partitions, this one included.
	Members func() []Member
	// Discovered reports whether Members returns more than this instance if there are more; nil if it always does.
	Discovered func() bool
	Caller     Caller
	Now        func() time.Time
	Logger     *zap.Logger
}

// Caller calls methods of other instances.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Client calls the leaders of partitions. It is safe for concurrent use.
type Client struct {
	Config
	mu     sync.Mutex
	failed map[ids.InstanceID]time.Time // instances that did not answer, and when
	orders map[partlog.Partition]order
}

// New returns a client that takes all members to be reachable.
func New(c Config) *Client {
	return &Client{Config: c, failed: make(map[ids.InstanceID]time.Time), orders: make(map[partlog.Partition]order)}
}

// Methods returns the methods that other instances call.
func (c *Client) Methods() map[string]rpc.Method {
	return map[string]rpc.Method{
		methodAlive: rpc.Typed(func(context.Context, struct{}) (any, error) { return struct{}{}, nil }),
	}
}

// errNotDiscovered is the error of calls that ended before this instance knew the others.
var errNotDiscovered = errors.Join(partlog.ErrNotApplied, errors.New("the instances that lead are not known yet"))

// awaitMembers blocks until the other instances are known. An instance that knows only itself would do the work of all
// leaders, and after a start of all, each of them would.
func (c *Client) awaitMembers(ctx context.Context) error {
	for !c.discovered() {
		select {
		case <-time.After(discoveryPause):
		case <-ctx.Done():
			return errors.Join(errNotDiscovered, context.Cause(ctx))
		}
	}
	return nil
}

func (c *Client) discovered() bool { return c.Discovered == nil || c.Discovered() }

// Do calls a method of a partition's leader. If that is this instance, or no leader answers, it calls local instead.
// unanswered reports whether the method was sent to a leader that did not answer, where it may have taken effect, whatever the
// error is. Until the other instances are known, it waits for them.
func (c *Client) Do(ctx context.Context, p partlog.Partition, method string, params, result any, local func() error) (unanswered bool, err error) {
	if err := c.awaitMembers(ctx); err != nil {
		return false, err
	}
	tried := 0
	for _, m := range c.leaders(p) {
		if m.Instance == c.Self || tried == maxLeaders {
			break
		}
		if c.paused(m.Instance) {
			continue
		}
		tried++
		err := c.call(ctx, m, method, params, result)
		var answered *jsonrpc2.Error
		if err == nil || errors.As(err, &answered) {
			return unanswered, err
		}
		unanswered = unanswered || !errors.Is(err, rpc.ErrUnreachable)
		if ctx.Err() != nil {
			return unanswered, err
		}
		c.recordFailure(m, p, err)
	}
	return unanswered, local()
}

// Rank returns the place of this instance in the order for a partition, from 0 for the leader. Until the other instances are
// known, it is behind all of them.
func (c *Client) Rank(p partlog.Partition) int {
	if !c.discovered() {
		return math.MaxInt
	}
	for i, m := range c.leaders(p) {
		if m.Instance == c.Self {
			return i
		}
	}
	return len(c.Members())
}

// Near returns the partitions whose leader is in the zone of this instance.
func (c *Client) Near(partitions []partlog.Partition) (near []partlog.Partition) {
	for _, p := range partitions {
		if l := c.leaders(p); len(l) > 0 && l[0].Zone == c.Zone {
			near = append(near, p)
		}
	}
	return near
}

// watch asks a member now and every aliveInterval whether it is alive, until the context ends. If the member does not answer, it
// cancels the context.
func (c *Client) watch(ctx context.Context, m Member, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(aliveInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		aliveCtx, stop := context.WithTimeout(ctx, aliveTimeout)
		err := c.Caller.Call(aliveCtx, m.Address, methodAlive, struct{}{}, &struct{}{})
		stop()
		if err != nil {
			cancel(err)
			return
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// call calls a method of a member. The call ends early if the member does not answer that it is alive.
func (c *Client) call(ctx context.Context, m Member, method string, params, result any) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	alive := time.AfterFunc(aliveInterval, func() { c.watch(ctx, m, cancel) })
	defer alive.Stop()
	return c.Caller.Call(ctx, m.Address, method, params, result)
}

// paused reports whether a member is not called because it did not answer recently.
func (c *Client) paused(id ids.InstanceID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.failed[id]
	return ok && c.Now().Sub(at) < failedPause
}

// recordFailure records and logs that a member did not answer a call, so that it is not called for failedPause.
func (c *Client) recordFailure(m Member, p partlog.Partition, err error) {
	c.mu.Lock()
	now := c.Now()
	maps.DeleteFunc(c.failed, func(_ ids.InstanceID, at time.Time) bool { return now.Sub(at) >= failedPause })
	c.failed[m.Instance] = now
	c.mu.Unlock()
	events.Log(c.Logger, events.LeaderFailed, zap.String("stream", p.Topic), zap.Int("part", p.Part),
		zap.String("leader", string(m.Instance)), zap.Error(err))
}
