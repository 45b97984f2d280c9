package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/prefix"
	"github.com/comfreylink/comfreylink/pkg/record"
	"github.com/comfreylink/comfreylink/pkg/share"
	"github.com/comfreylink/comfreylink/pkg/target"
	"github.com/comfreylink/comfreylink/pkg/zonecost"
)

// Queue holds the waiting and the placed calls of one pool.
type Queue struct {
	opt      Options
	policy   Policy
	shares   *share.Queue
	targets  *target.Set
	suspects suspects

	entries        map[Ticket]*entry
	oldest, newest *entry
	queued         int

	meanSeconds float64 // mean duration of a call in seconds; 0 before the first completion
	meanOutput  float64 // mean generated tokens of a call
	meanBytes   float64 // mean bytes of an item with its answer

	zone   *zonecost.Decider
	random *rand.Rand
}

// New returns an empty queue.
func New(o Options) (q *Queue, err error) {
	o = o.withDefaults()
	if err := o.validate(); err != nil {
		return nil, fmt.Errorf("dispatch options: %w", err)
	}
	policy, err := newPolicy(o)
	if err != nil {
		return nil, fmt.Errorf("dispatch options: %w", err)
	}
	return &Queue{
		opt: o, policy: policy, entries: make(map[Ticket]*entry),
		shares: share.New(o.Share), targets: target.NewSet(o.Options), suspects: newSuspects(),
		zone:   zonecost.New(zonecost.Options{Price: o.ZonePrice, Delay: otherZoneCost}),
		random: rand.New(rand.NewPCG(o.Seed, 1)),
	}, nil
}

// Enqueue adds an item and returns the items that are refused as a result: the item itself, or waiting items of
// workspaces that exceed their share.
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
	q.meanBytes = target.Mean(q.meanBytes, float64(it.Bytes))
	e := &entry{item: it, zoneDraw: q.random.Float64(), Entry: share.Entry{
		Ticket: uint64(it.Ticket), Workspace: it.Workspace, Weight: it.Weight, Root: it.Program.Root(), Arrived: now,
		Expected: float64(it.Prompt) + q.expectedOutput(it),
	}}
	if it.Suspected && it.Fingerprint != "" {
		q.suspects.until[it.Fingerprint] = now.Add(suspicionTTL)
	}
	q.push(now, e)
	return q.shed(now, e)
}

// Next places the items that are to be sent to targets now, and returns their placements. Call it after every change, and
// every 50 ms while items wait, because an item waits only a limited time for a full target. Call Expire before it.
func (q *Queue) Next(now time.Time) (placed []Placement) {
	if q.queued == 0 || !q.hasCapacity(now) {
		return nil
	}
	q.policy.begin(q)
	for q.queued > 0 {
		e, t := q.policy.pick(now, q)
		if e == nil {
			break
		}
		placed = append(placed, q.place(now, e, t))
	}
	return placed
}

// Done records the end of a placed item. The usage counts only if the call completed.
func (q *Queue) Done(now time.Time, ticket Ticket, outcome Outcome, u record.Usage) {
	e := q.entries[ticket]
	if e == nil || e.target == nil {
		return
	}
	delete(q.entries, ticket)
	took := now.Sub(e.placed)
	e.target.End(now, outcome, took, u)
	q.suspects.ended(e)
	served := 0.0
	switch outcome {
	case Completed:
		delete(q.suspects.until, e.item.Fingerprint)
		q.meanSeconds = target.Mean(q.meanSeconds, took.Seconds())
		q.meanOutput = target.Mean(q.meanOutput, float64(u.Completion))
		q.targets.Store(now, e.item.Prefix, e.target, u.Total())
		for _, part := range e.item.Parts {
			q.targets.Store(now, part.Key, e.target, part.Tokens)
		}
		served = float64(u.Total() - u.Cached)
	case Failed, Incomplete:
		served = e.Charged()
	case Died:
		served = e.Charged()
		q.targets.ForgetCache(e.target)
		q.suspectCallsAt(now, e.target, e)
	case Unreachable:
		q.targets.ForgetCache(e.target)
	}
	q.shares.End(now, &e.Entry, served)
	q.targets.RemoveUnlisted(e.target)
}

// Cancel removes a waiting item, or a placed one that was not sent. It reports whether the queue held the item.
func (q *Queue) Cancel(now time.Time, ticket Ticket) bool {
	e := q.entries[ticket]
	if e == nil {
		return false
	}
	if e.target != nil {
		q.Done(now, ticket, NotSent, record.Usage{})
		return true
	}
	q.remove(e)
	return true
}

// UpdateTargets applies the instance list and its load reports. Targets that are not in the list get no new items.
func (q *Queue) UpdateTargets(now time.Time, list []Target) { q.targets.Update(now, list) }

// Load applies the load that a target reported with its answer to a call.
func (q *Queue) Load(now time.Time, id ids.TargetID, running, waiting int) {
	q.targets.Load(now, id, running, waiting)
}

// Hold keeps new calls from a target until a time.
func (q *Queue) Hold(id ids.TargetID, until time.Time) { q.targets.Hold(id, until) }

// ApplyLoadObservation applies a load observation of another dispatcher: the number of calls that it saw at a target, with
// the time.
func (q *Queue) ApplyLoadObservation(id ids.TargetID, calls int, at time.Time) {
	q.targets.ApplyLoadObservation(id, calls, at)
}

// WorkTime applies the work time that a target reported at a time, to this dispatcher or to another one.
func (q *Queue) WorkTime(id ids.TargetID, workTime float64, at time.Time) {
	q.targets.WorkTime(id, workTime, at)
}

// ExpectedCalls returns the estimated number of calls at a target.
func (q *Queue) ExpectedCalls(now time.Time, id ids.TargetID) int {
	return q.targets.ExpectedCalls(now, id)
}

// cached returns how many tokens of an item's prompt a target is expected to hold.
func (q *Queue) cached(now time.Time, e *entry, t *target.Target) ids.Tokens {
	if len(e.item.Parts) > 0 {
		return q.targets.CachedParts(now, e.item.Parts, t)
	}
	return q.targets.Cached(now, e.item.Prefix, e.item.PrefixTokens, t)
}

// CacheEvent applies a target's report about its prefix cache. Events may be late or missing.
func (q *Queue) CacheEvent(now time.Time, ev CacheEvent) { q.targets.Event(now, ev) }

// EndProgram discards the attained service of a root program and returns the releases of its prefixes, one for each
// target that may hold one.
func (q *Queue) EndProgram(ws ids.WorkspaceID, root ids.ProgramID, prefixes ...PrefixKey) (releases []prefix.Release) {
	q.shares.EndProgram(ws, root)
	for _, p := range prefixes {
		for _, id := range q.targets.ForgetPrefix(p) {
			releases = append(releases, prefix.Release{Target: id, Prefix: p})
		}
	}
	return releases
}

// Expire removes the waiting items whose deadline has passed and returns their refusals.
func (q *Queue) Expire(now time.Time) (refused []Refusal) {
	for e := q.oldest; e != nil; {
		newer := e.newer
		if !e.item.Deadline.After(now) {
			q.remove(e)
			refused = append(refused, Refusal{Ticket: e.item.Ticket, Reason: ReasonExpired, RetryAt: now})
		}
		e = newer
	}
	return refused
}

// DropOld drops idle programs and workspaces, old cache hints and expired suspicions. Call it every few seconds.
func (q *Queue) DropOld(now time.Time) {
	q.shares.DropIdle(now)
	q.targets.DropOld(now)
	q.suspects.dropOld(now)
}

// MeanDuration returns the mean duration of a call; 0 before the first one has completed.
func (q *Queue) MeanDuration() time.Duration {
	return time.Duration(q.meanSeconds * float64(time.Second))
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.queued }

// expectedOutput returns the number of tokens that an item is expected to generate.
func (q *Queue) expectedOutput(it Item) float64 {
	if it.Output > 0 {
		return float64(it.Output)
	}
	return max(q.meanOutput, 1)
}

func (q *Queue) push(now time.Time, e *entry) {
	q.entries[e.item.Ticket] = e
	e.older = q.newest
	if q.newest != nil {
		q.newest.newer = e
	} else {
		q.oldest = e
	}
	q.newest = e
	q.queued++
	q.shares.Push(now, &e.Entry)
}

// unlink removes an item from the list of waiting items.
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
}

func (q *Queue) remove(e *entry) {
	delete(q.entries, e.item.Ticket)
	q.unlink(e)
	q.shares.Remove(&e.Entry)
}

func (q *Queue) place(now time.Time, e *entry, t *target.Target) Placement {
	cached := q.cached(now, e, t)
	own, _ := t.Seconds(now, max(float64(e.item.Prompt-cached), 0), q.expectedOutput(e.item))
	q.unlink(e)
	q.shares.Start(&e.Entry, max(e.Expected-float64(cached), 0))
	e.target, e.placed = t, now
	q.suspects.placed(now, e)
	t.Start(now, float64(e.item.Prompt-cached))
	seconds, reason := q.zoneCost(e, t)
	expected := time.Duration(0)
	if t.Measured() {
		expected = time.Duration(own * float64(time.Second))
	}
	return Placement{
		Ticket: e.item.Ticket, Target: t.ID(), Cached: cached, Expected: expected,
		ZoneReason: reason, ZoneCost: time.Duration(seconds * float64(time.Second)),
	}
}

// hasCapacity reports whether any target may get one more call.
func (q *Queue) hasCapacity(now time.Time) bool {
	return slices.ContainsFunc(q.targets.All(), func(t *target.Target) bool { return t.HasCapacity(now) })
}
