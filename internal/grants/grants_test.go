package grants_test

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/internal/grants"
	"github.com/comfreylink/comfreylink/internal/rpc"
	"github.com/comfreylink/comfreylink/internal/waitqueue"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/quota"
)

type instance struct {
	limiter *grants.RateLimiter
	queues  *waitqueue.Queues
	address string
}

// newFleet starts instances that grant requests of one workspace to each other. The first one owns its limit.
func newFleet(c *qt.C, names ...ids.InstanceID) map[ids.InstanceID]instance {
	fleet := make(map[ids.InstanceID]instance)
	owner := quota.Run{Instance: names[0]}
	for _, id := range names {
		client, cleanup := rpc.NewClient()
		c.Cleanup(cleanup)
		queues := waitqueue.New(waitqueue.Options{Policy: "fair", Now: time.Now})
		g := grants.New(grants.Config{
			Self: quota.Run{Instance: id}, Client: client, Now: time.Now, Loads: queues,
			Address: func(id ids.InstanceID) (string, bool) { return fleet[id].address, true },
			Claim:   func(context.Context, quota.Shard) {},
		})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { _ = listener.Close() })
		go func() { _ = rpc.NewServer(func(error) {}, g.Methods()).Serve(listener) }()
		fleet[id] = instance{limiter: g, queues: queues, address: listener.Addr().String()}
		g.View(func(l *quota.Limiter) {
			now := time.Now()
			l.Configure(now.Add(-time.Minute), map[ids.WorkspaceID]quota.Limit{"ws": {Rate: 100, Burst: 100}})
			l.Leases.Begin(now.Add(-time.Minute), 0)
			claim := quota.Report{Run: owner, Seq: 1}
			if id == owner.Instance {
				l.Leases.NewReport(now)
			}
			for part := range quota.Parts {
				claim.Claimed = append(claim.Claimed, quota.ShardOf("ws", part))
			}
			l.Leases.Apply(now.Add(-time.Second), claim)
		})
	}
	return fleet
}

// Guards against load observations that are not exchanged with grants, so that an instance knows only its own calls at a
// target.
func TestLoadsAreExchanged(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(c, "a", "b")
	now := time.Now()
	fleet["a"].queues.MergeLoadObservations(now, []waitqueue.LoadObservation{{Target: "t1", Calls: 3, At: now}})
	fleet["b"].queues.MergeLoadObservations(now, []waitqueue.LoadObservation{{Target: "t2", Calls: 4, At: now}})
	for _, i := range fleet {
		c.Assert(i.limiter.Take(context.Background(), "ws", 0, 0).OK, qt.IsTrue)
	}
	for id, i := range fleet {
		calls := make(map[ids.TargetID]int)
		for _, x := range i.queues.LoadObservations(time.Now()) {
			calls[x.Target] = x.Calls
		}
		c.Assert(calls, qt.DeepEquals, map[ids.TargetID]int{"t1": 3, "t2": 4}, qt.Commentf("instance %s", id))
	}
}
