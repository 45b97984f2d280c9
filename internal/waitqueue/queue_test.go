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
	// maxPerTarget is how many requests a queue sends to one target: overcommit (2) more than it has slots.
	maxPerTarget = slots + 2
)

func newQueues(targets int) *waitqueue.Queues {
	q := waitqueue.New(waitqueue.Options{Policy: dispatch.PolicyFair, Now: time.Now})
	var list []call.Target
	for i := range targets {
		list = append(list, call.Target{ID: ids.TargetID(fmt.Sprint("t", i)), Service: "llm", Zone: "z", Slots: slots})
	}
	q.Update(time.Now().Add(-time.Minute), list, func(call.ServiceName) *call.Service { // long enough ago that the targets' ramps are over
		return &call.Service{Name: "llm", Engine: &call.Engine{Slots: slots, CacheTokens: 90_000, TokensPerEvent: 10}}
	})
	return q
}

func wait(q *waitqueue.Queues, i int, timeout time.Duration, parts ...target.Part) (waitqueue.Placement, *waitqueue.Refusal) {
	return q.Wait(context.Background(), "llm", dispatch.Item{
		Workspace: "w", Program: ids.ProgramID(fmt.Sprint(i)), Prompt: 1000, Output: 50, Zone: "z", Parts: parts, Deadline: time.Now().Add(timeout),
	})
}

// Guards against a target that gets more than maxPerTarget requests of a burst, and against requests that are refused long
// after their deadline.
func TestBurstIsPlacedUpToTheLimitAndRefusedInTime(t *testing.T) {
	c := qt.New(t)
	q := newQueues(2)
	type result struct {
		refused bool
		took    time.Duration
	}
	results := make(chan result, 40)
	for i := range 40 {
		go func() {
			began := time.Now()
			_, r := wait(q, i, 100*time.Millisecond)
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
	c.Assert(placed, qt.Equals, 2*maxPerTarget)
	c.Assert(q.Len(), qt.Equals, 0)
}

// Guards against a slot that stays taken after Done, and against a turn that goes to a target without its prompt in the cache.
func TestReleaseAndCachedPrompt(t *testing.T) {
	c := qt.New(t)
	q := newQueues(3)
	part := target.Part{Key: "history", Tokens: 900}
	first, r := wait(q, 0, time.Second, part)
	c.Assert(r, qt.IsNil)
	first.Done(time.Now(), dispatch.Completed, record.Usage{Prompt: 1000, Completion: 50})
	for range 20 {
		p, r := wait(q, 0, time.Second, part)
		c.Assert(r, qt.IsNil)
		c.Assert(p.Target.ID, qt.Equals, first.Target.ID)
		c.Assert(p.Cached > 800, qt.IsTrue)
		p.Done(time.Now(), dispatch.Completed, record.Usage{Prompt: 1000, Completion: 50})
	}
}

// Guards against requests sent to a target that says it is full, and against a wait for a service without targets.
func TestFullTarget(t *testing.T) {
	c := qt.New(t)
	q := newQueues(2)
	p, r := wait(q, 0, time.Second)
	c.Assert(r, qt.IsNil)
	p.Done(time.Now(), dispatch.TargetFull, record.Usage{})
	next, r := wait(q, 1, time.Second)
	c.Assert(r, qt.IsNil)
	c.Assert(next.Target.ID, qt.Not(qt.Equals), p.Target.ID)
	_, r = q.Wait(context.Background(), "none", dispatch.Item{Deadline: time.Now().Add(time.Second)})
	c.Assert(r.Reason, qt.Equals, waitqueue.ReasonNoTarget)
}
