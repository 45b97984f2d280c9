// Package recorder finds the instance that leads a partition of the log and calls it. The leader collects what all
// instances write to its partition, so that many records need one call to the log. A leader is only a convenience: two of
// them, or none, must not make a write wrong.
package recorder

import (
	"context"
	"errors"
	"maps"
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
	// quietTime is the interval at which a leader that has not answered a call is asked whether it is there, and aliveTimeout how
	// long it has for that answer. A slow log delays calls, and must not be taken for a leader that is gone.
	quietTime    = 200 * time.Millisecond
	aliveTimeout = 100 * time.Millisecond
	// failedPause is how long an instance is not called after it did not answer.
	failedPause = 2 * time.Second
)

// methodAlive is a call that is answered at once.
const methodAlive = "alive"

// Member is an instance that may lead partitions.
type Member struct {
	leader.Candidate
	Address string
	Zone    ids.Zone
}

// Config holds a recorder's dependencies.
type Config struct {
	Self ids.InstanceID
	Zone ids.Zone
	// Members returns the instances that may lead partitions, this one included.
	Members func() []Member
	Client  Caller
	Now     func() time.Time
	Logger  *zap.Logger
}

// Caller calls methods of other instances.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Recorder calls the leaders of partitions. It is safe for concurrent use.
type Recorder struct {
	Config
	mu     sync.Mutex
	failed map[ids.InstanceID]time.Time // instances that did not answer, and when
	orders map[partlog.Partition]order
}

// New returns a recorder.
func New(c Config) *Recorder {
	return &Recorder{Config: c, failed: make(map[ids.InstanceID]time.Time), orders: make(map[partlog.Partition]order)}
}

// Methods returns the methods that other instances call.
func (r *Recorder) Methods() map[string]rpc.Method {
	return map[string]rpc.Method{
		methodAlive: rpc.Typed(func(context.Context, struct{}) (any, error) { return struct{}{}, nil }),
	}
}

// Do calls a method of a partition's leader. If that is this instance, or no leader answers, it calls local instead.
// unanswered reports whether the method was sent to a leader that did not answer, where it may have taken effect, whatever the
// error is.
func (r *Recorder) Do(ctx context.Context, p partlog.Partition, method string, params, result any, local func() error) (unanswered bool, err error) {
	tried := 0
	for _, m := range r.leaders(p) {
		if m.Instance == r.Self || tried == maxLeaders {
			break
		}
		if r.paused(m.Instance) {
			continue
		}
		tried++
		err := r.call(ctx, m, method, params, result)
		var answered *jsonrpc2.Error
		if err == nil || errors.As(err, &answered) {
			return unanswered, err
		}
		unanswered = unanswered || !errors.Is(err, rpc.ErrUnreachable)
		if ctx.Err() != nil {
			return unanswered, err
		}
		r.recordFailure(m, p, err)
	}
	return unanswered, local()
}

// Rank returns the place of this instance in the order for a partition, from 0 for the leader.
func (r *Recorder) Rank(p partlog.Partition) int {
	for i, m := range r.leaders(p) {
		if m.Instance == r.Self {
			return i
		}
	}
	return len(r.Members())
}

// Near returns the partitions whose leader is in the zone of this instance.
func (r *Recorder) Near(partitions []partlog.Partition) (near []partlog.Partition) {
	for _, p := range partitions {
		if l := r.leaders(p); len(l) > 0 && l[0].Zone == r.Zone {
			near = append(near, p)
		}
	}
	return near
}

// watch asks a member now and every quietTime whether it is still there, until the context ends, and cancels it if the member is not.
func (r *Recorder) watch(ctx context.Context, m Member, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(quietTime)
	defer ticker.Stop()
	for ctx.Err() == nil {
		aliveCtx, stop := context.WithTimeout(ctx, aliveTimeout)
		err := r.Client.Call(aliveCtx, m.Address, methodAlive, struct{}{}, &struct{}{})
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

// call calls a method of a member. It ends early if the member is gone.
func (r *Recorder) call(ctx context.Context, m Member, method string, params, result any) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	quiet := time.AfterFunc(quietTime, func() { r.watch(ctx, m, cancel) })
	defer quiet.Stop()
	return r.Client.Call(ctx, m.Address, method, params, result)
}

func (r *Recorder) paused(id ids.InstanceID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.failed[id]
	return ok && r.Now().Sub(at) < failedPause
}

func (r *Recorder) recordFailure(m Member, p partlog.Partition, err error) {
	r.mu.Lock()
	now := r.Now()
	maps.DeleteFunc(r.failed, func(_ ids.InstanceID, at time.Time) bool { return now.Sub(at) >= failedPause })
	r.failed[m.Instance] = now
	r.mu.Unlock()
	events.Log(r.Logger, events.LeaderFailed, zap.String("stream", p.Topic), zap.Int("part", p.Part),
		zap.String("leader", string(m.Instance)), zap.Error(err))
}
