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
	// tick bounds how late a decision that depends on time alone is taken.
	tick = 20 * time.Millisecond
	// loadInterval is how often the targets of a pool are asked for their load.
	loadInterval = 500 * time.Millisecond
	loadTimeout  = time.Second
	// poolIdle is how long a pool is kept here after its last call.
	poolIdle = time.Minute
	// dropInterval is how often a queue forgets idle programs, workspaces and cache hints.
	dropInterval = 5 * time.Second
	// placedSlack is how long after its deadline a placed call without an ending still counts as in flight.
	placedSlack = 5 * time.Second
)

// pool is the queue of one model pool or service pool at this instance.
type pool struct {
	id      ids.PoolID
	reports bool
	caches  *caches
	logger  *zap.Logger

	mu      sync.Mutex
	queue   *dispatch.Queue
	next    dispatch.Ticket
	waiting map[dispatch.Ticket]chan peer.Placed
	placed  map[dispatch.Ticket]placed
	failing map[ids.TargetID]struct{}
	targets map[ids.TargetID]dispatch.Target
	address map[ids.TargetID]string
	used    time.Time
	dropped time.Time
}

// placed is an item that waits or is at a target.
type placed struct {
	deadline time.Time
	target   ids.TargetID
}

// Serve waits for a target as the dispatcher of a pool.
func (d *Dispatcher) Serve(ctx context.Context, ask peer.Place) peer.Placed {
	p, err := d.pool(ask.Pool)
	if err != nil {
		return peer.Placed{Refusal: &peer.Refusal{Code: peer.CodeNoTarget, Run: peer.NotRun, Message: err.Error()}}
	}
	ask.Item.Deadline = time.Now().Add(time.Duration(ask.DeadlineMillis) * time.Millisecond)
	ticket, answer := p.enqueue(ask.Item)
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
	}
	if p.abandon(ticket) {
		return peer.Placed{Refusal: &peer.Refusal{Code: peer.CodeDeadline, Run: peer.NotRun, Message: "the deadline passed while the call waited for a target"}}
	}
	return <-answer
}

// End takes the ending of a placement.
func (d *Dispatcher) End(e peer.Done) {
	d.mu.Lock()
	p := d.pools[e.Pool]
	d.mu.Unlock()
	if p != nil {
		p.end(e)
	}
}

// pool returns the queue of a pool, and starts it at its first use.
func (d *Dispatcher) pool(id ids.PoolID) (p *pool, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p = d.pools[id]; p != nil {
		return p, nil
	}
	options, reports := d.Options(id)
	queue, err := dispatch.New(options)
	if err != nil {
		return nil, err
	}
	p = &pool{
		id:      id,
		reports: reports,
		caches:  newCaches(),
		queue:   queue,
		waiting: map[dispatch.Ticket]chan peer.Placed{},
		placed:  map[dispatch.Ticket]placed{},
		failing: map[ids.TargetID]struct{}{},
		logger:  d.Logger,
		targets: map[ids.TargetID]dispatch.Target{},
		address: map[ids.TargetID]string{},
		used:    time.Now(),
	}
	p.list(time.Now(), d.listed())
	d.pools[id] = p
	return p, nil
}

func (d *Dispatcher) listed() []instancelist.Instance {
	targets, _ := d.Members.Targets()
	return targets
}

// RunPools drives the queues of this instance until ctx ends.
func (d *Dispatcher) RunPools(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	_, changed := d.Members.Targets()
	loads, caches := time.Time{}, time.Time{}
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
			d.adopt()
		}
		for _, p := range d.all() {
			if listed {
				p.list(now, d.listed())
			}
			if askLoads && p.reports {
				d.askLoads(ctx, p)
			}
			if askCaches && p.reports {
				d.follow(ctx, p)
			}
			p.tick(now)
		}
	}
}

// adopt starts the queues of the model pools that fall to this instance, so that their engines' caches are followed
// before the first call.
func (d *Dispatcher) adopt() {
	for _, id := range d.ModelPools() {
		if d.dispatcherOf(id, nil) != d.Self {
			continue
		}
		if _, err := d.pool(id); err != nil {
			d.Logger.Warn("start the queue of a pool", zap.String("pool", string(id)), zap.Error(err))
		}
	}
}

func (d *Dispatcher) all() []*pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	pools := make([]*pool, 0, len(d.pools))
	for id, p := range d.pools {
		if p.unused(time.Now()) && !(p.reports && d.dispatcherOf(id, nil) == d.Self) {
			delete(d.pools, id)
			continue
		}
		pools = append(pools, p)
	}
	return pools
}

func (d *Dispatcher) askLoads(ctx context.Context, p *pool) {
	for target, address := range p.addresses() {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, loadTimeout)
			defer cancel()
			asked := time.Now()
			if l, err := d.Engines.Load(ctx, address); err == nil {
				p.load(asked, target, l.Running, l.Waiting, l.CacheUsed+l.CacheFree, l.Leaving)
			}
		}()
	}
}

func (p *pool) enqueue(it dispatch.Item) (dispatch.Ticket, <-chan peer.Placed) {
	now := time.Now()
	answer := make(chan peer.Placed, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used = now
	p.next++
	it.Ticket = p.next
	p.waiting[it.Ticket] = answer
	p.placed[it.Ticket] = placed{deadline: it.Deadline}
	p.refuse(now, p.queue.Enqueue(now, it))
	p.place(now)
	return it.Ticket, answer
}

// abandon takes a waiting item out of the queue. It reports false if the item has been answered.
func (p *pool) abandon(t dispatch.Ticket) bool {
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
	p.note(target, e.Outcome)
	p.place(now)
}

// note logs when a target begins or ceases to fail.
func (p *pool) note(target ids.TargetID, o dispatch.Outcome) {
	_, failing := p.failing[target]
	fields := []zap.Field{zap.String("target", string(target)), zap.String("pool", string(p.id))}
	switch {
	case (o == dispatch.Died || o == dispatch.Unreachable) && !failing:
		events.Log(p.logger, events.TargetDead, fields...)
	case o == dispatch.TargetLeft && !failing:
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

func (p *pool) tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse(now, p.queue.Expire(now))
	if now.Sub(p.dropped) >= dropInterval {
		p.dropped = now
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

// list takes over the platform's list of targets.
func (p *pool) list(now time.Time, listed []instancelist.Instance) {
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
	p.update(now)
}

func (p *pool) load(reported time.Time, id ids.TargetID, running, waiting int, capacity ids.Tokens, leaving bool) {
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
	p.update(time.Now())
}

func (p *pool) update(now time.Time) {
	all := make([]dispatch.Target, 0, len(p.targets))
	for _, t := range p.targets {
		all = append(all, t)
	}
	p.queue.UpdateTargets(now, all)
	p.place(now)
}

func (p *pool) unused(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.placed) == 0 && now.Sub(p.used) > poolIdle
}

// Status returns the state of the queues at this instance.
func (d *Dispatcher) Status(now time.Time) map[ids.PoolID]dispatch.Snapshot {
	status := map[ids.PoolID]dispatch.Snapshot{}
	for _, p := range d.all() {
		p.mu.Lock()
		status[p.id] = p.queue.Snapshot(now)
		p.mu.Unlock()
	}
	return status
}

var noUsage record.Usage
