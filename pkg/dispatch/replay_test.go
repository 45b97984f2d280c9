package dispatch

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// The replay runs many queues that share the same targets and know little of each other. A target runs replaySlots calls at
// once, queues some more in order of arrival and refuses the rest.
const (
	replayTargets    = 48
	replaySlots      = 6
	replayQueue      = 18
	replayOvercommit = 2
	replayTime       = 8 * time.Second
	replayBurstFrom  = 4 * time.Second
	replayBurstTo    = 5 * time.Second
	replaySlow       = 2.4
	replayLink       = time.Millisecond
	// replayFirstByte is when a target's answer begins, which carries its load.
	replayFirstByte = 50 * time.Millisecond
	// replayExchange is the share of calls for which a decider exchanges what it knows with another one.
	replayExchange    = 0.8
	replayExchangeAge = 100 * time.Millisecond
	replayExchangeMax = 24
)

// replayCase is what the targets are like. Load is the mean share of their capacity in use.
type replayCase struct {
	deciders int
	uneven   bool // a third is slower by replaySlow for good, and a third for times of 0.1 to 0.5 s
	reports  bool // whether answers carry the work time
	load     float64
}

func (c replayCase) String() string {
	s := fmt.Sprintf("%d deciders, ", c.deciders)
	switch {
	case !c.uneven:
		return s + "even targets"
	case !c.reports:
		return s + "uneven targets, no work time"
	}
	return s + "uneven targets"
}

type replayResult struct {
	mean, p99 float64 // completion time in seconds
	busiest   float64 // busy time of the busiest target as a multiple of the mean
	refused   int     // by targets
	waited    int     // refusals by deciders
}

type replayTarget struct {
	random  *rand.Rand
	flips   bool
	slow    float64
	until   time.Duration // end of the current speed
	running int
	busy    float64
	queue   []func(now time.Duration)
}

// speed returns the target's work time at a time. Times must not decrease by more than a call takes.
func (t *replayTarget) speed(now time.Duration) float64 {
	for t.flips && now >= t.until {
		t.until += time.Duration((0.1 + 0.4*t.random.Float64()) * float64(time.Second))
		t.slow = 1 + replaySlow - t.slow
	}
	return t.slow
}

type replayObservation struct {
	target     ids.TargetID
	calls      int
	at, workAt time.Time
	work       float64
}

type replayDecider struct {
	queue   *Queue
	known   map[ids.TargetID]replayObservation
	waiting map[Ticket]*replayCall
	ticking bool
}

type replayCall struct {
	decider *replayDecider
	program int
	began   time.Duration
	work    float64 // seconds at a target of the usual speed
	refused []ids.TargetID
}

type replayEvent struct {
	at time.Duration
	n  int
	do func(now time.Duration)
}

type replayEvents []replayEvent

func (h replayEvents) Len() int { return len(h) }
func (h replayEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].n < h[j].n
}
func (h replayEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *replayEvents) Push(x any)   { *h = append(*h, x.(replayEvent)) }
func (h *replayEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

type replay struct {
	reports  bool
	random   *rand.Rand
	events   replayEvents
	n        int
	targets  map[ids.TargetID]*replayTarget
	deciders []*replayDecider
	took     []float64
	result   replayResult
}

var replayEpoch = time.Unix(1_800_000_000, 0)

func clock(d time.Duration) time.Time { return replayEpoch.Add(d) }

func (m *replay) at(t time.Duration, do func(time.Duration)) {
	m.n++
	heap.Push(&m.events, replayEvent{t, m.n, do})
}

// run replays a case with queues whose choice of targets the function prepares.
func (c replayCase) run(seed uint64, o Options, prepare func(q *Queue, random *rand.Rand)) replayResult {
	m := &replay{reports: c.reports, random: rand.New(rand.NewPCG(seed, 1)), targets: map[ids.TargetID]*replayTarget{}}
	var list []Target
	capacity := 0.0
	for n := range replayTargets {
		t := &replayTarget{random: rand.New(rand.NewPCG(seed, uint64(n)+100)), slow: 1}
		rate := 1.0
		switch {
		case c.uneven && n%3 == 1:
			t.slow = replaySlow
			rate = 1 / replaySlow
		case c.uneven && n%3 == 2:
			t.flips = true
			rate = (1 + 1/replaySlow) / 2
		}
		capacity += rate * replaySlots
		id := ids.TargetID(fmt.Sprintf("t%02d", (n*29)%replayTargets))
		m.targets[id] = t
		list = append(list, Target{ID: id, State: Live, Slots: replaySlots + replayOvercommit, CacheCapacity: 70_000})
	}
	for n := range c.deciders {
		q, err := New(o)
		if err != nil {
			panic(err)
		}
		prepare(q, rand.New(rand.NewPCG(seed, uint64(n)+1000)))
		q.UpdateTargets(clock(-time.Minute), list)
		m.deciders = append(m.deciders, &replayDecider{queue: q, known: map[ids.TargetID]replayObservation{}, waiting: map[Ticket]*replayCall{}})
	}
	arrivals := rand.New(rand.NewPCG(seed, 2))
	const meanWork = 0.195 // of work()
	rate := c.load * capacity / meanWork
	for t := time.Duration(0); t < replayTime; {
		now := rate
		if t >= replayBurstFrom && t < replayBurstTo {
			now = 2 * rate
		}
		t += time.Duration(arrivals.ExpFloat64() / now * float64(time.Second))
		call := &replayCall{decider: m.deciders[arrivals.IntN(c.deciders)], program: arrivals.IntN(2000), began: t, work: work(arrivals)}
		m.at(t, func(now time.Duration) { m.submit(now, call) })
	}
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(replayEvent)
		e.do(e.at)
	}
	return m.summary()
}

// work returns the duration of a call in seconds at the usual speed; it grows with the events of its stream.
func work(r *rand.Rand) float64 {
	return 0.025 + 0.042*min(math.Exp(r.NormFloat64()*0.7)*3.3, 16)
}

func (m *replay) summary() replayResult {
	slices.Sort(m.took)
	busy, sum := 0.0, 0.0
	for _, v := range m.took {
		m.result.mean += v / float64(len(m.took))
	}
	for _, t := range m.targets {
		busy, sum = max(busy, t.busy), sum+t.busy
	}
	m.result.p99 = m.took[len(m.took)*99/100]
	m.result.busiest = busy / (sum / replayTargets)
	return m.result
}

func (m *replay) submit(now time.Duration, call *replayCall) {
	d := call.decider
	if m.random.Float64() < replayExchange {
		m.exchange(now, d, m.deciders[m.random.IntN(len(m.deciders))])
	}
	m.n++
	ticket := Ticket(m.n)
	d.waiting[ticket] = call
	m.refuse(now, d, d.queue.Enqueue(clock(now), Item{
		Ticket: ticket, Workspace: ids.WorkspaceID(fmt.Sprint(call.program % 40)), Program: ids.ProgramID(fmt.Sprint("p", call.program)),
		Prompt: 1000, Output: 160, Deadline: clock(now + 700*time.Millisecond), Idempotent: true, Excluded: call.refused,
	}))
	m.advance(now, d)
}

// refuse makes the callers of refused calls try again until they are served.
func (m *replay) refuse(now time.Duration, d *replayDecider, refused []Refusal) {
	for _, r := range refused {
		call := d.waiting[r.Ticket]
		delete(d.waiting, r.Ticket)
		m.result.waited++
		call.refused = nil
		m.at(now+250*time.Millisecond, func(now time.Duration) { m.submit(now, call) })
	}
}

func (d *replayDecider) learn(x replayObservation) (newer bool) {
	k := d.known[x.target]
	newCalls, newWork := x.at.After(k.at), x.work > 0 && x.workAt.After(k.workAt)
	if !newCalls {
		x.calls, x.at = k.calls, k.at
	}
	if !newWork {
		x.work, x.workAt = k.work, k.workAt
	}
	d.known[x.target] = x
	return newCalls || newWork
}

func (m *replay) exchange(now time.Duration, a, b *replayDecider) {
	share := func(from, to *replayDecider) {
		list := make([]replayObservation, 0, len(from.known))
		for _, x := range from.known {
			if clock(now).Sub(x.at) <= replayExchangeAge {
				list = append(list, x)
			}
		}
		slices.SortFunc(list, func(a, b replayObservation) int {
			if c := b.at.Compare(a.at); c != 0 {
				return c
			}
			return cmpID(a.target, b.target)
		})
		for _, x := range list[:min(len(list), replayExchangeMax)] {
			if to.learn(x) {
				to.queue.ApplyLoadObservation(x.target, x.calls, x.at)
				to.queue.WorkTime(x.target, x.work, x.workAt)
			}
		}
	}
	if a != b {
		share(a, b)
		share(b, a)
	}
}

func cmpID(a, b ids.TargetID) int {
	if a < b {
		return -1
	}
	return 1
}

func (m *replay) advance(now time.Duration, d *replayDecider) {
	m.refuse(now, d, d.queue.Expire(clock(now)))
	for _, p := range d.queue.Next(clock(now)) {
		call := d.waiting[p.Ticket]
		delete(d.waiting, p.Ticket)
		d.learn(replayObservation{target: p.Target, calls: d.queue.ExpectedCalls(clock(now), p.Target), at: clock(now)})
		m.at(now+replayLink, func(now time.Duration) { m.arrive(now, d, p, call) })
	}
	if d.queue.Len() > 0 && !d.ticking {
		d.ticking = true
		m.at(now+5*time.Millisecond, func(now time.Duration) {
			d.ticking = false
			m.advance(now, d)
		})
	}
}

// arrive lets a target run, queue or refuse a call.
func (m *replay) arrive(now time.Duration, d *replayDecider, p Placement, call *replayCall) {
	t := m.targets[p.Target]
	switch {
	case t.running < replaySlots:
		m.start(now, d, p, call)
	case len(t.queue) < replayQueue:
		t.queue = append(t.queue, func(now time.Duration) { m.start(now, d, p, call) })
	default:
		m.result.refused++
		m.at(now+replayLink, func(now time.Duration) {
			m.report(now, d, p.Target)
			d.queue.Done(clock(now), p.Ticket, TargetFull, record.Usage{})
			call.refused = append(call.refused, p.Target)
			m.submit(now, call)
		})
	}
}

// report gives a decider the load of a target.
func (m *replay) report(now time.Duration, d *replayDecider, id ids.TargetID) {
	t, x := m.targets[id], replayObservation{target: id, at: clock(now)}
	x.calls = t.running + len(t.queue)
	if m.reports {
		x.work, x.workAt = t.speed(now), clock(now)
		d.queue.WorkTime(id, x.work, x.workAt)
	}
	d.queue.Load(clock(now), id, t.running, len(t.queue))
	d.learn(x)
}

func (m *replay) start(now time.Duration, d *replayDecider, p Placement, call *replayCall) {
	t := m.targets[p.Target]
	t.running++
	// The work is done in steps, because the speed may change meanwhile.
	const step = 10 * time.Millisecond
	began, left := now, call.work
	m.at(now+replayFirstByte, func(now time.Duration) { m.report(now, d, p.Target) })
	var do func(now time.Duration)
	do = func(now time.Duration) {
		if left <= 0 {
			m.finish(now, d, p, call, began)
			return
		}
		speed := t.speed(now)
		took := min(step, time.Duration(left*speed*float64(time.Second))+1)
		left -= took.Seconds() / speed
		m.at(now+took, do)
	}
	do(now)
}

func (m *replay) finish(now time.Duration, d *replayDecider, p Placement, call *replayCall, began time.Duration) {
	t := m.targets[p.Target]
	t.running--
	t.busy += (now - began).Seconds()
	if len(t.queue) > 0 {
		next := t.queue[0]
		t.queue = t.queue[1:]
		next(now)
	}
	m.at(now+replayLink, func(now time.Duration) {
		m.took = append(m.took, (now - call.began).Seconds())
		d.queue.Done(clock(now), p.Ticket, Completed, record.Usage{Prompt: 1000, Completion: ids.Tokens(call.work * 240)})
		m.advance(now, d)
	})
}
