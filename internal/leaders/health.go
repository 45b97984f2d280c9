package leaders

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

const (
	// aliveInterval is how often a leader that has not answered a call is asked whether it is alive, and aliveTimeout how long
	// it has for that answer. A slow log delays answers to calls, which is no sign that the leader is gone.
	aliveInterval = 200 * time.Millisecond
	aliveTimeout  = 100 * time.Millisecond
	// aliveTries is the number of questions in a row that a leader may leave without an answer. Either instance may be
	// descheduled for the most of a scheduling period.
	aliveTries = 2
	// failedPause is how long an instance is not called after it did not answer. After that, it is asked whether it is alive,
	// and called again once it has answered.
	failedPause = 2 * time.Second
	// healthMaxAge is how long the health of an instance is kept after its last change.
	healthMaxAge = time.Minute
)

// health is what this instance knows of another one from its calls.
type health struct {
	failedAt   time.Time // when it last did not answer; zero if it has answered since
	answeredAt time.Time // when it last answered any call
	probing    bool      // it is being asked whether it is alive
}

func (h health) changedAt() time.Time {
	if h.failedAt.After(h.answeredAt) {
		return h.failedAt
	}
	return h.answeredAt
}

// call calls a method of a member. The call ends early if the member does not answer that it is alive. since is when the member
// began to leave this instance without an answer.
func (c *Client) call(ctx context.Context, m Member, method string, params, result any) (since time.Time, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	since = c.Now()
	alive := time.AfterFunc(aliveInterval, func() { c.watch(ctx, m, cancel) })
	defer alive.Stop()
	err = c.Caller.Call(ctx, m.Address, method, params, result)
	var answered *jsonrpc2.Error
	if err == nil || errors.As(err, &answered) {
		c.recordAnswer(m.Instance)
	}
	var silent *silentError
	if err != nil && errors.As(context.Cause(ctx), &silent) {
		since = silent.since
	}
	return since, err
}

// silentError is the reason to give up a call of a member that does not answer that it is alive.
type silentError struct {
	since time.Time
	error
}

// Unwrap returns the error of the last question.
func (e *silentError) Unwrap() error { return e.error }

// watch asks a member now and every aliveInterval whether it is alive, until the context ends. If the member does not answer, it
// cancels the context.
func (c *Client) watch(ctx context.Context, m Member, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(aliveInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		since := c.Now()
		if err := c.askAlive(ctx, m); err != nil {
			cancel(&silentError{since, err})
			return
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// askAlive asks a member up to aliveTries times whether it is alive. An answer to any other call counts too.
func (c *Client) askAlive(ctx context.Context, m Member) (err error) {
	since := c.Now()
	for range aliveTries {
		aliveCtx, stop := context.WithTimeout(ctx, aliveTimeout)
		err = c.Caller.Call(aliveCtx, m.Address, methodAlive, struct{}{}, &struct{}{})
		stop()
		if err == nil {
			c.recordAnswer(m.Instance)
		}
		if c.answeredSince(m.Instance, since) {
			return nil
		}
	}
	return err
}

func (c *Client) answeredSince(id ids.InstanceID, t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.health[id].answeredAt.Before(t)
}

// paused reports whether a member is not called because it did not answer recently.
func (c *Client) paused(m Member) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.health[m.Instance]
	if h.failedAt.IsZero() {
		return false
	}
	if !h.probing && c.Now().Sub(h.failedAt) >= failedPause {
		h.probing = true
		c.health[m.Instance] = h
		go c.probe(m)
	}
	return true
}

// probe asks a paused member whether it is alive. If it does not answer, its pause begins anew.
func (c *Client) probe(m Member) {
	err := c.askAlive(context.Background(), m)
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.health[m.Instance]
	h.probing = false
	if err != nil {
		h.failedAt = c.Now()
	}
	c.health[m.Instance] = h
}

// recordAnswer records that a member has answered a call, so that it may be called.
func (c *Client) recordAnswer(id ids.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.health[id]
	h.answeredAt, h.failedAt = c.Now(), time.Time{}
	c.health[id] = h
}

// recordFailure records and logs that a member has not answered a call, so that it is not called for failedPause. If it has
// answered another one meanwhile, only the call has failed.
func (c *Client) recordFailure(m Member, p partlog.Partition, since time.Time, err error) {
	c.mu.Lock()
	now := c.Now()
	maps.DeleteFunc(c.health, func(_ ids.InstanceID, h health) bool { return !h.probing && now.Sub(h.changedAt()) > healthMaxAge })
	h := c.health[m.Instance]
	answers := h.answeredAt.After(since)
	if !answers {
		h.failedAt = now
		c.health[m.Instance] = h
	}
	c.mu.Unlock()
	events.Log(c.Logger, events.LeaderFailed, zap.String("stream", p.Topic), zap.Int("part", p.Part),
		zap.String("leader", string(m.Instance)), zap.Bool("answersOthers", answers), zap.Error(err))
}
