package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// Queue holds the calls before one model pool.
type Queue struct {
	opt    Options
	policy Policy

	entries        map[Ticket]*entry
	oldest, newest *entry
	queued         int

	workspaces map[ids.WorkspaceID]*workspace
	targets    map[ids.TargetID]*target
	order      []*target // by id, for the same decisions from the same input
	listKnown  bool
	hints      hints

	virtual float64 // virtual time of the workspace served last
	service float64 // mean duration of a call in seconds; 0 before the first completion
	output  float64 // mean generated tokens of a call
	round   uint64
}

// New returns an empty queue.
func New(o Options) (q *Queue, err error) {
	o = o.withDefaults()
	if err := o.validate(); err != nil {
		return nil, fmt.Errorf("dispatch options: %w", err)
	}
	policy, err := NewPolicy(o.Policy)
	if err != nil {
		return nil, fmt.Errorf("dispatch options: %w", err)
	}
	return &Queue{
		opt: o, policy: policy,
		entries:    make(map[Ticket]*entry),
		workspaces: make(map[ids.WorkspaceID]*workspace),
		targets:    make(map[ids.TargetID]*target),
		hints:      make(hints),
	}, nil
}

// Enqueue adds an item and returns those that are refused for it: the item itself, or items of workspaces that are
// beyond their share.
func (q *Queue) Enqueue(now time.Time, it Item) (refused []Refusal) {
	if q.entries[it.Ticket] != nil {
		return []Refusal{{Ticket: it.Ticket, Reason: ReasonDuplicate, RetryAt: now}}
	}
	if !it.Deadline.After(now) {
		return []Refusal{{Ticket: it.Ticket, Reason: ReasonExpired, RetryAt: now}}
	}
	if it.Weight <= 0 {
		it.Weight = 1
	}
	e := &entry{item: it, arrived: now, ws: q.workspace(now, it)}
	e.prog = e.ws.program(now, it)
	e.est = q.estimate(it)
	q.push(e)
	return q.shed(now, e)
}

// Next places the items that go to targets now.
func (q *Queue) Next(now time.Time) (placed []Placement) {
	if q.queued == 0 || !q.hasRoom(now) {
		return nil
	}
	q.policy.begin(now, q)
	for q.queued > 0 {
		e, t := q.policy.pick(now, q)
		if e == nil {
			break
		}
		placed = append(placed, q.place(now, e, t))
	}
	return placed
}

// Done ends a placed item. The usage is that of a completed call.
func (q *Queue) Done(now time.Time, ticket Ticket, outcome Outcome, u record.Usage) {
	e := q.entries[ticket]
	if e == nil || e.target == nil {
		return
	}
	delete(q.entries, ticket)
	t := e.target
	t.count(now, -1)
	t.end(now, outcome)
	served := 0.0
	switch outcome {
	case Completed:
		took := now.Sub(e.placed)
		t.learn(q.opt, took, u)
		t.stored += float64(u.Total() - u.Cached)
		q.service = mean(q.service, took.Seconds())
		q.output = mean(q.output, float64(u.Completion))
		q.hints.store(now, e.item.Prefix, t, u.Total())
		served = float64(u.Total() - u.Cached)
	case Failed, Died:
		served = e.charged
	}
	q.settle(now, e, served)
	if outcome == Died {
		q.hints.forget(t)
	}
	q.dropUnlisted(t)
}

// Cancel removes a waiting item, or a placed one that did not reach its target. It reports whether the item was there.
func (q *Queue) Cancel(now time.Time, ticket Ticket) bool {
	e := q.entries[ticket]
	if e == nil {
		return false
	}
	if e.target != nil {
		q.Done(now, ticket, Unsent, record.Usage{})
		return true
	}
	q.remove(e)
	return true
}

// UpdateTargets takes over the instance list and the load reports. Targets that are not in the list get no new items.
func (q *Queue) UpdateTargets(now time.Time, list []Target) {
	for _, t := range q.order {
		t.listed = slices.ContainsFunc(list, func(u Target) bool { return u.ID == t.id })
	}
	for _, u := range list {
		t := q.targets[u.ID]
		if t == nil {
			t = newTarget(u.ID)
			q.targets[u.ID] = t
			q.order = append(q.order, t)
		}
		t.update(now, q, u, !q.listKnown)
	}
	q.listKnown = q.listKnown || len(list) > 0
	for _, t := range slices.Clone(q.order) {
		q.dropUnlisted(t)
	}
	slices.SortFunc(q.order, func(a, b *target) int { return cmp.Compare(a.id, b.id) })
}

// CacheEvent takes over a target's report about its prefix cache. Events may be late or missing.
func (q *Queue) CacheEvent(now time.Time, ev CacheEvent) {
	t := q.targets[ev.Target]
	if t == nil {
		return
	}
	switch ev.Change {
	case CacheStored:
		q.hints.store(now, ev.Prefix, t, ev.Tokens)
	case CacheEvicted:
		q.hints.evict(ev.Prefix, t)
	case CacheLost:
		q.hints.forget(t)
	}
}

// EndProgram forgets what a root program attained and where its prefix is cached.
func (q *Queue) EndProgram(ws ids.WorkspaceID, root ids.ProgramID, prefixes ...PrefixKey) {
	if w := q.workspaces[ws]; w != nil {
		if p := w.programs[root]; p != nil && p.oldest == nil && p.running == 0 {
			delete(w.programs, root)
		}
	}
	for _, p := range prefixes {
		delete(q.hints, p)
	}
}

// Expire refuses the waiting items whose deadline has passed and drops state that is no longer of use. Call it at least
// once a second.
func (q *Queue) Expire(now time.Time) (refused []Refusal) {
	for e := q.oldest; e != nil; {
		newer := e.newer
		if !e.item.Deadline.After(now) {
			q.remove(e)
			refused = append(refused, Refusal{Ticket: e.item.Ticket, Reason: ReasonExpired, RetryAt: now})
		}
		e = newer
	}
	q.dropIdle(now)
	q.hints.drop(now, q.opt.HintHalfLife)
	return refused
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.queued }

func (q *Queue) push(e *entry) {
	q.entries[e.item.Ticket] = e
	e.older = q.newest
	if q.newest != nil {
		q.newest.newer = e
	} else {
		q.oldest = e
	}
	q.newest = e
	q.queued++
	if e.ws.queued == 0 && e.ws.running == 0 {
		q.resume(e.ws)
	}
	e.ws.push(e)
	e.ws.load += e.est
}

// unlink takes an item out of the waiting ones.
func (q *Queue) unlink(e *entry) {
	if e.older != nil {
		e.older.newer = e.newer
	} else {
		q.oldest = e.newer
	}
	if e.newer != nil {
		e.newer.older = e.older
	} else {
		q.newest = e.older
	}
	e.older, e.newer = nil, nil
	q.queued--
	e.ws.remove(e)
}

func (q *Queue) remove(e *entry) {
	delete(q.entries, e.item.Ticket)
	q.unlink(e)
	e.ws.load -= e.est
}

func (q *Queue) place(now time.Time, e *entry, t *target) Placement {
	cached := q.hints.cached(now, q.opt.HintHalfLife, e.item, t)
	q.unlink(e)
	e.target, e.placed = t, now
	t.count(now, 1)
	e.ws.running++
	e.prog.running++
	q.charge(e, max(e.est-float64(cached), 0))
	return Placement{Ticket: e.item.Ticket, Target: t.id, Cached: cached}
}

// hasRoom reports whether any target admits one more call.
func (q *Queue) hasRoom(now time.Time) bool {
	return slices.ContainsFunc(q.order, func(t *target) bool { return t.inFlight() < t.allowed(now, q) })
}

// dropUnlisted forgets a target that left the list, once its calls have ended.
func (q *Queue) dropUnlisted(t *target) {
	if t.listed || t.own > 0 {
		return
	}
	q.hints.forget(t)
	delete(q.targets, t.id)
	q.order = slices.DeleteFunc(q.order, func(o *target) bool { return o == t })
}
