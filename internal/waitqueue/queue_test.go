package waitqueue_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/waitqueue"
	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
	"github.com/comfreylink/comfreylink/pkg/target"
)

const (
	slots = 4
	// most is how many requests a line sends to one target: its slots and two more.
	most = slots + 2
)

func newLines(targets int) *waitqueue.Queues {
	l := waitqueue.New(waitqueue.Options{Policy: dispatch.PolicyFair, Now: time.Now})
	var list []call.Target
	for i := range targets {
		list = append(list, call.Target{ID: ids.TargetID(fmt.Sprint("t", i)), Service: "llm", Zone: "z", Slots: slots})
	}
	l.Update(time.Now().Add(-time.Minute), list, func(call.ServiceName) *call.Service { // their ramps are over
		return &call.Service{Name: "llm", Engine: &call.Engine{Slots: slots, CacheTokens: 90_000, TokensPerEvent: 10}}
	})
	return l
}

func wait(l *waitqueue.Queues, i int, patience time.Duration, parts ...target.Part) (waitqueue.Placement, *waitqueue.Refusal) {
	return l.Wait(context.Background(), "llm", dispatch.Item{
		Workspace: "w", Program: ids.ProgramID(fmt.Sprint(i)), Prompt: 1000, Output: 50, Zone: "z", Parts: parts, Deadline: time.Now().Add(patience),
	})
}

// Replays a burst: no target gets more than it has places for, and the rest is refused when its patience ends, not
// earlier and not much later.
func TestBurst(t *testing.T) {
	c := qt.New(t)
	l := newLines(2)
	type result struct {
		refused bool
		took    time.Duration
	}
	results := make(chan result, 40)
	for i := range 40 {
		go func() {
			began := time.Now()
			_, r := wait(l, i, 100*time.Millisecond)
			results <- result{r != nil, time.Since(began)}
		}()
	}
	placed := 0
	for range 40 {
		r := <-results
		if !r.refused {
			placed++
			continue
		}
		c.Check(r.took < 300*time.Millisecond, qt.IsTrue, qt.Commentf("refused after %v", r.took))
	}
	c.Assert(placed, qt.Equals, 2*most)
	c.Assert(l.Len(), qt.Equals, 0)
}

// Guards against a place that stays taken, and against a turn that goes to a target which does not have its prompt.
func TestPlacesAndPrompts(t *testing.T) {
	c := qt.New(t)
	l := newLines(3)
	part := target.Part{Key: "history", Tokens: 900}
	first, r := wait(l, 0, time.Second, part)
	c.Assert(r, qt.IsNil)
	first.Done(time.Now(), dispatch.Completed, record.Usage{Prompt: 1000, Completion: 50})
	for range 20 {
		p, r := wait(l, 0, time.Second, part)
		c.Assert(r, qt.IsNil)
		c.Assert(p.Target.ID, qt.Equals, first.Target.ID)
		c.Assert(p.Cached > 800, qt.IsTrue)
		p.Done(time.Now(), dispatch.Completed, record.Usage{Prompt: 1000, Completion: 50})
	}
}

// Guards against requests for a target that says it is full, and for a service without targets.
func TestFullTarget(t *testing.T) {
	c := qt.New(t)
	l := newLines(2)
	p, r := wait(l, 0, time.Second)
	c.Assert(r, qt.IsNil)
	p.Done(time.Now(), dispatch.TargetFull, record.Usage{})
	next, r := wait(l, 1, time.Second)
	c.Assert(r, qt.IsNil)
	c.Assert(next.Target.ID, qt.Not(qt.Equals), p.Target.ID)
	_, r = l.Wait(context.Background(), "none", dispatch.Item{Deadline: time.Now().Add(time.Second)})
	c.Assert(r.Reason, qt.Equals, waitqueue.ReasonNoTarget)
}
