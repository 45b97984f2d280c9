package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// machine drives a queue with random operations and tracks the targets and items that the queue should hold.
type machine struct {
	q       *dispatch.Queue
	now     time.Time
	limit   int // MaxInFlight of the queue
	next    dispatch.Ticket
	waiting map[dispatch.Ticket]dispatch.Item
	placed  map[dispatch.Ticket]ids.TargetID
	targets map[ids.TargetID]dispatch.Target
}

// removeRefused removes refused items from those that are waiting.
func (m *machine) removeRefused(t *rapid.T, refused []dispatch.Refusal) {
	for _, r := range refused {
		if _, ok := m.waiting[r.Ticket]; !ok {
			t.Fatalf("item %d was refused but was not waiting", r.Ticket)
		}
		delete(m.waiting, r.Ticket)
	}
}

func (m *machine) enqueue(t *rapid.T) {
	m.next++
	it := dispatch.Item{
		Ticket: m.next, Workspace: rapid.SampledFrom([]ids.WorkspaceID{"x", "y", "z"}).Draw(t, "workspace"),
		Program: rapid.SampledFrom([]ids.ProgramID{"p", "p/sub", "q", "r"}).Draw(t, "program"),
		Weight:  rapid.Float64Range(0, 3).Draw(t, "weight"),
		Prompt:  ids.Tokens(rapid.IntRange(1, 50_000).Draw(t, "prompt")), PrefixTokens: 1000,
		Prefix:      rapid.SampledFrom([]dispatch.PrefixKey{"", "k", "l"}).Draw(t, "prefix"),
		Deadline:    m.now.Add(time.Duration(rapid.IntRange(0, 60_000).Draw(t, "deadline")) * time.Millisecond),
		Idempotent:  rapid.Bool().Draw(t, "idempotent"),
		Fingerprint: rapid.SampledFrom([]ids.Fingerprint{"", "f", "g", "h"}).Draw(t, "fingerprint"),
	}
	m.waiting[it.Ticket] = it
	m.removeRefused(t, m.q.Enqueue(m.now, it))
}

func (m *machine) expire(t *rapid.T) {
	m.removeRefused(t, m.q.Expire(m.now))
	for ticket, it := range m.waiting {
		if !it.Deadline.After(m.now) {
			t.Fatalf("item %d is still waiting after its deadline", ticket)
		}
	}
}

func (m *machine) place(t *rapid.T) {
	m.expire(t)
	for _, p := range m.q.Next(m.now) {
		if _, ok := m.waiting[p.Ticket]; !ok {
			t.Fatalf("item %d was placed but was not waiting", p.Ticket)
		}
		delete(m.waiting, p.Ticket)
		m.placed[p.Ticket] = p.Target
		if m.targets[p.Target].State != dispatch.Live {
			t.Fatalf("item %d was placed on target %s, which is not live", p.Ticket, p.Target)
		}
	}
	count := map[ids.TargetID]int{}
	for _, id := range m.placed {
		if count[id]++; count[id] > m.limit {
			t.Fatalf("%d calls at target %s exceed maxInFlight", count[id], id)
		}
	}
}

func (m *machine) done(t *rapid.T) {
	for ticket := range m.placed {
		outcome := rapid.SampledFrom([]dispatch.Outcome{
			dispatch.Completed, dispatch.Completed, dispatch.Failed, dispatch.Died, dispatch.NotSent, dispatch.AnsweredLeaving, dispatch.Unreachable,
		}).Draw(t, "outcome")
		m.q.Done(m.now, ticket, outcome, record.Usage{Prompt: 100, Completion: 50})
		delete(m.placed, ticket)
		return
	}
}

// updateTargets applies a random list of targets.
func (m *machine) updateTargets(t *rapid.T) {
	l := []dispatch.Target{}
	clear(m.targets)
	for _, id := range []ids.TargetID{"a", "b", "c"} {
		if rapid.IntRange(0, 5).Draw(t, "listed") == 0 {
			continue
		}
		u := dispatch.Target{
			ID: id, State: rapid.SampledFrom([]dispatch.State{dispatch.Live, dispatch.Live, dispatch.Leaving, dispatch.Dead}).Draw(t, "state"),
			Running: rapid.IntRange(0, 5).Draw(t, "running"), ReportedAt: m.now.Add(-second),
		}
		m.targets[id] = u
		l = append(l, u)
	}
	m.q.UpdateTargets(m.now, l)
}

// Guards against more than maxInFlight calls at a target, calls on targets that are not live, and items that get lost or
// end twice.
func TestQueueKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := rapid.SampledFrom([]string{"fair", "roundRobin", "leastInFlight", "sticky"}).Draw(t, "policy")
		o := options(policy, rapid.IntRange(1, 4).Draw(t, "maxInFlight"))
		o.MaxQueued = 30
		q, err := dispatch.New(o)
		if err != nil {
			t.Fatal(err)
		}
		m := &machine{
			q: q, now: epoch, limit: o.MaxInFlight, waiting: map[dispatch.Ticket]dispatch.Item{},
			placed: map[dispatch.Ticket]ids.TargetID{}, targets: map[ids.TargetID]dispatch.Target{},
		}
		m.updateTargets(t)
		t.Repeat(map[string]func(*rapid.T){
			// Enqueue has two entries, so that it is drawn more often than the other operations.
			"enqueue": m.enqueue, "enqueueToo": m.enqueue, "next": m.place, "done": m.done, "list": m.updateTargets,
			"cancel": func(t *rapid.T) {
				for ticket := range m.waiting {
					if !m.q.Cancel(m.now, ticket) {
						t.Fatalf("Cancel did not find the waiting item %d", ticket)
					}
					delete(m.waiting, ticket)
					return
				}
			},
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
				m.q.DropOld(m.now)
			},
			// rapid runs the entry without a name after every operation.
			"": func(t *rapid.T) {
				s := m.q.Snapshot(m.now)
				if s.Queued != len(m.waiting) || s.Placed != len(m.placed) {
					t.Fatalf("%d waiting and %d placed, expected %d and %d", s.Queued, s.Placed, len(m.waiting), len(m.placed))
				}
				for _, w := range s.Workspaces {
					if w.Queued == 0 && w.Running == 0 && (w.Load > 1 || w.Load < -1) {
						t.Fatalf("workspace %s has a load of %g without items", w.ID, w.Load)
					}
				}
			},
		})
	})
}

// Guards against an item of a program with much attained service that waits forever behind new small programs.
func TestNoItemStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, err := dispatch.New(options("fair", 1))
		if err != nil {
			t.Fatal(err)
		}
		q.UpdateTargets(epoch, live("a"))
		// One call a second arrives and one is served.
		items := map[dispatch.Ticket]dispatch.Item{}
		add := func(now time.Time, n dispatch.Ticket, program string, tokens int) {
			it := item(n, "ws", ids.Tokens(tokens))
			it.Program = ids.ProgramID(program)
			items[n] = it
			q.Enqueue(now, it)
		}
		add(epoch, 1, "old", rapid.IntRange(1, 1_000_000).Draw(t, "attained"))
		backlog := rapid.IntRange(0, 20).Draw(t, "backlog")
		running := q.Next(epoch)[0].Ticket
		for i := range 100 {
			now := at(time.Duration(i+1) * second)
			complete(q, now, items[running])
			if i == 0 {
				for n := range backlog {
					add(now, dispatch.Ticket(1000+n), fmt.Sprint("first", n), 10)
				}
				add(now, 2, "old", 10)
			}
			add(now, dispatch.Ticket(3+i), fmt.Sprint("new", i), rapid.IntRange(1, 100).Draw(t, "tokens"))
			running = q.Next(now)[0].Ticket
			if running == 2 {
				return
			}
		}
		t.Fatalf("not served in 100 s behind a backlog of %d", backlog)
	})
}

// Guards against unfairness that grows with time between workspaces that always have items waiting.
func TestBacklogUnfairnessIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxTokens = 5000
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		q, err := dispatch.New(options("fair", slots))
		if err != nil {
			t.Fatal(err)
		}
		q.UpdateTargets(epoch, live("a"))
		weights := rapid.SliceOfN(rapid.Float64Range(0.5, 4), 2, 5).Draw(t, "weights")
		items := map[dispatch.Ticket]dispatch.Item{}
		add := func(ws int) {
			it := item(dispatch.Ticket(len(items)), ids.WorkspaceID(fmt.Sprint("ws", ws)), ids.Tokens(rapid.IntRange(1, maxTokens-100).Draw(t, "tokens")))
			it.Weight = weights[ws]
			items[it.Ticket] = it
			q.Enqueue(epoch, it)
		}
		for ws := range weights {
			for range slots + 1 {
				add(ws)
			}
		}
		served := make([]float64, len(weights))
		running := []dispatch.Ticket{}
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			for _, p := range q.Next(epoch) {
				it := items[p.Ticket]
				var ws int
				fmt.Sscanf(string(it.Workspace), "ws%d", &ws)
				served[ws] += float64(it.Prompt+it.Output) / it.Weight
				running = append(running, p.Ticket)
				add(ws)
			}
			n := rapid.IntRange(0, len(running)-1).Draw(t, "end")
			complete(q, epoch, items[running[n]])
			running = append(running[:n], running[n+1:]...)
			for i, a := range served {
				for j, b := range served {
					if a-b > maxTokens/weights[i]+maxTokens/weights[j] {
						t.Fatalf("workspace %d got %g tokens by weight and workspace %d got %g, weights %v", i, a, j, b, weights)
					}
				}
			}
		}
	})
}

// BenchmarkEnqueueNext measures the replacement of a completed call: Done, Enqueue and Next.
func BenchmarkEnqueueNext(b *testing.B) {
	for _, targets := range []int{10, 100} {
		for _, queued := range []int{10, 100, 1000} {
			b.Run(fmt.Sprintf("targets=%d/queued=%d", targets, queued), func(b *testing.B) {
				q, err := dispatch.New(options("fair", 1))
				if err != nil {
					b.Fatal(err)
				}
				list := []dispatch.Target{}
				for n := range targets {
					list = append(list, dispatch.Target{ID: ids.TargetID(fmt.Sprint("t", n)), State: dispatch.Live, ReportedAt: epoch})
				}
				q.UpdateTargets(epoch, list)
				n := dispatch.Ticket(0)
				add := func() {
					it := item(n, ids.WorkspaceID(fmt.Sprint("ws", n%8)), 1000)
					q.Enqueue(epoch, it)
					n++
				}
				for range targets + queued {
					add()
				}
				running := tickets(q.Next(epoch))
				b.ReportAllocs()
				for b.Loop() {
					q.Done(epoch, running[0], dispatch.Completed, record.Usage{Prompt: 1000, Completion: 100})
					add()
					running = append(running[1:], tickets(q.Next(epoch))...)
				}
			})
		}
	}
}
