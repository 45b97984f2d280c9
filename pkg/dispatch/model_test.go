package dispatch_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// The model compares the policies with each other. It simplifies the real system: its engines prefill one call at a time
// and slow down decoding by a fixed rule, its load reports are exact, and its load is generated.
const (
	modelTargets = 10
	modelSlots   = 16
	modelCache   = 400_000 // tokens
	modelTime    = 400 * time.Second
	modelWarmUp  = 100 * time.Second
)

// modelProgram is a chain of calls; a program's calls and pauses are the same for every policy.
type modelProgram struct {
	id      ids.ProgramID
	ws      ids.WorkspaceID
	start   time.Duration
	added   []ids.Tokens // new prompt tokens of each turn
	outputs []ids.Tokens
	pauses  []time.Duration
	turn    int
	history ids.Tokens
}

// modelCase is a load and a disturbance.
type modelCase struct {
	name  string
	load  float64 // share of the slots that are busy on average
	slow  float64 // factor by which one engine is slower
	flood int     // factor by which one workspace starts more programs
}

func (c modelCase) programs(seed uint64) (l []*modelProgram) {
	r := rand.New(rand.NewPCG(seed, 0))
	// A program has 10 calls on average, which generate 200 tokens each at 40 tokens a second, slowed down by a quarter.
	secondsPerProgram := 10 * 200 / 40.0 * 1.25
	gap := float64(time.Second) * secondsPerProgram / (c.load * modelTargets * modelSlots)
	for t := 0.0; t < float64(modelTime); t += gap * r.ExpFloat64() {
		p := &modelProgram{
			id: ids.ProgramID(fmt.Sprint("p", len(l))), start: time.Duration(t),
			ws: ids.WorkspaceID(fmt.Sprint("ws", r.IntN(8))),
		}
		prompt := ids.Tokens(4000 * math.Exp(r.NormFloat64()/2))
		for n := 1 + int(9*r.ExpFloat64()); n > 0 && len(p.added) < 100; n-- {
			p.added = append(p.added, prompt)
			p.outputs = append(p.outputs, 1+ids.Tokens(200*r.ExpFloat64()))
			p.pauses = append(p.pauses, time.Duration(4*r.ExpFloat64()*float64(time.Second)))
			prompt = 1 + ids.Tokens(800*r.ExpFloat64())
		}
		l = append(l, p)
		for n := 1; p.ws == floodWorkspace && n < c.flood; n++ {
			q := *p
			q.id = ids.ProgramID(fmt.Sprint("p", len(l)))
			l = append(l, &q)
		}
	}
	return l
}

const floodWorkspace = "ws0"

// modelEngine prefills one call after the other and keeps the most recently used prefixes.
type modelEngine struct {
	slow        float64
	prefillFree time.Duration
	running     int
	cache       []modelPrefix // most recently used last
}

type modelPrefix struct {
	id     ids.ProgramID
	tokens ids.Tokens
}

// take removes a prefix from the cache and returns its length.
func (e *modelEngine) take(id ids.ProgramID) ids.Tokens {
	i := slices.IndexFunc(e.cache, func(p modelPrefix) bool { return p.id == id })
	if i < 0 {
		return 0
	}
	n := e.cache[i].tokens
	e.cache = slices.Delete(e.cache, i, i+1)
	return n
}

// put stores a prefix and drops the least recently used ones if the cache is too small for all.
func (e *modelEngine) put(id ids.ProgramID, n ids.Tokens) {
	e.take(id)
	e.cache = append(e.cache, modelPrefix{id, n})
	sum := ids.Tokens(0)
	for i := len(e.cache) - 1; i >= 0; i-- {
		if sum += e.cache[i].tokens; sum > modelCache {
			e.cache = slices.Delete(e.cache, 0, i+1)
			return
		}
	}
}

type modelEvent struct {
	at time.Duration
	n  int // sequence number, which orders events at the same time
	do func(now time.Duration)
}

type modelEvents []modelEvent

func (e modelEvents) Len() int { return len(e) }
func (e modelEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].n < e[j].n
}
func (e modelEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *modelEvents) Push(x any)   { *e = append(*e, x.(modelEvent)) }
func (e *modelEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type modelRun struct {
	q                *dispatch.Queue
	events           modelEvents
	engines          map[ids.TargetID]*modelEngine
	waiting          map[dispatch.Ticket]*modelProgram
	n                int // last ticket or sequence number
	latencies        []float64
	prompt, uncached ids.Tokens // sums over all calls
}

// schedule adds an event at a time of the model.
func (m *modelRun) schedule(at time.Duration, do func(now time.Duration)) {
	m.n++
	heap.Push(&m.events, modelEvent{at, m.n, do})
}

// call enqueues the next call of a program.
func (m *modelRun) call(now time.Duration, p *modelProgram) {
	m.n++
	t := dispatch.Ticket(m.n)
	m.waiting[t] = p
	m.q.Enqueue(at(now), dispatch.Item{
		Ticket: t, Workspace: p.ws, Program: p.id, Prompt: p.history + p.added[p.turn], Prefix: dispatch.PrefixKey(p.id),
		PrefixTokens: p.history, Deadline: at(now + 24*time.Hour), Idempotent: true,
	})
	m.place(now)
}

// place starts the calls that the queue places now, and schedules their ends.
func (m *modelRun) place(now time.Duration) {
	for _, pl := range m.q.Next(at(now)) {
		p, e := m.waiting[pl.Ticket], m.engines[pl.Target]
		delete(m.waiting, pl.Ticket)
		u := record.Usage{Prompt: p.history + p.added[p.turn], Completion: p.outputs[p.turn]}
		u.Cached = min(e.take(p.id), p.history)
		m.prompt += u.Prompt
		m.uncached += u.Prompt - u.Cached
		e.running++
		e.prefillFree = max(e.prefillFree, now) + time.Duration(float64(u.Prompt-u.Cached)/8000*e.slow*float64(time.Second))
		decode := e.slow * float64(u.Completion) / 40 * (1 + 0.5*float64(e.running)/modelSlots)
		m.schedule(e.prefillFree+time.Duration(decode*float64(time.Second)), func(now time.Duration) {
			e.running--
			e.put(p.id, u.Total())
			m.q.Done(at(now), pl.Ticket, dispatch.Completed, u)
			m.end(now, p, u)
			m.place(now)
		})
	}
}

// end schedules the next call of a program or records the latency of the whole program.
func (m *modelRun) end(now time.Duration, p *modelProgram, u record.Usage) {
	p.history = u.Total()
	pause := p.pauses[p.turn]
	if p.turn++; p.turn < len(p.added) {
		m.schedule(now+pause, func(now time.Duration) { m.call(now, p) })
	} else if p.start > modelWarmUp && p.ws != floodWorkspace {
		m.latencies = append(m.latencies, (now - p.start).Seconds())
	}
}

// BenchmarkPolicyModel reports the latency of whole programs in the model, in seconds, and the share of prompt tokens that
// are prefilled. The latencies leave out the workspace that may flood. Each figure covers three seeds.
func BenchmarkPolicyModel(b *testing.B) {
	for _, c := range []modelCase{
		{"load=20%", 0.2, 1, 1},
		{"load=50%", 0.5, 1, 1},
		{"load=80%", 0.8, 1, 1},
		{"load=50%,oneEngineSlow", 0.5, 3, 1},
		{"load=80%,oneWorkspaceFloods", 0.8, 1, 5},
	} {
		for _, policy := range []string{"roundRobin", "leastInFlight", "sticky", "fair"} {
			b.Run(c.name+"/"+policy, func(b *testing.B) {
				for b.Loop() {
					c.report(b, policy)
				}
			})
		}
	}
}

func (c modelCase) report(b *testing.B, policy string) {
	latencies := []float64{}
	prompt, uncached := ids.Tokens(0), ids.Tokens(0)
	for seed := range uint64(3) {
		m := c.run(b, policy, seed)
		latencies = append(latencies, m.latencies...)
		prompt += m.prompt
		uncached += m.uncached
	}
	slices.Sort(latencies)
	b.ReportMetric(latencies[len(latencies)*95/100], "p95-s")
	b.ReportMetric(latencies[len(latencies)/2], "p50-s")
	b.ReportMetric(100*float64(uncached)/float64(prompt), "prefilled-%")
	b.ReportMetric(0, "ns/op")
}

func (c modelCase) run(b *testing.B, policy string, seed uint64) *modelRun {
	q, err := dispatch.New(options(policy, modelSlots))
	if err != nil {
		b.Fatal(err)
	}
	m := &modelRun{q: q, engines: map[ids.TargetID]*modelEngine{}, waiting: map[dispatch.Ticket]*modelProgram{}}
	list := []dispatch.Target{}
	for n := range modelTargets {
		id := ids.TargetID(fmt.Sprint("t", n))
		m.engines[id] = &modelEngine{slow: 1}
		list = append(list, dispatch.Target{ID: id, State: dispatch.Live, ReportedAt: epoch, CacheCapacity: modelCache})
	}
	m.engines["t0"].slow = c.slow
	q.UpdateTargets(epoch, list)
	for _, p := range c.programs(seed) {
		m.schedule(p.start, func(now time.Duration) { m.call(now, p) })
	}
	for t := time.Duration(0); t < 8*modelTime; t += 50 * time.Millisecond {
		m.schedule(t, m.place)
	}
	for m.events.Len() > 0 {
		e := heap.Pop(&m.events).(modelEvent)
		e.do(e.at)
	}
	return m
}
