package dispatcher

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/instancelist"
	"github.com/comfreylink/comfreylink/internal/peer"
	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

const (
	// tick is the interval at which the queues act on the passing of time alone, such as on deadlines.
	tick = 20 * time.Millisecond
	// loadInterval is how often the targets of a pool are asked for their load.
	loadInterval = 500 * time.Millisecond
	loadTimeout  = time.Second
	// poolIdleTimeout is how long a pool's queue is kept after its last call.
	poolIdleTimeout = time.Minute
	// dropInterval is how often a queue drops idle programs, workspaces and cache hints.
	dropInterval = 5 * time.Second
	// placedSlack is how long after its deadline a placed call whose end was not reported still counts as in flight.
	placedSlack = 5 * time.Second
)

// pool is the queue of one model pool or service pool at this instance.
type pool struct {
	id ids.PoolID
	// reportsLoad says that the targets are engines, which report their load.
	reportsLoad bool
	caches      *caches
	logger      *zap.Logger

	mu    sync.Mutex
	queue *dispatch.Queue
	// lastTicket is the ticket of the last item that was queued.
	lastTicket dispatch.Ticket
	// waiting holds the answer channels of the items in the queue.
	waiting map[dispatch.Ticket]chan peer.Placed
	// placed holds the calls in the queue and those at targets.
	placed map[dispatch.Ticket]placed
	// failing holds the targets whose failure or leaving was logged and that have not completed a call since.
	failing  map[ids.TargetID]struct{}
	targets  map[ids.TargetID]dispatch.Target
	address  map[ids.TargetID]string
	lastUsed time.Time
	lastDrop time.Time
}

// placed is a call that waits in the queue or runs at a target.
type placed struct {
	deadline time.Time
	// target is empty while the call is in the queue.
	target ids.TargetID
}

// Serve answers a request for a target of a pool whose queue this instance holds. It blocks until the queue has placed
// or refused the item, or ctx ends.
func (d *Dispatcher) Serve(ctx context.Context, request peer.Place) peer.Placed {
	p, err := d.pool(request.Pool)
	if err != nil {
		return peer.Placed{Refusal: &peer.Refusal{Code: peer.CodeNoTarget, Run: peer.NotRun, Message: err.Error()}}
	}
	request.Item.Deadline = time.Now().Add(time.Duration(request.DeadlineMillis) * time.Millisecond)
	ticket, answer := p.enqueue(request.Item)
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
	}
	if p.cancel(ticket) {
		return peer.Placed{Refusal: &peer.Refusal{Code: peer.CodeDeadline, Run: peer.NotRun, Message: "the deadline passed while the call waited for a target"}}
	}
	return <-answer
}

// End ends a placement in a queue that this instance holds.
func (d *Dispatcher) End(e peer.Done) {
	d.mu.Lock()
	p := d.pools[e.Pool]
	d.mu.Unlock()
	if p != nil {
		p.end(e)
	}
}

// pool returns the queue of a pool. It creates the queue if there is none.
func (d *Dispatcher) pool(id ids.PoolID) (p *pool, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p = d.pools[id]; p != nil {
		return p, nil
	}
	options, reportsLoad := d.Options(id)
	queue, err := dispatch.New(options)
	if err != nil {
		return nil, err
	}
	p = &pool{
		id:          id,
		reportsLoad: reportsLoad,
		caches:      newCaches(),
		queue:       queue,
		waiting:     map[dispatch.Ticket]chan peer.Placed{},
		placed:      map[dispatch.Ticket]placed{},
		failing:     map[ids.TargetID]struct{}{},
		logger:      d.Logger,
		targets:     map[ids.TargetID]dispatch.Target{},
		address:     map[ids.TargetID]string{},
		lastUsed:    time.Now(),
	}
	p.applyList(time.Now(), d.listed())
	d.pools[id] = p
	return p, nil
}

// listed returns the targets on the platform's list.
func (d *Dispatcher) listed() []instancelist.Instance {
	targets, _ := d.Members.Targets()
	return targets
}

// RunPools updates the queues of this instance until ctx ends: it applies changes of the target list, reads the loads
// and the caches of engines, and places or refuses waiting calls as time passes.
func (d *Dispatcher) RunPools(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	_, changed := d.Members.Targets()
	loads, caches := time.Time{}, time.Time{} // when each was last asked for
	for {
		listed := false
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			_, changed = d.Members.Targets()
			listed = true
		case <-ticker.C:
		}
		now := time.Now()
		askLoads := now.Sub(loads) >= loadInterval
		if askLoads {
			loads = now
		}
		askCaches := now.Sub(caches) >= cacheInterval
		if askCaches {
			caches = now
			d.startModelPools()
		}
		for _, p := range d.activePools() {
			if listed {
				p.applyList(now, d.listed())
			}
			if askLoads && p.reportsLoad {
				d.askLoads(ctx, p)
			}
			if askCaches && p.reportsLoad {
				d.updateCaches(ctx, p)
			}
			p.tick(now)
		}
	}
}

// startModelPools creates the queues of the model pools for which this instance is the dispatcher, so that the caches
// of their engines are read before the first call.
func (d *Dispatcher) startModelPools() {
	for _, id := range d.ModelPools() {
		if d.dispatcherOf(id, nil) != d.Self {
			continue
		}
		if _, err := d.pool(id); err != nil {
			d.Logger.Warn("cannot start the queue of a pool", zap.String("pool", string(id)), zap.Error(err))
		}
	}
}

// activePools returns the pools of this instance and drops those that are no longer used.
func (d *Dispatcher) activePools() []*pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	pools := make([]*pool, 0, len(d.pools))
	for id, p := range d.pools {
		if p.unused(time.Now()) && !(p.reportsLoad && d.dispatcherOf(id, nil) == d.Self) {
			delete(d.pools, id)
			continue
		}
		pools = append(pools, p)
	}
	return pools
}

// askLoads reads the load of each engine of a pool in the background.
func (d *Dispatcher) askLoads(ctx context.Context, p *pool) {
	for target, address := range p.addresses() {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, loadTimeout)
			defer cancel()
			asked := time.Now()
			if l, err := d.Engines.Load(ctx, address); err == nil {
				p.applyLoad(asked, target, l.Running, l.Waiting, l.CacheUsed+l.CacheFree, l.Leaving)
			}
		}()
	}
}

// enqueue adds an item to the queue. The channel receives its placement or refusal.
func (p *pool) enqueue(it dispatch.Item) (dispatch.Ticket, <-chan peer.Placed) {
	now := time.Now()
	answer := make(chan peer.Placed, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastUsed = now
	p.lastTicket++
	it.Ticket = p.lastTicket
	p.waiting[it.Ticket] = answer
	p.placed[it.Ticket] = placed{deadline: it.Deadline}
	p.refuse(now, p.queue.Enqueue(now, it))
	p.place(now)
	return it.Ticket, answer
}

// cancel removes a waiting item from the queue. It returns false if the item has already been placed or refused.
func (p *pool) cancel(t dispatch.Ticket) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.waiting[t]; !ok {
		return false
	}
	delete(p.waiting, t)
	delete(p.placed, t)
	p.queue.Cancel(time.Now(), t)
	return true
}

// end ends a placement and frees its place at the target.
func (p *pool) end(e peer.Done) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.placed[e.Ticket]; !ok {
		return
	}
	target := p.placed[e.Ticket].target
	delete(p.placed, e.Ticket)
	p.queue.Done(now, e.Ticket, e.Outcome, e.Usage)
	p.logTargetChange(target, e.Outcome)
	p.place(now)
}

// logTargetChange logs when a target starts to fail, leaves, or completes a call again.
func (p *pool) logTargetChange(target ids.TargetID, o dispatch.Outcome) {
	_, failing := p.failing[target]
	fields := []zap.Field{zap.String("target", string(target)), zap.String("pool", string(p.id))}
	switch {
	case (o == dispatch.Died || o == dispatch.Unreachable) && !failing:
		events.Log(p.logger, events.TargetDead, fields...)
	case o == dispatch.AnsweredLeaving && !failing:
		events.Log(p.logger, events.TargetLeaving, fields...)
	case o == dispatch.Completed && failing:
		delete(p.failing, target)
		events.Log(p.logger, events.TargetBack, fields...)
		return
	default:
		return
	}
	p.failing[target] = struct{}{}
}

// tick refuses expired items, drops old entries of the queue, ends placements whose end was never reported, and places
// waiting items.
func (p *pool) tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse(now, p.queue.Expire(now))
	if now.Sub(p.lastDrop) >= dropInterval {
		p.lastDrop = now
		p.queue.DropOld(now)
	}
	for t, at := range p.placed {
		if _, waits := p.waiting[t]; !waits && now.Sub(at.deadline) > placedSlack {
			delete(p.placed, t)
			p.queue.Done(now, t, dispatch.Failed, noUsage)
		}
	}
	p.place(now)
}

// place answers the items that the queue has placed at targets.
func (p *pool) place(now time.Time) {
	for _, pl := range p.queue.Next(now) {
		answer, ok := p.waiting[pl.Ticket]
		if !ok {
			p.queue.Cancel(now, pl.Ticket)
			continue
		}
		delete(p.waiting, pl.Ticket)
		p.placed[pl.Ticket] = placed{deadline: p.placed[pl.Ticket].deadline, target: pl.Target}
		answer <- peer.Placed{Target: pl.Target, Address: p.address[pl.Target], Ticket: pl.Ticket}
	}
}

var refusalCodes = map[dispatch.Reason]peer.Code{
	dispatch.ReasonDeadline: peer.CodeOverloaded,
	dispatch.ReasonShed:     peer.CodeOverloaded,
	dispatch.ReasonExpired:  peer.CodeDeadline,
	dispatch.ReasonFull:     peer.CodeOverloaded,
}

var refusalTexts = map[dispatch.Reason]string{
	dispatch.ReasonDeadline: "the estimated wait for a target exceeds the request's deadline",
	dispatch.ReasonShed:     "the pool is overloaded and the workspace is beyond its share",
	dispatch.ReasonExpired:  "the deadline passed while the call waited for a target",
	dispatch.ReasonFull:     "the queue of the pool is full",
}

// refuse answers the items that the queue has refused.
func (p *pool) refuse(now time.Time, refused []dispatch.Refusal) {
	for _, r := range refused {
		answer, ok := p.waiting[r.Ticket]
		if !ok {
			continue
		}
		delete(p.waiting, r.Ticket)
		delete(p.placed, r.Ticket)
		answer <- peer.Placed{Refusal: &peer.Refusal{
			Code:             refusalCodes[r.Reason],
			Run:              peer.NotRun,
			Message:          refusalTexts[r.Reason],
			RetryAfterMillis: max(1, r.RetryAt.Sub(now).Milliseconds()),
		}}
	}
}

// applyList replaces the pool's targets by those on the platform's list. The reported loads of known targets are kept.
func (p *pool) applyList(now time.Time, listed []instancelist.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	targets := map[ids.TargetID]dispatch.Target{}
	p.address = map[ids.TargetID]string{}
	for _, i := range listed {
		if i.Pool != p.id {
			continue
		}
		id := ids.TargetID(i.ID)
		t := p.targets[id]
		t.ID, t.Zone, t.State = id, i.Zone, dispatch.Live
		if i.State == instancelist.Leaving {
			t.State = dispatch.Leaving
		}
		targets[id] = t
		p.address[id] = i.Address
	}
	p.targets = targets
	p.updateQueue(now)
}

// applyLoad stores the load that a target reported.
func (p *pool) applyLoad(reported time.Time, id ids.TargetID, running, waiting int, capacity ids.Tokens, leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.targets[id]
	if !ok {
		return
	}
	t.Running, t.Waiting, t.ReportedAt, t.CacheCapacity = running, waiting, reported, capacity
	if leaving {
		t.State = dispatch.Leaving
	}
	p.targets[id] = t
	p.updateQueue(time.Now())
}

// updateQueue passes the targets to the queue and places waiting items.
func (p *pool) updateQueue(now time.Time) {
	all := make([]dispatch.Target, 0, len(p.targets))
	for _, t := range p.targets {
		all = append(all, t)
	}
	p.queue.UpdateTargets(now, all)
	p.place(now)
}

// unused reports whether the pool has no items and its last call is older than poolIdleTimeout.
func (p *pool) unused(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.placed) == 0 && now.Sub(p.lastUsed) > poolIdleTimeout
}

// Status returns a snapshot of each queue at this instance.
func (d *Dispatcher) Status(now time.Time) map[ids.PoolID]dispatch.Snapshot {
	status := map[ids.PoolID]dispatch.Snapshot{}
	for _, p := range d.activePools() {
		p.mu.Lock()
		status[p.id] = p.queue.Snapshot(now)
		p.mu.Unlock()
	}
	return status
}

var noUsage record.Usage
