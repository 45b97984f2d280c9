package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/pkg/target"
)

// sampling is a policy for comparison. It takes a number of targets at random and places an item at one of those whose cost is
// within a factor of the lowest.
type sampling struct {
	random *rand.Rand
	sample int
	factor float64
}

func (*sampling) Name() string { return "sampling" }
func (*sampling) begin(*Queue) {}

func (s *sampling) pick(now time.Time, q *Queue) (*entry, *target.Target) {
	return firstFit(q, func(e *entry) *target.Target {
		var taken []*target.Target
		var costs []float64
		lowest := 0.0
		all := q.targets.All()
		for _, i := range s.random.Perm(len(all)) {
			if len(taken) < s.sample && all[i].Usable(now) && q.fits(now, e, all[i]) {
				_, cost := q.cost(now, e, all[i])
				if len(taken) == 0 || cost < lowest {
					lowest = cost
				}
				taken, costs = append(taken, all[i]), append(costs, cost)
			}
		}
		for i, t := range taken {
			if costs[i] <= lowest*s.factor {
				return t
			}
		}
		return nil
	})
}

// method is a way to choose targets.
type method struct {
	name    string
	options Options
	prepare func(q *Queue, random *rand.Rand)
}

// replayOptions returns the options that a gateway's queues have before engines.
func replayOptions(policy string) Options {
	o := Options{Policy: policy}
	o.Ramp, o.Probation = 300*time.Millisecond, time.Second
	o.ForeignHalfLife, o.HintHalfLife = 200*time.Millisecond, time.Minute
	o.ConnectSeconds, o.ConnectionKeep = 0.04, 4*time.Second
	o.PrefillRate, o.DecodeRate = 150_000, 300
	o.Share.AttainedMax, o.Overcommit = 1, replayOvercommit
	return o
}

func asIs(*Queue, *rand.Rand) {}

func sampled(sample int, factor float64) func(q *Queue, random *rand.Rand) {
	return func(q *Queue, random *rand.Rand) {
		q.policy = &sampling{random: random, sample: sample, factor: factor}
	}
}

// fairMethod returns the policy fair as gateways use it.
func fairMethod() method {
	o := replayOptions(PolicyFair)
	o.CompareConnected, o.CompareOthers = 3, 1
	return method{"fair", o, func(q *Queue, random *rand.Rand) { q.policy.(*fair).random = random }}
}

func methods() []method {
	o := replayOptions(PolicyFair)
	return []method{
		fairMethod(),
		{"fairComparingAll", o, asIs},
		{"shortestExpectedDelay", o, sampled(replayTargets, 1)},
		{"nearEqual10%", o, sampled(replayTargets, 1.1)},
		{"twoChoices", o, sampled(2, 1)},
		{"leastInFlight", replayOptions(PolicyLeastInFlight), asIs},
		{"sticky", replayOptions(PolicySticky), asIs},
	}
}

// runs replays a case with several seeds and returns means, the highest load of a target and the sum of the refusals.
func (c replayCase) runs(m method, seeds int) (r replayResult) {
	for seed := range seeds {
		s := c.run(uint64(seed), m.options, m.prepare)
		r.mean, r.p99 = r.mean+s.mean/float64(seeds), r.p99+s.p99/float64(seeds)
		r.busiest, r.refused, r.waited = max(r.busiest, s.busiest), r.refused+s.refused, r.waited+s.waited
	}
	return r
}

// BenchmarkReplay prints the table of docs/design/placement.md.
func BenchmarkReplay(b *testing.B) {
	for _, kind := range []replayCase{{load: 0.5}, {load: 0.5, uneven: true}, {load: 0.5, uneven: true, reports: true}} {
		for _, kind.deciders = range []int{72, 195, 400} {
			for _, m := range methods() {
				b.Run(kind.String()+"/"+m.name, func(b *testing.B) {
					for b.Loop() {
						r := kind.runs(m, 3)
						b.ReportMetric(1e3*r.mean, "mean-ms")
						b.ReportMetric(1e3*r.p99, "p99-ms")
						b.ReportMetric(r.busiest, "busiest")
						b.ReportMetric(float64(r.refused), "refused")
						b.ReportMetric(0, "ns/op")
					}
				})
			}
		}
	}
}

// Guards against many dispatchers with the same information that all choose the same target, against placement that ignores
// reported work times, and against dispatchers that know little and do worse than with random choices.
func TestReplay(t *testing.T) {
	c := qt.New(t)
	all, two := method{"all", replayOptions(PolicyFair), asIs}, method{"two", replayOptions(PolicyFair), sampled(2, 1)}
	for _, deciders := range []int{72, 400} {
		k := replayCase{deciders: deciders, load: 0.5}
		even, herd := k.runs(fairMethod(), 2), k.runs(all, 2)
		k.uneven = true
		silent := k.runs(fairMethod(), 2)
		k.reports = true
		reported, random := k.runs(fairMethod(), 2), k.runs(two, 2)
		t.Logf("%d deciders: even %+v, comparing all %+v, uneven %+v, with work time %+v, two choices %+v", deciders, even, herd, silent, reported, random)
		c.Check(even.mean < herd.mean && even.refused <= herd.refused/10, qt.IsTrue)
		c.Check(even.busiest < 1.5, qt.IsTrue)
		c.Check(reported.mean < 1.03*silent.mean && reported.p99 < 1.03*silent.p99, qt.IsTrue)
		c.Check(reported.p99 < random.p99, qt.IsTrue)
	}
}
