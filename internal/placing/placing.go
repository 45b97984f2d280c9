// Package placing finds a target for a request. Each instance places by what it knows itself, which costs no message and
// uses the connections that it has, until requests wait at the targets. Then the targets of a model service are divided
// into groups, and one instance keeps the line of each: it counts the places at its targets exactly, and a program's turns
// come back to the targets that have its prompt. Where that instance does not answer, each places by itself again.
package placing

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/line"
	"github.com/comfreylink/comfreylink/internal/rpc"
	"github.com/comfreylink/comfreylink/pkg/breaker"
	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

const (
	// callSlack is how much longer than the request may wait the instance that keeps a line may take to answer.
	callSlack = 50 * time.Millisecond
	// placedSlack is how long after its deadline a request counts as placed whose end was not told.
	placedSlack = time.Second
)

// Config is what a placer needs.
type Config struct {
	Self   ids.InstanceID
	Lines  *line.Lines
	Client *rpc.Client
	Now    func() time.Time
	// Keeper returns the instance that keeps a line, and where it is called; ok is false if that is not known.
	Keeper func(name string) (id ids.InstanceID, address string, ok bool)
}

// Placer finds targets. It is safe for concurrent use.
type Placer struct {
	Config
	next atomic.Int64

	mu       sync.Mutex
	placed   map[string]*kept
	breakers map[ids.InstanceID]*breaker.Breaker
	targets  map[ids.TargetID]call.Target
}

// New returns a placer.
func New(c Config) *Placer {
	return &Placer{
		Config: c, placed: make(map[string]*kept), breakers: make(map[ids.InstanceID]*breaker.Breaker),
		targets: make(map[ids.TargetID]call.Target),
	}
}

// Place is a target that a request may be sent to. Exactly one call of Done follows.
type Place struct {
	Target call.Target
	Cached ids.Tokens
	Waited time.Duration
	// Keeper is the instance that keeps the line; empty if this one placed the request by itself.
	Keeper ids.InstanceID

	load func(now time.Time, l call.Load)
	done func(now time.Time, o dispatch.Outcome, u record.Usage)
}

// Load takes over what the target says of its load.
func (p *Place) Load(now time.Time, l call.Load) { p.load(now, l) }

// Done ends the request at its target.
func (p *Place) Done(now time.Time, o dispatch.Outcome, u record.Usage) { p.done(now, o, u) }

// Update takes over the registered targets.
func (p *Placer) Update(now time.Time, targets []call.Target, service func(call.ServiceName) *call.Service) {
	p.Lines.Update(now, targets, service)
	byID := make(map[ids.TargetID]call.Target, len(targets))
	for _, t := range targets {
		byID[t.ID] = t
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targets = byID
}

// Wait puts a request in line. Requests with the same affinity are placed among the same targets where there is room.
func (p *Placer) Wait(ctx context.Context, service call.ServiceName, affinity string, it dispatch.Item) (*Place, *line.Refusal) {
	groups := p.Lines.Groups(service)
	if groups == 0 || !p.Lines.Busy(p.Now(), service) {
		return p.waitHere(ctx, line.Key{Service: service}, it)
	}
	first := int(xxhash.Sum64String(affinity)%uint64(groups)) + 1
	place, r, ok := p.waitGroup(ctx, line.Key{Service: service, Group: first}, it)
	if ok && r != nil && groups > 1 && ctx.Err() == nil {
		second := int(xxhash.Sum64String(affinity+"#")%uint64(groups-1)) + 1
		if second >= first {
			second++
		}
		place, r, ok = p.waitGroup(ctx, line.Key{Service: service, Group: second}, it)
	}
	if !ok && ctx.Err() != nil {
		return nil, &line.Refusal{Reason: dispatch.ReasonExpired}
	}
	if !ok {
		return p.waitHere(ctx, line.Key{Service: service}, it)
	}
	return place, r
}

// waitHere puts a request in a line of this instance.
func (p *Placer) waitHere(ctx context.Context, key line.Key, it dispatch.Item) (*Place, *line.Refusal) {
	l, r := p.Lines.Wait(ctx, key, it)
	if r != nil {
		return nil, r
	}
	return &Place{Target: l.Target, Cached: l.Cached, Waited: l.Waited, load: l.Load, done: l.Done}, nil
}

// waitGroup puts a request in a group's line, here or at the instance that keeps it. It is not ok if that instance does
// not answer, or names a target that is not known here.
func (p *Placer) waitGroup(ctx context.Context, key line.Key, it dispatch.Item) (place *Place, r *line.Refusal, ok bool) {
	id, address, known := p.Keeper(fmt.Sprintf("line/%s/%d", key.Service, key.Group))
	if !known {
		return nil, nil, false
	}
	if id == p.Self {
		place, r = p.waitHere(ctx, key, it)
		if place != nil {
			place.Keeper = id
			own := place.load
			place.load = func(now time.Time, l call.Load) {
				own(now, l)
				p.Lines.Load(now, place.Target, l)
			}
		}
		return place, r, true
	}
	if !p.allow(id) {
		return nil, nil, false
	}
	return p.waitThere(ctx, id, address, key, it)
}

func (p *Placer) allow(id ids.InstanceID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.breakers[id]
	return b == nil || b.Allow(p.Now())
}

func (p *Placer) note(id ids.InstanceID, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.breakers[id]
	if b == nil {
		b = new(breaker.Breaker)
		p.breakers[id] = b
	}
	if err == nil {
		b.Succeeded()
		return
	}
	b.Failed(p.Now())
}

// waitThere puts a request in a line at another instance.
func (p *Placer) waitThere(ctx context.Context, id ids.InstanceID, address string, key line.Key, it dispatch.Item) (*Place, *line.Refusal, bool) {
	began := p.Now()
	ticket := fmt.Sprintf("%s/%d", p.Self, p.next.Add(1))
	wait := it.Deadline.Sub(began)
	callCtx, cancel := context.WithTimeout(ctx, wait+callSlack)
	defer cancel()
	var answer waitResult
	err := p.Client.Call(callCtx, address, methodWait, newWaitParams(ticket, key, it, wait), &answer)
	if err != nil {
		// The request may be in line or placed there; the keeper is told, and forgets it by itself if that fails.
		_ = p.Client.Notify(address, methodDone, doneParams{Ticket: ticket, Outcome: dispatch.Unsent})
		if ctx.Err() == nil {
			p.note(id, err)
		}
		return nil, nil, false
	}
	p.note(id, nil)
	if answer.Target == "" {
		return nil, &line.Refusal{Reason: answer.Reason, RetryAfter: time.Duration(answer.RetryMs) * time.Millisecond}, true
	}
	p.mu.Lock()
	target, known := p.targets[answer.Target]
	p.mu.Unlock()
	if !known {
		_ = p.Client.Notify(address, methodDone, doneParams{Ticket: ticket, Outcome: dispatch.Unsent})
		return nil, nil, false
	}
	done := doneParams{Ticket: ticket}
	return &Place{
		Target: target, Cached: answer.Cached, Waited: p.Now().Sub(began), Keeper: id,
		load: func(now time.Time, l call.Load) {
			done.Load = l
			p.Lines.Load(now, target, l)
		},
		done: func(_ time.Time, o dispatch.Outcome, u record.Usage) {
			done.Outcome, done.Usage = o, u
			// A keeper that is not told counts the place as taken until the request's deadline.
			_ = p.Client.Notify(address, methodDone, done)
		},
	}, nil, true
}
