// Package leaders calls the instance that leads a partition of the log. The leader collects what all instances write to its
// partition, so that many records need one call to the log. Leaders only save calls: writes must be right with two leaders of
// a partition, and without one.
package leaders

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/rpc"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/leader"
)

// maxLeaders is the number of instances that are tried for one call before this instance acts itself. To act, it may have to read a
// whole partition, so a few others come first.
const maxLeaders = 4

// Config holds a client's dependencies.
type Config struct {
	Self ids.InstanceID
	Zone ids.Zone
	// Members returns the instances that may lead partitions, this one included.
	Members func() []leader.Member
	// Discovered is closed when Members returns more than this instance if there are more; nil if it always does.
	Discovered <-chan struct{}
	Caller     Caller
	Now        func() time.Time
	Logger     *zap.Logger
}

// Caller calls methods of other instances.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Query is implemented by the parameters of a method that changes nothing, so that several leaders may be asked at once.
type Query interface {
	ChangesNothing() bool
}

// Client calls the leaders of partitions. It is safe for concurrent use.
type Client struct {
	Config
	mu     sync.Mutex
	failed map[ids.InstanceID]failure // instances that did not answer
	orders map[partlog.Partition]order
}

// New returns a client that takes all members to be reachable.
func New(c Config) *Client {
	return &Client{Config: c, failed: make(map[ids.InstanceID]failure), orders: make(map[partlog.Partition]order)}
}

// errNotDiscovered is the error of calls that ended before this instance knew the others.
var errNotDiscovered = errors.Join(partlog.ErrNotApplied, errors.New("the instances that lead are not known yet"))

// awaitMembers blocks until the other instances are known. An instance that knows only itself would do the work of all
// leaders, and after a start of all, each of them would.
func (c *Client) awaitMembers(ctx context.Context) error {
	if c.discovered() {
		return nil
	}
	select {
	case <-c.Discovered:
		return nil
	case <-ctx.Done():
		return errors.Join(errNotDiscovered, context.Cause(ctx))
	}
}

func (c *Client) discovered() bool {
	if c.Discovered == nil {
		return true
	}
	select {
	case <-c.Discovered:
		return true
	default:
		return false
	}
}

// Do calls a method of a partition's leader. If that is this instance, or no leader answers, it calls local instead.
// unanswered reports whether the method was sent to a leader that did not answer, where it may have taken effect, whatever the
// error is. Until the other instances are known, it waits for them.
func (c *Client) Do(ctx context.Context, p partlog.Partition, method string, params, result any, local func() error) (unanswered bool, err error) {
	if err := c.awaitMembers(ctx); err != nil {
		return false, err
	}
	if q, ok := params.(Query); ok && q.ChangesNothing() {
		return false, c.query(ctx, p, method, params, result, local)
	}
	return c.try(ctx, p, c.leaders(p), method, params, result, local)
}

// errNoOther is the error of DoNext if no other instance can act at once.
var errNoOther = errors.Join(partlog.ErrNotApplied, errors.New("no other instance keeps up with the partition"))

// DoNext calls a method of the second instance in the order, which keeps up with the partition, while Do calls the first one. The
// others would have to read the whole partition before they act, which overloads the log if many calls are slow.
func (c *Client) DoNext(ctx context.Context, p partlog.Partition, method string, params, result any, local func() error) (unanswered bool, err error) {
	if err := c.awaitMembers(ctx); err != nil {
		return false, err
	}
	members := c.leaders(p)
	if len(members) < 2 || members[0].Instance != c.Self && c.paused(members[0]) {
		return false, errNoOther
	}
	switch next := members[1]; {
	case next.Instance == c.Self:
		return false, local()
	case c.paused(next):
		return false, errNoOther
	default:
		unanswered, err = c.callTwice(ctx, next, method, params, result)
		if err != nil && !rpc.IsAnswer(err) && ctx.Err() == nil {
			c.recordFailure(next, p, err)
		}
		if errors.Is(err, rpc.ErrUnreachable) && !unanswered {
			err = errors.Join(errNoOther, err)
		}
		return unanswered, err
	}
}

// try calls the members in turn until one answers. If none does, or this instance comes before them, it calls local instead.
func (c *Client) try(ctx context.Context, p partlog.Partition, members []leader.Member, method string, params, result any, local func() error) (unanswered bool, err error) {
	tried := 0
	for _, m := range members {
		if m.Instance == c.Self || tried == maxLeaders {
			break
		}
		if c.paused(m) {
			continue
		}
		tried++
		sent, err := c.callTwice(ctx, m, method, params, result)
		if err == nil || rpc.IsAnswer(err) {
			return unanswered, err
		}
		unanswered = unanswered || sent
		if ctx.Err() != nil {
			return unanswered, err
		}
		c.recordFailure(m, p, err)
	}
	return unanswered, local()
}

// callTwice calls a method of a member, and once more if the member is alive but that call got no answer: its connection may be
// broken or silent. sent reports whether a call without an answer may have reached the member.
func (c *Client) callTwice(ctx context.Context, m leader.Member, method string, params, result any) (sent bool, err error) {
	for try := range 2 {
		err = c.call(ctx, m, method, params, result)
		if err == nil || rpc.IsAnswer(err) {
			return sent, err
		}
		if errors.Is(err, rpc.ErrUnreachable) {
			return sent, err
		}
		sent = true
		if try > 0 || ctx.Err() != nil || c.askAlive(ctx, m) != nil {
			return sent, err
		}
	}
	return sent, err
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
