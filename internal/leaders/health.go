package leaders

import (
	"context"
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/alive"
	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/leader"
)

const (
	// failedPause is how long an instance is not called after it did not answer. After that, it is asked whether it is alive,
	// and called again once it has answered.
	failedPause = 2 * time.Second
	// healthMaxAge is how long a failure is kept of an instance that no call was meant for since.
	healthMaxAge = time.Minute
)

// failure is that another instance did not answer.
type failure struct {
	at      time.Time
	probing bool // it is being asked whether it is alive
}

// call calls a method of a member. The call ends early if the member does not answer that it is alive.
func (c *Client) call(ctx context.Context, m leader.Member, method string, params, result any) error {
	ctx, stop := alive.Watch(ctx, c.Caller, m.Address, alive.Interval)
	defer stop()
	return c.Caller.Call(ctx, m.Address, method, params, result)
}

func (c *Client) askAlive(ctx context.Context, m leader.Member) error {
	return alive.Ask(ctx, c.Caller, m.Address)
}

// paused reports whether a member is not called because it did not answer. When its pause has passed, it is asked whether it is
// alive, and it stays paused until it has answered.
func (c *Client) paused(m leader.Member) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	f, ok := c.failed[m.Instance]
	if ok && !f.probing && c.Now().Sub(f.at) >= failedPause {
		c.failed[m.Instance] = failure{at: f.at, probing: true}
		go c.probe(m)
	}
	return ok
}

// probe ends the pause of a member if it is alive, or else begins it anew.
func (c *Client) probe(m leader.Member) {
	err := c.askAlive(context.Background(), m)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.failed[m.Instance] = failure{at: c.Now()}
		return
	}
	delete(c.failed, m.Instance)
}

// recordFailure records and logs that a member did not answer, so that it is not called for failedPause.
func (c *Client) recordFailure(m leader.Member, p partlog.Partition, err error) {
	c.mu.Lock()
	now := c.Now()
	maps.DeleteFunc(c.failed, func(_ ids.InstanceID, f failure) bool { return !f.probing && now.Sub(f.at) > healthMaxAge })
	c.failed[m.Instance] = failure{at: now}
	c.mu.Unlock()
	events.Log(c.Logger, events.LeaderFailed, zap.String("stream", p.Topic), zap.Int("part", p.Part),
		zap.String("leader", string(m.Instance)), zap.Error(err))
}
