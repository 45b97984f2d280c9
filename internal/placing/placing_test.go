package placing_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/line"
	"github.com/comfreylink/comfreylink/internal/placing"
	"github.com/comfreylink/comfreylink/internal/rpc"
	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

const (
	slots = 4
	// most is how many requests a line sends to one target: its slots and two more.
	most = slots + 2
)

func service(call.ServiceName) *call.Service {
	return &call.Service{Name: "llm", Engine: &call.Engine{Slots: slots, CacheTokens: 90_000, TokensPerEvent: 10}}
}

// fleet are placers of several instances, of which the first keeps all lines.
func fleet(c *qt.C, instances, targets int) (l []*placing.Placer, stopKeeper func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	var list []call.Target
	for i := range targets {
		list = append(list, call.Target{ID: ids.TargetID(fmt.Sprint("t", i)), Service: "llm", Zone: "z", Slots: slots})
	}
	for i := range instances {
		client, cleanup := rpc.NewClient()
		c.Cleanup(cleanup)
		p := placing.New(placing.Config{
			Self: ids.InstanceID(fmt.Sprint("g", i)), Lines: line.New(line.Options{Policy: dispatch.PolicyFair, Now: time.Now}),
			Client: client, Now: time.Now,
			Keeper: func(string) (ids.InstanceID, string, bool) { return "g0", listener.Addr().String(), true },
		})
		p.Update(time.Now().Add(-time.Minute), list, service) // their ramps are over
		l = append(l, p)
	}
	for _, p := range l {
		makeBusy(c, p)
	}
	server := rpc.NewServer(l[0].Methods())
	go func() { _ = server.Serve(listener) }()
	return l, func() { _ = listener.Close() }
}

// makeBusy lets an instance see that requests wait at a target.
func makeBusy(c *qt.C, p *placing.Placer) {
	place, r := wait(p, 0, time.Second)
	c.Assert(r, qt.IsNil)
	place.Load(time.Now(), call.Load{Known: true, Running: 0, Waiting: 1, Slots: slots})
	place.Done(time.Now(), dispatch.Completed, record.Usage{})
}

func wait(p *placing.Placer, program int, patience time.Duration) (*placing.Place, *line.Refusal) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return p.Wait(ctx, "llm", fmt.Sprint(program), dispatch.Item{
		Workspace: "w", Program: ids.ProgramID(fmt.Sprint(program)), Prompt: 100, Output: 50, Zone: "z", Deadline: time.Now().Add(patience),
	})
}

// Replays a burst that comes to all instances at once: together they must not send a target more than it has places
// for, and the rest is refused at the end of its patience.
func TestBurstIsCountedOnce(t *testing.T) {
	c := qt.New(t)
	l, _ := fleet(c, 5, 1)
	type result struct {
		place *placing.Place
		r     *line.Refusal
	}
	results := make(chan result, 50)
	for i := range 50 {
		go func() {
			place, r := wait(l[i%len(l)], i, 200*time.Millisecond)
			results <- result{place, r}
		}()
	}
	placed := 0
	for range 50 {
		if r := <-results; r.place != nil {
			placed++
		} else {
			c.Check(r.r, qt.IsNotNil)
		}
	}
	c.Assert(placed, qt.Equals, most)
}

// Guards against places that stay taken: after an end, after a caller that left, and after an instance that never told.
func TestPlacesAreFreed(t *testing.T) {
	c := qt.New(t)
	l, _ := fleet(c, 2, 1)
	take := func() (all []*placing.Place) {
		for range most {
			p, r := wait(l[1], 0, time.Second)
			c.Assert(r, qt.IsNil)
			all = append(all, p)
		}
		return all
	}
	for _, p := range take() {
		p.Done(time.Now(), dispatch.Completed, record.Usage{Prompt: 100, Completion: 50})
	}
	take() // their ends are never told
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, r := l[1].Wait(ctx, "llm", "0", dispatch.Item{Workspace: "w", Program: "p", Deadline: time.Now().Add(time.Second)})
	c.Assert(r, qt.IsNotNil)
	l[0].DropOld(time.Now().Add(time.Minute))
	take()
}

// Guards against an instance that places nothing because the one that keeps the line has gone.
func TestKeeperGone(t *testing.T) {
	c := qt.New(t)
	l, stop := fleet(c, 2, 3)
	p, r := wait(l[1], 0, time.Second)
	c.Assert(r, qt.IsNil)
	c.Assert(p.Keeper, qt.Equals, ids.InstanceID("g0"))
	stop()
	for i := range 4 {
		p, r := wait(l[1], i, 300*time.Millisecond)
		c.Assert(r, qt.IsNil)
		c.Assert(p.Keeper, qt.Equals, ids.InstanceID(""))
	}
}
