package rate_test

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/rate"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", "2000"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const grantMax = time.Second

// mechanisms are the parts of the implementation that keep every window within the limit. Each can be switched off to
// show that the property test fails without it:
//   - startEmpty: a new owner's bucket is empty
//   - startWait: a new owner's bucket neither grants nor refills for grantMax
//   - ageCheck: a grant that is too old is not used
//   - holdPending: the token of a grant does not refill while the grant may still be used
//   - change: a changed limit applies to a bucket at once, not at its next use
type mechanisms struct{ startEmpty, startWait, ageCheck, holdPending, change bool }

var allMechanisms = mechanisms{startEmpty: true, startWait: true, ageCheck: true, holdPending: true, change: true}

// schedule holds the parameters of one run: when owners start, and how many messages are delayed or lost.
type schedule struct {
	Limit     rate.Limit
	Changed   rate.Limit      // in force from the middle of the run
	Load      float64         // requests as a multiple of the rate
	Owners    []time.Duration // when each owner starts
	Gap       time.Duration   // time without an owner before each owner
	LateShare float64         // share of messages that take up to 3 s, for example because their sender was paused
	LostShare float64         // share of reports that are lost
	Slack     time.Duration   // time between a request and its deadline
	Seed      uint64
}

var schedules = rapid.Custom(func(t *rapid.T) schedule {
	l := rapid.Custom(func(t *rapid.T) rate.Limit {
		return rate.Limit{Rate: rate.Rate(rapid.IntRange(300, 40_000).Draw(t, "rate")), Burst: rapid.Int64Range(1, 60).Draw(t, "burst")}
	})
	s := schedule{
		Limit:     l.Draw(t, "limit"),
		Load:      rapid.SampledFrom([]float64{0.2, 0.8, 1.2, 5}).Draw(t, "load"),
		Gap:       time.Duration(rapid.IntRange(0, 500).Draw(t, "gap")) * time.Millisecond,
		LateShare: rapid.SampledFrom([]float64{0, 0.05, 0.4}).Draw(t, "late"),
		LostShare: rapid.SampledFrom([]float64{0, 0.1, 1}).Draw(t, "lost"),
		Slack:     time.Duration(rapid.IntRange(50, 5_000).Draw(t, "slack")) * time.Millisecond,
		Seed:      rapid.Uint64().Draw(t, "seed"),
	}
	s.Changed = s.Limit
	if rapid.Bool().Draw(t, "reconfigure") {
		s.Changed = l.Draw(t, "changed")
	}
	s.Owners = []time.Duration{0}
	for range rapid.IntRange(0, 3).Draw(t, "replacements") {
		s.Owners = append(s.Owners, time.Duration(rapid.IntRange(1, 10_000).Draw(t, "owner"))*time.Millisecond)
	}
	slices.Sort(s.Owners)
	return s
})

// event is a step of the simulation. Events at the same time run in the order of n.
type event struct {
	at time.Duration
	n  int
	do func(now time.Duration)
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].n < e[j].n)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	runTime  = 12 * time.Second
	changeAt = 6 * time.Second
)

// run is a discrete-event simulation of dispatching instances and one owner at a time.
type run struct {
	schedule
	mech    mechanisms
	rnd     *rand.Rand
	queue   events
	count   int
	owner   int
	buckets *rate.Buckets
	bucket  *rate.Bucket // used instead of one of buckets if startEmpty or startWait is off
	uses    []time.Duration
	refused int
}

func (r *run) after(at time.Duration, do func(now time.Duration)) {
	r.count++
	heap.Push(&r.queue, event{at: at, n: r.count, do: do})
}

// latency returns the latency of a message, which includes pauses of the sender and the receiver.
func (r *run) latency() time.Duration {
	if r.rnd.Float64() < r.LateShare {
		return time.Duration(r.rnd.Int64N(int64(3 * time.Second)))
	}
	return time.Duration(r.rnd.Int64N(int64(5 * time.Millisecond)))
}

func (r *run) limit(now time.Duration) rate.Limit {
	if now < changeAt {
		return r.Limit
	}
	return r.Changed
}

func newRun(s schedule, m mechanisms) *run {
	r := &run{schedule: s, mech: m, rnd: rand.New(rand.NewPCG(s.Seed, 0)), buckets: rate.NewBuckets(1, grantMax)}
	for i, start := range s.Owners {
		if i+1 < len(s.Owners) {
			r.after(s.Owners[i+1]-s.Gap, func(now time.Duration) { r.owner = 0 })
		}
		r.after(start, func(now time.Duration) { r.start(now, i+1) })
	}
	r.after(changeAt, func(now time.Duration) {
		switch {
		case r.owner == 0 || !m.change:
		case r.bucket != nil:
			r.bucket.Reconfigure(at(now), s.Changed)
		default:
			r.buckets.Change(at(now), "ws", s.Limit, s.Changed)
		}
	})
	if s.Load == 0 {
		return r
	}
	gap := float64(time.Second) / (float64(s.Limit.Rate) / 1000 * s.Load)
	for t := 0.0; t < float64(runTime); t += gap * r.rnd.ExpFloat64() {
		r.after(time.Duration(t), func(now time.Duration) { r.ask(now, now+s.Slack) })
	}
	return r
}

// flood requests five tokens for another workspace.
func (r *run) flood(now time.Duration) {
	if r.owner == 0 {
		return
	}
	for range 5 {
		b, err := r.buckets.Bucket(at(now), "other", r.Limit)
		if err != nil {
			panic(err)
		}
		b.Acquire(at(now), 1, at(now+r.Slack))
	}
}

func (r *run) finish() *run {
	for r.queue.Len() > 0 {
		e := heap.Pop(&r.queue).(event)
		if r.owner > 0 && r.rnd.IntN(4) == 0 {
			r.buckets.DropIdle(at(e.at))
		}
		e.do(e.at)
	}
	return r
}

func (r *run) start(now time.Duration, epoch int) {
	r.owner = epoch
	r.buckets.Open(at(now), 0, ids.Epoch(epoch))
	switch {
	case !r.mech.startEmpty:
		r.bucket = rate.New(at(now+grantMax), r.limit(now), false, grantMax)
	case !r.mech.startWait:
		r.bucket = rate.New(at(now-grantMax), r.limit(now), true, grantMax)
	}
}

func (r *run) ask(asked, deadline time.Duration) {
	r.after(asked+r.latency(), func(now time.Duration) {
		if r.owner == 0 {
			if now < deadline {
				r.after(now+50*time.Millisecond, func(now time.Duration) { r.ask(now, deadline) })
			}
			return
		}
		r.answer(now, asked, deadline, r.acquire(now, deadline))
	})
}

func (r *run) currentBucket(now time.Duration) *rate.Bucket {
	if r.bucket != nil {
		if r.bucket.Limit() != r.limit(now) {
			r.bucket.Reconfigure(at(now), r.limit(now))
		}
		return r.bucket
	}
	b, err := r.buckets.Bucket(at(now), "ws", r.limit(now))
	if err != nil {
		panic(err)
	}
	return b
}

func (r *run) acquire(now, deadline time.Duration) rate.Decision {
	return r.currentBucket(now).Acquire(at(now), 1, at(deadline))
}

func (r *run) answer(now, asked, deadline time.Duration, d rate.Decision) {
	owner := r.owner
	switch d.Kind {
	case rate.Granted:
		if !r.mech.holdPending {
			r.currentBucket(now).Used(at(now), d.Grant)
		}
		answered := now + r.latency()
		r.after(answered+r.latency(), func(now time.Duration) { r.send(now, asked, answered, deadline, owner, d.Grant) })
	case rate.Wait:
		ready := d.At.Sub(epoch)
		if ready-now <= rate.Hold {
			r.after(ready, func(now time.Duration) { r.take(now, asked, deadline, owner, d.Ticket) })
			return
		}
		again := ready - rate.Hold/2
		if next := slices.IndexFunc(r.Owners, func(start time.Duration) bool { return start > now }); next >= 0 {
			again = min(again, r.Owners[next]) // the fleet stream announces a new owner
		}
		r.after(again+r.latency(), func(now time.Duration) { r.take(now, again, deadline, owner, d.Ticket) })
	case rate.Expired:
		r.ask(now, deadline)
	case rate.Refused:
		r.refused++
	}
}

func (r *run) take(now, asked, deadline time.Duration, owner int, t rate.Ticket) {
	if r.owner != owner {
		r.ask(now, deadline)
		return
	}
	r.answer(now, asked, deadline, r.currentBucket(now).Take(at(now), t))
}

// send uses a grant at a target, or drops it, and reports either to the owner.
func (r *run) send(now, asked, answered, deadline time.Duration, owner int, g rate.GrantID) {
	used := !r.mech.ageCheck || rate.Usable(at(asked), at(answered), at(now), grantMax)
	if used {
		r.uses = append(r.uses, now)
	} else if now < deadline {
		r.ask(now, deadline)
	}
	if r.rnd.Float64() < r.LostShare {
		return
	}
	r.after(now+r.latency(), func(now time.Duration) {
		if r.owner != owner {
			return
		}
		if used {
			r.currentBucket(now).Used(at(now), g)
		} else {
			r.currentBucket(now).Unused(at(now), g)
		}
	})
}

// exceeded returns an error for the first window that holds more uses than the limit allows. In a window that spans the
// change of the limit, each part counts with its own rate, and the larger burst applies. Grants of the earlier limit may
// be used up to grantMax after the change.
func (r *run) exceeded() error {
	const unit = 1_000_000_000_000
	slices.Sort(r.uses)
	refill := func(t time.Duration) int64 {
		before := min(t, changeAt)
		return int64(before)*int64(r.Limit.Rate) + int64(t-before)*int64(r.Changed.Rate)
	}
	for i, from := range r.uses {
		for j, to := range r.uses[i:] {
			burst := r.Changed.Burst
			switch {
			case to < changeAt:
				burst = r.Limit.Burst
			case from < changeAt+grantMax:
				burst = max(burst, r.Limit.Burst)
			}
			if int64(j+1)*unit > burst*unit+refill(to)-refill(from) {
				return fmt.Errorf("%d uses from %v to %v with %+v", j+1, from, to, r.schedule)
			}
		}
	}
	return nil
}

// Guards against a window with more uses than rate x length + burst while owners are replaced and messages are delayed
// or lost.
func TestNoWindowExceedsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := newRun(schedules.Draw(t, "schedule"), allMechanisms).finish().exceeded(); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a property test that cannot fail: it must fail if any one of the mechanisms is off.
func TestEachMechanismIsNeeded(t *testing.T) {
	for name, off := range map[string]func(m *mechanisms, s *schedule){
		"startEmpty":  func(m *mechanisms, _ *schedule) { m.startEmpty = false },
		"startWait":   func(m *mechanisms, _ *schedule) { m.startWait = false },
		"ageCheck":    func(m *mechanisms, _ *schedule) { m.ageCheck = false },
		"holdPending": func(m *mechanisms, _ *schedule) { m.holdPending = false },
		"change": func(m *mechanisms, s *schedule) {
			m.change = false
			// A rarely used bucket whose rate is lowered.
			s.Limit, s.Changed, s.Load = limit(2, 1), limit(0.3, 1), 0.5
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range 5000 {
				s, m := schedules.Example(seed), allMechanisms
				off(&m, &s)
				if err := newRun(s, m).finish().exceeded(); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("no schedule of 5000 exceeds the limit without it")
		})
	}
}

// Guards against refusing requests of a workspace within its rate while owners are replaced and another workspace sends
// five times its rate.
func TestNothingIsRefusedWithinRate(t *testing.T) {
	for seed := range 300 {
		s := schedules.Example(seed)
		// Reports take up to 10 ms, during which their tokens do not refill.
		s.Limit.Burst += 2 + int64(s.Limit.Rate)/20_000
		s.Changed, s.LateShare, s.LostShare, s.Load = s.Limit, 0, 0, 0
		// Each owner starts with an empty bucket, and the requests that waited at the previous owner come in any order.
		full := time.Duration(float64(s.Limit.Burst) / float64(s.Limit.Rate) * 1000 * float64(time.Second))
		perOwner := full/time.Duration(s.Limit.Burst) + s.Gap + grantMax + 100*time.Millisecond
		s.Slack = 2*full + s.Owners[len(s.Owners)-1] + time.Duration(len(s.Owners))*perOwner
		r := newRun(s, allMechanisms)
		withinLimit := rate.New(epoch, s.Limit, false, 0)
		requested := 0
		for now := time.Duration(0); now < runTime; now += time.Duration(r.rnd.Int64N(int64(full)/s.Limit.Burst + 1)) {
			if withinLimit.Acquire(at(now), 1, at(now)).Kind == rate.Granted {
				requested++
				r.after(now, func(now time.Duration) { r.ask(now, now+s.Slack) })
			}
			r.after(now, r.flood)
		}
		r.finish()
		if r.refused > 0 || len(r.uses) != requested {
			t.Fatalf("seed %d: %d of %d sent, %d refused, %+v", seed, len(r.uses), requested, r.refused, s)
		}
	}
}
