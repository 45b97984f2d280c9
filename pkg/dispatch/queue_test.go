package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

var epoch = time.Unix(1_800_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

func live(names ...ids.TargetID) (l []dispatch.Target) {
	for _, id := range names {
		l = append(l, dispatch.Target{ID: id, State: dispatch.Live, ReportedAt: epoch})
	}
	return l
}

// options returns the defaults with a policy and a small maxInFlight.
func options(policy string, maxInFlight int) dispatch.Options {
	o := dispatch.DefaultOptions()
	o.Policy, o.MaxInFlight = policy, maxInFlight
	return o
}

func newQueue(c *qt.C, o dispatch.Options, targets ...dispatch.Target) *dispatch.Queue {
	c.Helper()
	q, err := dispatch.New(o)
	c.Assert(err, qt.IsNil)
	q.UpdateTargets(epoch, targets)
	return q
}

func item(n dispatch.Ticket, ws ids.WorkspaceID, tokens ids.Tokens) dispatch.Item {
	return dispatch.Item{
		Ticket: n, Workspace: ws, Program: ids.ProgramID(fmt.Sprint("p", n)), Prompt: tokens, Output: 100,
		Deadline: at(time.Hour), Idempotent: true,
	}
}

// Guards against a policy that places nothing or more than maxInFlight items per target.
func TestEveryPolicyPlacesUpToMaxInFlight(t *testing.T) {
	for _, name := range []string{"fair", "roundRobin", "leastInFlight", "sticky"} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			q := newQueue(c, options(name, 2), live("a", "b")...)
			for n := range dispatch.Ticket(40) {
				c.Assert(q.Enqueue(epoch, item(n, "ws", 10)), qt.HasLen, 0)
			}
			placed := q.Next(epoch)
			c.Assert(placed, qt.HasLen, 4)
			c.Assert(q.Next(epoch), qt.HasLen, 0)
			q.Done(at(time.Second), placed[0].Ticket, dispatch.Completed, record.Usage{Prompt: 10, Completion: 100})
			c.Assert(q.Next(at(time.Second)), qt.HasLen, 1)
			c.Assert(q.Len(), qt.Equals, 35)
		})
	}
}
