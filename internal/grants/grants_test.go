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

// newFleet starts instances that grant requests of one workspace to each other.
func newFleet(c *qt.C, names ...ids.InstanceID) map[ids.InstanceID]instance {
	fleet := make(map[ids.InstanceID]instance)
	for _, id := range names {
		client, cleanup := rpc.NewClient()
		c.Cleanup(cleanup)
		queues := waitqueue.New(waitqueue.Options{Policy: "fair", Now: time.Now})
		g := grants.New(grants.Config{Self: id, Client: client, Now: time.Now, Loads: queues, Address: func(id ids.InstanceID) (string, bool) {
			return fleet[id].address, true
		}})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { _ = listener.Close() })
		go func() { _ = rpc.NewServer(g.Methods()).Serve(listener) }()
		fleet[id] = instance{limiter: g, queues: queues, address: listener.Addr().String()}
		g.View(func(l *quota.Limiter, m *quota.Members) {
			for _, other := range names {
				m.Report(time.Now(), time.Now(), other, true, false)
			}
			l.Configure(time.Now(), map[ids.WorkspaceID]quota.Limit{"ws": {Rate: 100, Burst: 100}})
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
		c.Assert(i.limiter.Take(context.Background(), "ws", 0).OK, qt.IsTrue)
	}
	for id, i := range fleet {
		calls := make(map[ids.TargetID]int)
		for _, x := range i.queues.LoadObservations(time.Now()) {
			calls[x.Target] = x.Calls
		}
		c.Assert(calls, qt.DeepEquals, map[ids.TargetID]int{"t1": 3, "t2": 4}, qt.Commentf("instance %s", id))
	}
}
