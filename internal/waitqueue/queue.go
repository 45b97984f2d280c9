// Package waitqueue holds the requests that wait for a target, one line for each service.
package waitqueue

import (
	"context"
	"sync"
	"time"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

const (
	// forgetInterval is how often lines forget idle programs and cache hints.
	forgetInterval = 5 * time.Second
	// overcommit is how many requests beyond its slots a target may get, so that one is there when a slot is free.
	overcommit = 2
)

// Options are the settings of all lines.
type Options struct {
	Policy string
	Now    func() time.Time
}

// Queues holds the lines of all services. It is safe for concurrent use.
type Queues struct {
	opt Options

	mu    sync.Mutex
	lines map[call.ServiceName]*line

	seenMu sync.Mutex
	seen   loadObservations
}

// New returns lines without targets.
func New(o Options) *Queues {
	return &Queues{opt: o, lines: make(map[call.ServiceName]*line), seen: make(loadObservations)}
}

// Placement is a target that a request may be sent to. Exactly one of its calls to Done follows.
type Placement struct {
	Target call.Target
	Cached ids.Tokens
	// Waited is how long the request was in line.
	Waited time.Duration

	line   *line
	ticket dispatch.Ticket
}

// Refusal tells why a request got no target.
type Refusal struct {
	Reason dispatch.Reason
	// RetryAfter is when the request would fit, by the present estimate.
	RetryAfter time.Duration
}

// ReasonNoTarget says that the service has no target at all.
const ReasonNoTarget dispatch.Reason = "noTarget"

type outcome struct {
	place   Placement
	refusal *Refusal
}

type line struct {
	opt Options
	saw func(LoadObservation)

	mu        sync.Mutex
	queue     *dispatch.Queue
	targets   map[ids.TargetID]call.Target
	next      dispatch.Ticket
	waiting   map[dispatch.Ticket]chan outcome
	forgotten time.Time
}

// Update takes over the registered targets and the services in force.
func (l *Queues) Update(now time.Time, targets []call.Target, service func(call.ServiceName) *call.Service) {
	byService := make(map[call.ServiceName][]call.Target)
	for _, t := range targets {
		byService[t.Service] = append(byService[t.Service], t)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range byService {
		if l.lines[name] == nil {
			l.lines[name] = newLine(l.opt, service(name), l.saw)
		}
	}
	for name, line := range l.lines {
		line.update(now, byService[name], service(name))
	}
}

func newLine(o Options, s *call.Service, saw func(LoadObservation)) *line {
	queue, err := dispatch.New(lineOptions(o.Policy, s))
	if err != nil {
		panic(err) // the options are constants
	}
	return &line{
		opt: o, saw: saw, queue: queue, targets: make(map[ids.TargetID]call.Target), waiting: make(map[dispatch.Ticket]chan outcome),
	}
}

// lineOptions returns the options of a service's line.
func lineOptions(policy string, s *call.Service) dispatch.Options {
	options := dispatch.Options{Policy: policy}
	options.Ramp, options.Probation = 300*time.Millisecond, time.Second
	options.ForeignHalfLife = time.Second
	options.HintHalfLife = time.Minute
	// A program that has got much service is near its end, so that it does not go behind others.
	options.Share.AttainedMax = 1
	options.FirstCallMargin = overcommit
	options.ConnectSeconds, options.ConnectionKeep = connectSeconds, connectionKeep
	if s != nil && s.Engine != nil {
		options.PrefillRate, options.DecodeRate = enginePrefillRate, engineDecodeRate
	} else {
		options.PrefillRate, options.DecodeRate = enginePrefillRate, plainRate
	}
	return options
}

const (
	// connectSeconds is what a new connection to a target counts as: it may hold a slot there, and targets accept a limited
	// number from all instances.
	connectSeconds = 0.04
	// connectionKeep is how long an idle connection is used again.
	connectionKeep = 4 * time.Second
)

// What a target is assumed to do until completions show its speed.
const (
	// enginePrefillRate and engineDecodeRate are in tokens a second for one request.
	enginePrefillRate = 150_000
	engineDecodeRate  = 300
	// plainRate is in requests a second for one slot.
	plainRate = 10
)

func (l *line) update(now time.Time, targets []call.Target, s *call.Service) {
	l.mu.Lock()
	defer l.mu.Unlock()
	reports := make([]dispatch.Target, 0, len(targets))
	clear(l.targets)
	for _, t := range targets {
		l.targets[t.ID] = t
		r := dispatch.Target{ID: t.ID, Zone: t.Zone, State: dispatch.Live, Slots: t.Slots + overcommit}
		if t.Draining {
			r.State = dispatch.Leaving
		}
		if s != nil && s.Engine != nil {
			r.CacheCapacity = s.Engine.CacheTokens
		}
		reports = append(reports, r)
	}
	l.queue.UpdateTargets(now, reports)
	l.advance(now)
}

// Wait puts a request in line until it gets a target, is refused, its deadline passes or the context ends.
func (l *Queues) Wait(ctx context.Context, service call.ServiceName, it dispatch.Item) (p Placement, r *Refusal) {
	l.mu.Lock()
	line := l.lines[service]
	l.mu.Unlock()
	if line == nil {
		return p, &Refusal{Reason: ReasonNoTarget, RetryAfter: time.Second}
	}
	now := l.opt.Now()
	ticket, answer, r := line.enqueue(now, it)
	if r != nil {
		return p, r
	}
	timer := time.NewTimer(it.Deadline.Sub(now))
	defer timer.Stop()
	for {
		select {
		case o := <-answer:
			o.place.Waited = l.opt.Now().Sub(now)
			return o.place, o.refusal
		case <-timer.C:
			line.expire(l.opt.Now())
			timer.Reset(time.Millisecond)
		case <-ctx.Done():
			line.cancel(l.opt.Now(), ticket)
			return p, &Refusal{Reason: dispatch.ReasonExpired}
		}
	}
}

func (l *line) enqueue(now time.Time, it dispatch.Item) (dispatch.Ticket, chan outcome, *Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.targets) == 0 {
		return 0, nil, &Refusal{Reason: ReasonNoTarget, RetryAfter: time.Second}
	}
	l.next++
	it.Ticket = l.next
	answer := make(chan outcome, 1)
	l.waiting[it.Ticket] = answer
	l.refuse(now, l.queue.Enqueue(now, it))
	l.advance(now)
	return it.Ticket, answer, nil
}

func (l *line) expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuse(now, l.queue.Expire(now))
}

// cancel takes a request out of line. One that got a target in the meantime gives it back.
func (l *line) cancel(now time.Time, t dispatch.Ticket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, t)
	l.queue.Cancel(now, t)
	l.advance(now)
}

func (l *line) refuse(now time.Time, refused []dispatch.Refusal) {
	for _, r := range refused {
		answer := l.waiting[r.Ticket]
		delete(l.waiting, r.Ticket)
		if answer != nil {
			answer <- outcome{refusal: &Refusal{Reason: r.Reason, RetryAfter: max(r.RetryAt.Sub(now), 0)}}
		}
	}
}

// advance places what can be placed now. The caller holds the lock.
func (l *line) advance(now time.Time) {
	if now.Sub(l.forgotten) > forgetInterval {
		l.forgotten = now
		l.queue.DropOld(now)
	}
	for _, p := range l.queue.Next(now) {
		answer := l.waiting[p.Ticket]
		delete(l.waiting, p.Ticket)
		l.saw(LoadObservation{Target: p.Target, Calls: l.queue.Expected(now, p.Target), At: now})
		answer <- outcome{place: Placement{Target: l.targets[p.Target], Cached: p.Cached, line: l, ticket: p.Ticket}}
	}
}

// Tick places what only time allows. Call it every few milliseconds while Len is above 0.
func (l *Queues) Tick(now time.Time) {
	for _, line := range l.all() {
		line.mu.Lock()
		if len(line.waiting) > 0 {
			line.advance(now)
		}
		line.mu.Unlock()
	}
}

func (l *Queues) all() (list []*line) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range l.lines {
		list = append(list, line)
	}
	return list
}

// Len returns the number of waiting requests.
func (l *Queues) Len() (n int) {
	for _, line := range l.all() {
		line.mu.Lock()
		n += len(line.waiting)
		line.mu.Unlock()
	}
	return n
}

// Load takes over what the target says of its load.
func (p Placement) Load(now time.Time, load call.Load) {
	if !load.Known {
		return
	}
	p.line.mu.Lock()
	defer p.line.mu.Unlock()
	p.line.queue.Load(now, p.Target.ID, load.Running, load.Waiting)
	p.line.saw(LoadObservation{Target: p.Target.ID, Calls: load.Running + load.Waiting, At: now})
}

// Done ends a request at its target.
func (p Placement) Done(now time.Time, o dispatch.Outcome, u record.Usage) {
	p.line.mu.Lock()
	defer p.line.mu.Unlock()
	p.line.queue.Done(now, p.ticket, o, u)
	p.line.advance(now)
}
