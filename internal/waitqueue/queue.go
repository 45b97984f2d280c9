// Package waitqueue holds the requests that wait for a target, in one queue for each service.
package waitqueue

import (
	"context"
	"sync"
	"time"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
	"github.com/comfreylink/comfreylink/pkg/zonecost"
)

// cleanupInterval is how often a queue deletes its records of idle programs and its cache hints.
const cleanupInterval = 5 * time.Second

// Queues holds the queues of all services. It is safe for concurrent use.
type Queues struct {
	opt Options

	mu     sync.Mutex
	queues map[call.ServiceName]*serviceQueue

	loadsMu sync.Mutex
	loads   loadObservations
}

// New returns queues without targets.
func New(o Options) *Queues {
	return &Queues{opt: o, queues: make(map[call.ServiceName]*serviceQueue), loads: make(loadObservations)}
}

// Placement is a target that a request may be sent to. The caller must call Done exactly once.
type Placement struct {
	Target call.Target
	// Cached is how many tokens of the prompt the target probably has in its cache.
	Cached ids.Tokens
	// Expected is how long the request is expected to take at the target; 0 if nothing is known of that yet.
	Expected time.Duration
	// Waited is how long the request was in the queue.
	Waited time.Duration
	// ZoneReason says why the request leaves the zone, and ZoneCost what that was taken to cost; zero if it does not leave.
	ZoneReason zonecost.Reason
	ZoneCost   time.Duration

	serviceQueue *serviceQueue
	ticket       dispatch.Ticket
}

// Refusal says why a request got no target.
type Refusal struct {
	Reason dispatch.Reason
	// RetryAfter is the estimated time until there is capacity for the request.
	RetryAfter time.Duration
}

// waitResult ends a wait: either a placement or a refusal.
type waitResult struct {
	placement Placement
	refusal   *Refusal
}

// waiter is a request that waits.
type waiter struct {
	item   dispatch.Item
	result chan waitResult
}

// serviceQueue holds the waiting requests and the targets of one service.
type serviceQueue struct {
	opt        Options
	name       call.ServiceName
	recordLoad func(LoadObservation)

	mu          sync.Mutex
	queue       *dispatch.Queue
	targets     map[ids.TargetID]call.Target
	lastTicket  dispatch.Ticket
	waiting     map[dispatch.Ticket]waiter
	lastCleanup time.Time
}

// Update applies the list of registered targets and the current configuration of the services.
func (q *Queues) Update(now time.Time, targets []call.Target, service func(call.ServiceName) *call.Service) {
	byService := make(map[call.ServiceName][]call.Target)
	for _, t := range targets {
		byService[t.Service] = append(byService[t.Service], t)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for name := range byService {
		// Entries of other writers may name any service; only those of the configuration have requests.
		if s := service(name); s != nil && q.queues[name] == nil {
			q.queues[name] = newServiceQueue(q.opt, s, q.recordLoad)
		}
	}
	for name, sq := range q.queues {
		sq.update(now, byService[name], service(name))
	}
}

func newServiceQueue(o Options, s *call.Service, recordLoad func(LoadObservation)) *serviceQueue {
	queue, err := dispatch.New(dispatchOptions(o, s))
	if err != nil {
		panic(err) // the settings were checked when they were read
	}
	return &serviceQueue{
		opt: o, name: s.Name, recordLoad: recordLoad, queue: queue, targets: make(map[ids.TargetID]call.Target),
		waiting: make(map[dispatch.Ticket]waiter),
	}
}

func (q *serviceQueue) update(now time.Time, targets []call.Target, s *call.Service) {
	q.mu.Lock()
	defer q.mu.Unlock()
	reports := make([]dispatch.Target, 0, len(targets))
	clear(q.targets)
	for _, t := range targets {
		q.targets[t.ID] = t
		r := dispatch.Target{ID: t.ID, Zone: t.Zone, State: dispatch.Live, Slots: t.Slots + overcommit}
		if t.Draining || t.Evacuated {
			r.State = dispatch.Leaving
		}
		if s != nil && s.Engine != nil {
			r.CacheCapacity = s.Engine.CacheTokens
		}
		reports = append(reports, r)
	}
	q.queue.UpdateTargets(now, reports)
	q.refuseUnservable(now)
	q.advance(now)
}

// Wait enqueues a request and blocks until it gets a target, is refused, its deadline passes or the context ends.
func (q *Queues) Wait(ctx context.Context, service call.ServiceName, item dispatch.Item) (p Placement, r *Refusal) {
	q.mu.Lock()
	sq := q.queues[service]
	q.mu.Unlock()
	if sq == nil {
		return p, &Refusal{Reason: ReasonNoTarget, RetryAfter: noTargetRetry}
	}
	now := q.opt.Now()
	ticket, result, r := sq.enqueue(now, item)
	if r != nil {
		return p, r
	}
	timer := time.NewTimer(item.Deadline.Sub(now))
	defer timer.Stop()
	for {
		select {
		case o := <-result:
			o.placement.Waited = q.opt.Now().Sub(now)
			return o.placement, o.refusal
		case <-timer.C:
			sq.expire(q.opt.Now())
			timer.Reset(time.Millisecond)
		case <-ctx.Done():
			sq.cancel(q.opt.Now(), ticket)
			return p, &Refusal{Reason: dispatch.ReasonExpired}
		}
	}
}

func (q *serviceQueue) enqueue(now time.Time, item dispatch.Item) (dispatch.Ticket, chan waitResult, *Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if r := q.unservable(item); r != nil {
		return 0, nil, r
	}
	q.lastTicket++
	item.Ticket = q.lastTicket
	result := make(chan waitResult, 1)
	q.waiting[item.Ticket] = waiter{item: item, result: result}
	q.refuse(now, q.queue.Enqueue(now, item))
	q.advance(now)
	return item.Ticket, result, nil
}

func (q *serviceQueue) expire(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refuse(now, q.queue.Expire(now))
}

// cancel removes a request from the queue. If the request has got a target in the meantime, the target is released.
func (q *serviceQueue) cancel(now time.Time, t dispatch.Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, t)
	q.queue.Cancel(now, t)
	q.advance(now)
}

// refuse ends the waits of refused requests. The caller must hold mu.
func (q *serviceQueue) refuse(now time.Time, refused []dispatch.Refusal) {
	for _, r := range refused {
		result := q.waiting[r.Ticket].result
		delete(q.waiting, r.Ticket)
		if result != nil {
			result <- waitResult{refusal: &Refusal{Reason: r.Reason, RetryAfter: max(r.RetryAt.Sub(now), 0)}}
		}
	}
}

// advance assigns targets to all waiting requests that can be placed now. The caller must hold mu.
func (q *serviceQueue) advance(now time.Time) {
	if now.Sub(q.lastCleanup) > cleanupInterval {
		q.lastCleanup = now
		q.queue.DropOld(now)
	}
	for _, p := range q.queue.Next(now) {
		result := q.waiting[p.Ticket].result
		delete(q.waiting, p.Ticket)
		q.recordLoad(LoadObservation{Target: p.Target, Calls: q.queue.ExpectedCalls(now, p.Target), At: now})
		result <- waitResult{placement: Placement{
			Target: q.targets[p.Target], Cached: p.Cached, Expected: p.Expected, ZoneReason: p.ZoneReason, ZoneCost: p.ZoneCost, serviceQueue: q, ticket: p.Ticket,
		}}
	}
}

// Tick decides again which requests may leave the zone, and places requests that can be placed only because time has passed.
// Call it every few milliseconds.
func (q *Queues) Tick(now time.Time) {
	for _, sq := range q.all() {
		sq.mu.Lock()
		if c, changed := sq.queue.UpdateZone(now); changed && q.opt.ZoneShareChanged != nil {
			q.opt.ZoneShareChanged(sq.name, c)
		}
		if len(sq.waiting) > 0 {
			sq.advance(now)
		}
		sq.mu.Unlock()
	}
}

func (q *Queues) all() (list []*serviceQueue) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, serviceQueue := range q.queues {
		list = append(list, serviceQueue)
	}
	return list
}

// MeanDuration returns the mean duration of a service's requests at targets; 0 before the first one has ended.
func (q *Queues) MeanDuration(service call.ServiceName) time.Duration {
	q.mu.Lock()
	sq := q.queues[service]
	q.mu.Unlock()
	if sq == nil {
		return 0
	}
	sq.mu.Lock()
	defer sq.mu.Unlock()
	return sq.queue.MeanDuration()
}

// Len returns the number of waiting requests.
func (q *Queues) Len() (n int) {
	for _, sq := range q.all() {
		sq.mu.Lock()
		n += len(sq.waiting)
		sq.mu.Unlock()
	}
	return n
}

// Load applies the load that the target has reported.
func (p Placement) Load(now time.Time, load call.Load) {
	if !load.Known {
		return
	}
	p.serviceQueue.mu.Lock()
	defer p.serviceQueue.mu.Unlock()
	p.serviceQueue.queue.Load(now, p.Target.ID, load.Running, load.Waiting)
	p.serviceQueue.queue.WorkTime(p.Target.ID, load.WorkTime, now)
	p.serviceQueue.recordLoad(LoadObservation{Target: p.Target.ID, Calls: load.Running + load.Waiting, At: now, WorkTime: load.WorkTime, WorkAt: now})
}

// Hold keeps further requests from the target until a time.
func (p Placement) Hold(until time.Time) {
	p.serviceQueue.mu.Lock()
	defer p.serviceQueue.mu.Unlock()
	p.serviceQueue.queue.Hold(p.Target.ID, until)
}

// Done reports the end of the request at its target.
func (p Placement) Done(now time.Time, o dispatch.Outcome, u record.Usage) {
	p.serviceQueue.mu.Lock()
	defer p.serviceQueue.mu.Unlock()
	p.serviceQueue.queue.Done(now, p.ticket, o, u)
	p.serviceQueue.advance(now)
}
