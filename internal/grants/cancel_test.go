package grants_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/internal/grants"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/quota"
)

// slowOwner answers each grant after a time.
type slowOwner struct {
	after time.Duration
	calls int
}

// Call implements grants.Caller.
func (o *slowOwner) Call(ctx context.Context, _, _ string, _, _ any) error {
	o.calls++
	select {
	case <-time.After(o.after):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Guards against callers that go away and are taken for an owner that does not answer, so that the requests of others are refused.
func TestCancelledRequestsDoNotPauseTheOwner(t *testing.T) {
	c := qt.New(t)
	o := &slowOwner{after: 10 * time.Millisecond}
	g := grants.New(grants.Config{
		Self: quota.Run{Instance: "a"}, Client: o, Now: time.Now,
		Address: func(ids.InstanceID) (string, bool) { return "owner", true }, Claim: func(context.Context, quota.Shard) {},
	})
	g.View(func(l *quota.Limiter) {
		now := time.Now()
		l.Configure(now, map[ids.WorkspaceID]quota.Limit{"ws": {Rate: 1, Burst: 1}})
		l.Leases.Begin(now, 0)
		l.Leases.Apply(now, quota.Report{Run: quota.Run{Instance: "b"}, Seq: 1, Claimed: []quota.Shard{quota.ShardOf("ws", 0)}})
	})
	for range 2 {
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(time.Millisecond, cancel)
		g.Take(ctx, "ws", 0, 0)
	}
	o.calls = 0
	g.Take(context.Background(), "ws", 0, 0)
	c.Assert(o.calls > 0, qt.IsTrue)
}
