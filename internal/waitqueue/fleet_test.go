package waitqueue

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// The constants of a model: programs call one service of engines through many instances, each with its own queue. Engines
// run a few calls at once, queue some more and refuse the rest.
const (
	modelInstances  = 114
	modelClients    = 67
	modelTargets    = 36
	modelSlots      = 6
	modelQueue      = 18
	modelWorkspaces = 80
	// modelTurns is the number of turns of a program, modelPause the time between them besides network latency.
	modelTurns   = 5
	modelPause   = 150 * time.Millisecond
	modelLatency = 27 * time.Millisecond
	// exchangeShare is the share of the calls for which an instance contacts another one and they exchange load observations.
	exchangeShare = 0.8
)

type event struct {
	at time.Time
	do func(now time.Time)
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

type modelTarget struct {
	running int
	queue   []func(now time.Time)
}

type modelInstance struct {
	queue   *dispatch.Queue
	loads   loadObservations
	waiting map[dispatch.Ticket]*modelTurn
	next    dispatch.Ticket
	ticking bool
}

type modelProgram struct {
	instance  *modelInstance
	workspace int
	id        ids.ProgramID
	began     time.Time
	turn      int
	took      []time.Duration
}

type modelTurn struct {
	program   *modelProgram
	submitted time.Time
	tries     int            // times that its instance has refused it
	refused   []ids.TargetID // targets that have refused it since the last retry
}

// fleetModel holds the state of the model and counts the results of the programs.
type fleetModel struct {
	random     *rand.Rand
	events     eventHeap
	targets    map[ids.TargetID]*modelTarget
	instances  []*modelInstance
	shareLoads bool

	waits []float64 // seconds from the submission of each turn until it runs
	// Programs by their result: all turns done within or after the objective, refused at the first turn, or at a later one.
	onTime, late, rejected, failed int
	refusedByTargets               int
}

func (m *fleetModel) at(t time.Time, do func(time.Time)) { heap.Push(&m.events, event{t, do}) }

// service returns a random duration of a turn at an engine, which grows with the number of its events.
func (m *fleetModel) service() time.Duration {
	events := min(math.Exp(m.random.NormFloat64()*0.7)*3.3, 16)
	return 25*time.Millisecond + time.Duration(events*42)*time.Millisecond
}

func (m *fleetModel) begin(now time.Time, i *modelInstance, n int) {
	p := &modelProgram{
		instance: i, id: ids.ProgramID(fmt.Sprint("p", n)), began: now,
		workspace: int(modelWorkspaces * math.Pow(m.random.Float64(), 3)),
	}
	for range modelTurns {
		p.took = append(p.took, m.service())
	}
	m.submit(now, &modelTurn{program: p, submitted: now})
}

// submit sends a turn to its instance.
func (m *fleetModel) submit(now time.Time, t *modelTurn) {
	p := t.program
	i := p.instance
	if m.shareLoads && m.random.Float64() < exchangeShare {
		m.exchange(now, i, m.instances[(p.workspace*37+11)%modelInstances])
	}
	i.next++
	i.waiting[i.next] = t
	wait := 700 * time.Millisecond
	if p.turn == 0 {
		wait = 120 * time.Millisecond
	}
	m.refuse(now, i, i.queue.Enqueue(now, dispatch.Item{
		Ticket: i.next, Workspace: ids.WorkspaceID(fmt.Sprint(p.workspace)), Program: p.id, Prompt: 1000, Output: 160,
		Deadline: now.Add(wait), Idempotent: true, Zone: "z", FirstCall: p.turn == 0, Excluded: t.refused,
	}))
	m.advance(now, i)
}

// refuse makes the callers of refused turns retry: once for the first turn of a program, twice for later ones.
func (m *fleetModel) refuse(now time.Time, i *modelInstance, refused []dispatch.Refusal) {
	for _, r := range refused {
		t := i.waiting[r.Ticket]
		delete(i.waiting, r.Ticket)
		t.tries++
		switch {
		case t.program.turn == 0 && t.tries > 1:
			m.rejected++
		case t.tries > 2:
			m.failed++
		default:
			t.refused = nil
			m.at(now.Add(700*time.Millisecond), func(now time.Time) { m.submit(now, t) })
		}
	}
}

// exchange models a call between two instances, with which they share their load observations.
func (m *fleetModel) exchange(now time.Time, a, b *modelInstance) {
	if a == b {
		return
	}
	share := func(from, to *modelInstance) {
		for _, x := range from.loads.fresh(now) {
			if to.loads.add(x) {
				to.queue.ApplyLoadObservation(x.Target, x.Calls, x.At)
			}
		}
	}
	share(a, b)
	share(b, a)
}

func (m *fleetModel) advance(now time.Time, i *modelInstance) {
	m.refuse(now, i, i.queue.Expire(now))
	for _, p := range i.queue.Next(now) {
		i.loads.add(LoadObservation{Target: p.Target, Calls: i.queue.ExpectedCalls(now, p.Target), At: now})
		m.send(now, i, p)
	}
	if i.queue.Len() > 0 && !i.ticking {
		i.ticking = true
		m.at(now.Add(5*time.Millisecond), func(now time.Time) {
			i.ticking = false
			m.advance(now, i)
		})
	}
}

func (m *fleetModel) send(now time.Time, i *modelInstance, p dispatch.Placement) {
	turn := i.waiting[p.Ticket]
	delete(i.waiting, p.Ticket)
	t := m.targets[p.Target]
	m.at(now.Add(time.Millisecond), func(now time.Time) {
		switch {
		case t.running < modelSlots:
			m.run(now, i, p, turn)
		case len(t.queue) < modelQueue:
			t.queue = append(t.queue, func(now time.Time) { m.run(now, i, p, turn) })
		default:
			m.refusedByTargets++
			i.queue.Done(now, p.Ticket, dispatch.TargetFull, record.Usage{})
			i.loads.add(LoadObservation{Target: p.Target, Calls: i.queue.ExpectedCalls(now, p.Target), At: now})
			turn.refused = append(turn.refused, p.Target)
			m.submit(now, turn)
		}
	})
}

func (m *fleetModel) run(now time.Time, i *modelInstance, p dispatch.Placement, turn *modelTurn) {
	t, program := m.targets[p.Target], turn.program
	t.running++
	m.waits = append(m.waits, now.Sub(turn.submitted).Seconds())
	took := program.took[program.turn]
	m.at(now.Add(min(50*time.Millisecond, took/2)), func(now time.Time) {
		i.queue.Load(now, p.Target, t.running, len(t.queue))
		i.loads.add(LoadObservation{Target: p.Target, Calls: t.running + len(t.queue), At: now})
	})
	m.at(now.Add(took), func(now time.Time) {
		t.running--
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			next(now)
		}
		i.queue.Done(now, p.Ticket, dispatch.Completed, record.Usage{Prompt: 1000, Completion: 40})
		m.turnEnded(now, program)
		m.advance(now, i)
	})
}

// turnEnded starts the program's next turn, or after the last one compares the program's duration with its objective.
func (m *fleetModel) turnEnded(now time.Time, p *modelProgram) {
	if p.turn++; p.turn < modelTurns {
		m.at(now.Add(modelPause+modelLatency), func(now time.Time) { m.submit(now, &modelTurn{program: p, submitted: now}) })
		return
	}
	idle := time.Duration(0)
	for _, d := range p.took {
		idle += d + modelLatency + modelPause
	}
	if now.Sub(p.began) <= idle*13/10+250*time.Millisecond {
		m.onTime++
		return
	}
	m.late++
}

// runFleet runs the model for 6 s with a rate of new programs per second, and then until all programs have ended.
func runFleet(seed uint64, rate float64, shareLoads bool, options dispatch.Options) *fleetModel {
	m := &fleetModel{random: rand.New(rand.NewPCG(seed, 1)), targets: map[ids.TargetID]*modelTarget{}, shareLoads: shareLoads}
	start := time.Unix(1000, 0)
	var list []dispatch.Target
	for n := range modelTargets {
		id := ids.TargetID(fmt.Sprintf("t%02d", n))
		m.targets[id] = &modelTarget{}
		list = append(list, dispatch.Target{ID: id, Zone: "z", State: dispatch.Live, Slots: modelSlots + overcommit, CacheCapacity: 70_000})
	}
	for n := range modelInstances {
		options.Seed = uint64(n)
		q, err := dispatch.New(options)
		if err != nil {
			panic(err)
		}
		q.UpdateTargets(start.Add(-time.Second), list)
		m.instances = append(m.instances, &modelInstance{queue: q, loads: loadObservations{}, waiting: map[dispatch.Ticket]*modelTurn{}})
	}
	clients := make([]*modelInstance, modelClients)
	for n := range clients {
		clients[n] = m.instances[m.random.IntN(modelInstances)]
	}
	end := start.Add(6 * time.Second)
	count := 0
	var begin func(now time.Time)
	begin = func(now time.Time) {
		count++
		m.begin(now, clients[m.random.IntN(modelClients)], count)
		if next := now.Add(time.Duration(m.random.ExpFloat64() / rate * float64(time.Second))); next.Before(end) {
			m.at(next, begin)
		}
	}
	m.at(start, begin)
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		e.do(e.at)
	}
	return m
}

func (m *fleetModel) String() string {
	sum := 0.0
	for _, v := range m.waits {
		sum += v
	}
	return fmt.Sprintf("mean wait %.0f ms, %d on time, %d late, %d rejected, %d failed, %d refusals by engines",
		1e3*sum/float64(len(m.waits)), m.onTime, m.late, m.rejected, m.failed, m.refusedByTargets)
}

// modelOptions returns the options of a queue before engines.
func modelOptions() dispatch.Options {
	return dispatchOptions(Options{Policy: "fair"}, &call.Service{Engine: &call.Engine{}})
}

// Guards against instances that overload some engines while others have free slots, because each instance sees only its own
// calls and all compare all engines. At the highest load of a day of a larger deployment, turns waited 0.4 s at the engines and
// not at all in the instances' queues.
func TestLoadExchangeShortensWaits(t *testing.T) {
	c := qt.New(t)
	all := modelOptions()
	all.CompareConnected, all.CompareOthers = 0, 0
	for _, rate := range []float64{180, 260} {
		isolated, sharing := runFleet(1, rate, false, all), runFleet(1, rate, true, modelOptions())
		t.Logf("%.0f programs a second without exchange, comparing all: %s", rate, isolated)
		t.Logf("%.0f programs a second with exchange: %s", rate, sharing)
		c.Check(sharing.late < isolated.late/2, qt.IsTrue, qt.Commentf("%.0f programs a second", rate))
		c.Check(sharing.onTime > isolated.onTime, qt.IsTrue, qt.Commentf("%.0f programs a second", rate))
	}
	// With the same choice of engines, fewer programs are refused with the exchange.
	isolated, sharing := runFleet(1, 260, false, modelOptions()), runFleet(1, 260, true, modelOptions())
	t.Logf("260 programs a second without exchange: %s", isolated)
	t.Logf("260 programs a second with exchange: %s", sharing)
	c.Check(sharing.rejected < isolated.rejected*9/10, qt.IsTrue)
}

// Guards against programs that all end late because more are admitted than the engines can run: the capacity beyond the
// slots (overcommit) is reserved for programs that are already running.
func TestFirstCallsLeaveCapacityFree(t *testing.T) {
	c := qt.New(t)
	o := modelOptions()
	o.FirstCallMargin = 0
	all, some := runFleet(1, 300, true, o), runFleet(1, 300, true, modelOptions())
	t.Logf("300 programs a second, all admitted: %s", all)
	t.Logf("300 programs a second, with the margin for first calls: %s", some)
	c.Assert(some.onTime > all.onTime*5/4, qt.IsTrue)
	c.Assert(some.failed <= all.failed, qt.IsTrue)
	calm := runFleet(1, 100, true, modelOptions())
	c.Assert(calm.rejected, qt.Equals, 0)
}
