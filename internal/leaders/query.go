package leaders

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/comfreylink/comfreylink/internal/partlog"
)

const (
	// queryDelay is how long a query waits for a leader until the next one, which keeps up with the partition, is asked as well.
	queryDelay = 150 * time.Millisecond
	// maxQueryTime bounds queries without a deadline.
	maxQueryTime = 5 * time.Second
)

// query asks the leader of a partition, and the next ones in the order if it is slow or fails. The first result counts.
func (c *Client) query(ctx context.Context, p partlog.Partition, method string, params, result any, local func() error) (err error) {
	q := c.newRound(ctx, p, method, params)
	if !q.askNext() {
		return local()
	}
	slow := time.NewTimer(queryDelay)
	defer slow.Stop()
	for q.running > 0 {
		select {
		case a := <-q.answers:
			q.running--
			if a.err == nil {
				return decodeResult(a.result, result)
			}
			if isAnswer(a.err) {
				err = a.err
			}
			q.askNext()
		case <-slow.C:
			q.askNext()
		case <-ctx.Done():
			return errors.Join(err, context.Cause(ctx))
		}
	}
	if err != nil {
		return err
	}
	return local()
}

// decodeResult decodes a result; none leaves the value as it is.
func decodeResult(data json.RawMessage, result any) error {
	if len(data) == 0 {
		return nil
	}
	return json.Unmarshal(data, result)
}

// round is one query with the members that it may still ask.
type round struct {
	client  *Client
	ctx     context.Context
	p       partlog.Partition
	method  string
	params  any
	members []Member
	tried   int
	running int // calls in progress
	answers chan answer
}

type answer struct {
	result json.RawMessage
	err    error
}

// newRound returns a query whose calls go on until their deadline when it has a result: only then is a leader that does not
// answer found silent.
func (c *Client) newRound(ctx context.Context, p partlog.Partition, method string, params any) *round {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(maxQueryTime)
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	context.AfterFunc(ctx, cancel)
	return &round{
		client: c, ctx: ctx, p: p, method: method, params: params, members: c.leaders(p), answers: make(chan answer, maxLeaders),
	}
}

// askNext calls the next member that may lead. It reports false if there is none before this instance, or maxLeaders were called.
func (q *round) askNext() bool {
	for len(q.members) > 0 && q.members[0].Instance != q.client.Self && q.tried < maxLeaders {
		m := q.members[0]
		q.members = q.members[1:]
		if q.client.paused(m) {
			continue
		}
		q.tried++
		q.running++
		go q.ask(m)
		return true
	}
	return false
}

func (q *round) ask(m Member) {
	var a answer
	_, a.err = q.client.callTwice(q.ctx, m, q.method, q.params, &a.result)
	if a.err != nil && !isAnswer(a.err) && q.ctx.Err() == nil {
		q.client.recordFailure(m, q.p, a.err)
	}
	q.answers <- a
}
