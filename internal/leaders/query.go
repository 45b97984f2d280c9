package leaders

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/comfreylink/comfreylink/internal/hedge"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/rpc"
	"github.com/comfreylink/comfreylink/pkg/leader"
)

const (
	// queryDelay is how long a query waits for a leader until the next one, which keeps up with the partition, is asked as well.
	queryDelay = 150 * time.Millisecond
	// maxQueryTime bounds queries without a deadline.
	maxQueryTime = 5 * time.Second
)

// query asks the leader of a partition, and the next ones in the order if it is slow or fails. The first result counts. The calls
// go on when it is there: only at their deadline is a leader that does not answer found silent.
func (c *Client) query(ctx context.Context, p partlog.Partition, method string, params, result any, local func() error) (err error) {
	q := &round{client: c, ctx: hedge.KeepDeadline(ctx, maxQueryTime), p: p, method: method, params: params, members: c.leaders(p)}
	o := hedge.First(ctx, queryDelay, q.next)
	if o.OK {
		return decodeResult(o.Result, result)
	}
	for _, failed := range o.Errors {
		if rpc.IsAnswer(failed) {
			err = failed
		}
	}
	switch {
	case o.Running > 0:
		return errors.Join(err, context.Cause(ctx))
	case err != nil:
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
	members []leader.Member
	tried   int
}

// next returns the call of the next member that may lead; nil if there is none before this instance, or maxLeaders were called.
func (q *round) next(error) func() (json.RawMessage, error) {
	for len(q.members) > 0 && q.members[0].Instance != q.client.Self && q.tried < maxLeaders {
		m := q.members[0]
		q.members = q.members[1:]
		if q.client.paused(m) {
			continue
		}
		q.tried++
		return func() (json.RawMessage, error) { return q.ask(m) }
	}
	return nil
}

func (q *round) ask(m leader.Member) (result json.RawMessage, err error) {
	_, err = q.client.callTwice(q.ctx, m, q.method, q.params, &result)
	if err != nil && !rpc.IsAnswer(err) && q.ctx.Err() == nil {
		q.client.recordFailure(m, q.p, err)
	}
	return result, err
}
