package target

import (
	"math"
	"slices"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

const (
	// changesKept is how many changes of a target's own count are remembered to compare a load report with the count at
	// its time: a report 1 s old at 60 changes a second.
	changesKept = 64
	// reportMaxAge is the age after which a load report says nothing about other dispatchers' calls.
	reportMaxAge = 15 * time.Second
	// learnShare is the weight of a new measurement in a moving mean.
	learnShare = 0.2
	// slowMin and slowMax bound a target's learnt slowness, so that one odd completion does not exclude it.
	slowMin, slowMax = 0.1, 20.0
	// brokenInRow is how many broken answers in a row count as a death.
	brokenInRow = 3
	// contention is how much longer a call takes at a full target than at an empty one, as a share.
	contention = 0.5
	// prefillDelay is how many seconds the other calls at a target lose for each second of prefill: about a third for
	// each of 9 calls. In the model of the dispatch tests, 0.5, 1, 2, 3 and 6 gave a P95 program latency of 300, 299, 300,
	// 298 and 298 s at 80% load, and 409, 381, 360, 350 and 347 s with one workspace flooding.
	prefillDelay = 3.0
	// fullFactor is how many times its limit a target holds that refuses calls.
	fullFactor = 2
)

// change is the own number of calls at a target after a placement or an end.
type change struct {
	at    time.Time
	count int
}

// Target is one target.
type Target struct {
	opt      *Options
	id       ids.TargetID
	zone     ids.Zone
	listed   bool
	state    State
	capacity ids.Tokens
	slots    int

	own      int // calls that this dispatcher placed
	foreign  int // calls of others, by the last report
	reported time.Time
	changes  []change
	// connected is the most calls that were there at once since connectedAt: as many connections are open.
	connected   int
	connectedAt time.Time

	left       time.Time // the target's own word that it is leaving; zero if none
	failed     time.Time // last death; zero after a sign of life
	broken     int       // broken answers since the last complete one
	rampStart  time.Time // zero: no ramp
	unreported bool      // the ramp is there because a new dispatcher does not know the target's load yet

	slow    float64 // measured over predicted duration
	service float64 // mean duration of a call in seconds; 0 before the first completion
	// prefilled is when the target is expected to have prefilled the prompts of all calls placed so far.
	prefilled time.Time
	stored    float64 // tokens added to the cache so far, to tell how much was added since a prefix was used
}

// ID returns the target's id.
func (t *Target) ID() ids.TargetID { return t.id }

// Zone returns the target's availability zone.
func (t *Target) Zone() ids.Zone { return t.zone }

// Own returns the number of this dispatcher's calls at the target.
func (t *Target) Own() int { return t.own }

// InFlight returns the number of calls at the target, those of other dispatchers included, as last reported.
func (t *Target) InFlight() int { return t.own + t.foreign }

// expected returns the number of calls that are likely to be at the target now.
func (t *Target) expected(now time.Time) float64 {
	foreign := float64(t.foreign)
	if t.opt.ForeignHalfLife > 0 {
		foreign *= math.Exp2(-max(now.Sub(t.reported).Seconds(), 0) / t.opt.ForeignHalfLife.Seconds())
	}
	return float64(t.own) + foreign
}

// limit returns how many calls the target may get when nothing is wrong with it.
func (t *Target) limit() int {
	if t.slots > 0 {
		return t.slots
	}
	return t.opt.MaxInFlight
}

// Slow returns the measured over the predicted duration of calls.
func (t *Target) Slow() float64 { return t.slow }

// OnProbation reports whether the target died and has not shown since that it works.
func (t *Target) OnProbation() bool { return !t.failed.IsZero() }

// trialOfAnyCall is after how many probations a target on trial gets any call. Without it, a pool that gets no
// repeatable calls and reports no load would never use a target again that died once.
const trialOfAnyCall = 2

// IdempotentOnly reports whether the target may get only repeatable calls, because it is on trial.
func (t *Target) IdempotentOnly(now time.Time) bool {
	return t.OnProbation() && now.Sub(t.failed) < trialOfAnyCall*t.opt.Probation
}

// Usable reports whether the target may get new calls at all.
func (t *Target) Usable(now time.Time) bool {
	if !t.listed || t.state != Live {
		return false
	}
	if !t.left.IsZero() && now.Sub(t.left) < t.opt.LeavingTimeout {
		return false
	}
	return !t.OnProbation() || now.Sub(t.failed) >= t.opt.Probation
}

// Allowed returns how many calls may be at the target now.
func (t *Target) Allowed(now time.Time) int {
	switch {
	case !t.Usable(now):
		return 0
	case t.OnProbation():
		return 1
	case t.rampStart.IsZero():
		return t.limit()
	}
	since := now.Sub(t.rampStart)
	if since >= t.opt.Ramp {
		t.rampStart = time.Time{}
		return t.limit()
	}
	return 1 + int(float64(t.limit()-1)*float64(since)/float64(t.opt.Ramp))
}

// HasRoom reports whether the target may get one more call now.
func (t *Target) HasRoom(now time.Time) bool { return t.HasPlaces(now, 1) }

// HasPlaces reports whether the target may get so many more calls now. An idle target that may get any has places.
func (t *Target) HasPlaces(now time.Time, n int) bool {
	allowed := t.Allowed(now)
	return t.expected(now) <= float64(max(allowed-n, min(allowed, 1)-1))
}

// Start counts a call that is sent to the target with so many tokens to prefill.
func (t *Target) Start(now time.Time, uncached float64) {
	t.count(now, 1)
	if t.prefilled.Before(now) {
		t.prefilled = now
	}
	t.prefilled = t.prefilled.Add(time.Duration(t.slow * uncached / t.opt.PrefillRate * float64(time.Second)))
}

// End counts a call's end and learns from it.
func (t *Target) End(now time.Time, o Outcome, took time.Duration, u record.Usage) {
	beside := t.beside(now)
	t.count(now, -1)
	switch o {
	case Completed:
		t.learn(took, u, beside)
		t.stored += float64(u.Total() - u.Cached)
		t.revive(now)
	case Failed:
		t.revive(now)
	case Died, Unreachable:
		t.failed = now
	case Incomplete:
		t.broken++
		if t.broken >= brokenInRow {
			t.failed = now
		}
	case TargetFull:
		// A target that refuses calls has filled a queue of its own besides.
		t.foreign, t.reported = max(t.foreign, fullFactor*t.limit()-t.own), now
	case TargetLeft:
		t.left = now
	}
}

// Seconds estimates how long a call takes at the target, with the prefills before it and the slowdown by the calls beside
// it, and how much time other calls lose by its prefill.
func (t *Target) Seconds(now time.Time, uncached, output float64) (own, others float64) {
	queue := max(t.prefilled.Sub(now).Seconds(), 0)
	prefill := t.slow * uncached / t.opt.PrefillRate
	return queue + prefill + t.slow*output/t.opt.DecodeRate*t.beside(now) + t.connectSeconds(now), prefill * prefillDelay
}

// connectSeconds returns the cost of the connection for one more call.
func (t *Target) connectSeconds(now time.Time) float64 {
	if t.own < t.connected && now.Sub(t.connectedAt) <= t.opt.ConnectionKeep {
		return 0
	}
	return t.opt.ConnectSeconds
}

// beside returns the factor by which the calls in flight slow each other down.
func (t *Target) beside(now time.Time) float64 {
	return 1 + contention*min(t.expected(now)/float64(t.limit()), 1)
}

// WaitSeconds estimates how long a full target takes to have room for one more call behind ahead others. Until the
// target has completed a call, mean is taken as its calls' duration.
func (t *Target) WaitSeconds(now time.Time, ahead int, mean float64) float64 {
	if t.service > 0 {
		mean = t.service
	}
	allowed := t.Allowed(now)
	return mean * (t.expected(now) - float64(allowed-ahead-1)) / float64(max(allowed, 1))
}

func (t *Target) revive(now time.Time) {
	t.broken = 0
	if t.OnProbation() {
		t.failed, t.rampStart = time.Time{}, now
	}
}

func (t *Target) count(now time.Time, delta int) {
	t.own += delta
	if t.own >= t.connected || now.Sub(t.connectedAt) > t.opt.ConnectionKeep {
		t.connected, t.connectedAt = t.own, now
	}
	if len(t.changes) == changesKept {
		t.changes = slices.Delete(t.changes, 0, 1)
	}
	t.changes = append(t.changes, change{at: now, count: t.own})
}

// ownAt returns the own count at a time in the past.
func (t *Target) ownAt(at time.Time) (n int) {
	if len(t.changes) == changesKept {
		n = t.changes[0].count
	}
	for _, c := range t.changes {
		if c.at.After(at) {
			break
		}
		n = c.count
	}
	return n
}

// update takes over a report. Targets of the first list are not new to the pool, only to this dispatcher.
func (t *Target) update(now time.Time, r Report, first bool) {
	if r.State == Live && (!t.listed || t.state != Live) {
		t.rampStart, t.unreported = now, first
	}
	if r.State == Dead && t.state == Live {
		t.failed = now
	}
	t.listed, t.state, t.zone, t.capacity, t.slots = true, r.State, r.Zone, r.CacheCapacity, r.Slots
	if r.ReportedAt.After(t.reported) {
		t.report(now, r)
	}
	if now.Sub(t.reported) > reportMaxAge {
		t.foreign = 0
	}
}

func (t *Target) report(now time.Time, r Report) {
	t.reported = r.ReportedAt
	t.foreign = max(0, r.Running+r.Waiting-t.ownAt(r.ReportedAt))
	if t.unreported {
		t.unreported, t.rampStart = false, time.Time{}
	}
	if t.OnProbation() && r.ReportedAt.Sub(t.failed) >= t.opt.Probation {
		t.revive(now)
	}
}

// learn takes a completion into the target's speed. The prediction includes the slowdown by other calls, so that a busy
// target does not look slow.
func (t *Target) learn(took time.Duration, u record.Usage, beside float64) {
	predicted := float64(u.Prompt-u.Cached)/t.opt.PrefillRate + float64(u.Completion)/t.opt.DecodeRate*beside
	if predicted <= 0 || took <= 0 {
		return
	}
	ratio := min(max(took.Seconds()/predicted, slowMin), slowMax)
	t.slow += learnShare * (ratio - t.slow)
	t.service = Mean(t.service, took.Seconds())
}

// Mean returns the moving mean with a new value; an old mean of 0 means that there was none.
func Mean(old, v float64) float64 {
	if old == 0 {
		return v
	}
	return old + learnShare*(v-old)
}
