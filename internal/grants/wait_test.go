package grants_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/internal/grants"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/quota"
)

// Guards against a process that is suspended while requests wait for their tokens, and uses all of these when it wakes up,
// together with those that others were granted meanwhile.
func TestTokenIsNotUsedAfterASuspension(t *testing.T) {
	c := qt.New(t)
	var suspended atomic.Int64
	now := func() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }
	self := quota.Run{Instance: "a", ID: "run"}
	limiter := grants.New(grants.Config{
		Self: self, Now: now, Claim: func(context.Context, quota.Shard) {},
		Address: func(ids.InstanceID) (string, bool) { return "", false },
	})
	limiter.View(func(l *quota.Limiter) {
		l.Configure(now().Add(-time.Minute), map[ids.WorkspaceID]quota.Limit{"ws": {Rate: 1, Burst: 1}})
		l.Leases.Begin(now().Add(-time.Minute), 0)
		claim := l.Leases.NewReport(now())
		claim.Claimed = []quota.Shard{quota.ShardOf("ws", 0)}
		l.Leases.Apply(now().Add(-time.Second), claim)
	})
	take := func(maxWait time.Duration) bool { return limiter.Take(context.Background(), "ws", 0, maxWait).OK }
	c.Assert(take(0), qt.IsTrue)
	time.AfterFunc(50*time.Millisecond, func() { suspended.Store(int64(time.Second)) })
	c.Assert(take(2*time.Second), qt.IsFalse)
	c.Assert(take(0), qt.IsTrue, qt.Commentf("the token that was not used is back"))
}
