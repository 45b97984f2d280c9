package target

import (
	"math"
	"slices"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

const (
	// maxChanges is how many changes of a target's own count are kept, to compare a load report with the own count at the
	// time of the report. It is enough for a report that is 1 s old at 60 changes per second.
	maxChanges = 64
	// reportMaxAge is the age after which a load report no longer counts for the other dispatchers' calls.
	reportMaxAge = 15 * time.Second
	// newValueWeight is the weight of a new measurement in a moving mean.
	newValueWeight = 0.2
	// minSlowness and maxSlowness bound one measurement of a target's slowness, so that an odd completion does not exclude
	// the target.
	minSlowness, maxSlowness = 0.1, 20.0
	// maxIncomplete is how many incomplete answers without a complete one in between count as a death.
	maxIncomplete = 3
	// contention is how much longer decoding takes at a full target than at an empty one, as a fraction.
	contention = 0.5
	// prefillDelay is how many seconds the other calls at a target lose for each second of prefill: about a third for
	// each of 9 calls. In the model of the dispatch tests, 0.5, 1, 2, 3 and 6 gave a P95 program latency of 300, 299, 300,
	// 298 and 298 s at 80% load, and 409, 381, 360, 350 and 347 s with one workspace flooding.
	prefillDelay = 3.0
	// waitFactor is how many calls' durations one more call is assumed to wait at a target that has all its slots taken. The
	// calls that other dispatchers have sent since the last report are not known.
	waitFactor = 2.0
	// fullFactor is how many calls a target that refuses calls is assumed to hold, in multiples of its limit.
	fullFactor = 2
)

// change is this dispatcher's number of calls at a target after one was placed or ended.
type change struct {
	at    time.Time
	count int
}

// Target is what the dispatcher knows of one target.
type Target struct {
	opt      *Options
	pool     *poolLoad
	id       ids.TargetID
	zone     ids.Zone
	listed   bool
	state    State
	capacity ids.Tokens
	slots    int

	own      int // calls that this dispatcher placed
	foreign  int // calls of other dispatchers, by the last report
	reported time.Time
	changes  []change
	// connections is the estimated number of open connections: the most calls of this dispatcher at once since
	// connectionsAt.
	connections   int
	connectionsAt time.Time

	held       time.Time // when the target may get calls again; zero if it was never held
	leaving    time.Time // when the target answered that it is leaving; zero if it never did
	failed     time.Time // last death; zero after the target has shown that it works
	incomplete int       // incomplete answers since the last complete one
	rampStart  time.Time // zero if there is no ramp
	unreported bool      // the ramp lasts only until the first report, because the dispatcher is new, not the target

	slowness    float64 // mean ratio of the measured to the predicted duration of calls
	work        workTime
	meanSeconds float64 // mean duration of a call; 0 before the first completion
	// prefilled is when the target is expected to have prefilled the prompts of all calls placed so far.
	prefilled time.Time
	// stored counts the tokens added to the cache so far. A holder keeps an earlier count, and the difference shows how many
	// were added since.
	stored float64
}

// ID returns the target's id.
func (t *Target) ID() ids.TargetID { return t.id }

// Zone returns the target's availability zone.
func (t *Target) Zone() ids.Zone { return t.zone }

// Own returns the number of this dispatcher's calls at the target.
func (t *Target) Own() int { return t.own }

// InFlight returns the number of calls at the target, including those of other dispatchers as last reported.
func (t *Target) InFlight() int { return t.own + t.foreign }

// expected returns the estimated number of calls at the target now.
func (t *Target) expected(now time.Time) float64 {
	foreign := float64(t.foreign)
	if t.opt.ForeignHalfLife > 0 {
		usual := t.pool.mean(now) * float64(t.limit())
		foreign = usual + (foreign-usual)*math.Exp2(-max(now.Sub(t.reported).Seconds(), 0)/t.opt.ForeignHalfLife.Seconds())
	}
	return float64(t.own) + foreign
}

// limit returns how many calls the target may get at once in normal operation.
func (t *Target) limit() int {
	if t.slots > 0 {
		return t.slots
	}
	return t.opt.MaxInFlight
}

// Slow returns the mean ratio of the measured to the predicted duration of calls. The prediction includes the reported work
// time.
func (t *Target) Slow() float64 { return t.slowness }

// Measured reports whether the target has completed a call, so that its expected durations are based on a measurement.
func (t *Target) Measured() bool { return t.meanSeconds > 0 }

// OnProbation reports whether the target died and has not shown since that it works.
func (t *Target) OnProbation() bool { return !t.failed.IsZero() }

// anyCallProbations is the number of Probation periods after which a target on probation may get a call that is not
// idempotent. Otherwise a pool that gets no idempotent calls and reports no load would never again use a target that died.
const anyCallProbations = 2

// IdempotentOnly reports whether the target may get only idempotent calls, because it is on probation.
func (t *Target) IdempotentOnly(now time.Time) bool {
	return t.OnProbation() && now.Sub(t.failed) < anyCallProbations*t.opt.Probation
}

// Usable reports whether the target may get new calls at all.
func (t *Target) Usable(now time.Time) bool {
	if !t.listed || t.state != Live || now.Before(t.held) {
		return false
	}
	if !t.leaving.IsZero() && now.Sub(t.leaving) < t.opt.LeavingTimeout {
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

// HasCapacity reports whether the target may get one more call now.
func (t *Target) HasCapacity(now time.Time) bool { return t.HasCapacityFor(now, 1) }

// HasCapacityFor reports whether the target may get n more calls now. For an idle target it reports true whenever the target
// may get at least one.
func (t *Target) HasCapacityFor(now time.Time, n int) bool {
	allowed := t.Allowed(now)
	return t.expected(now) <= float64(max(allowed-n, min(allowed, 1)-1))
}

// Start counts a call that is sent to the target. The parameter uncached is the number of its tokens to prefill.
func (t *Target) Start(now time.Time, uncached float64) {
	t.count(now, 1)
	if t.prefilled.Before(now) {
		t.prefilled = now
	}
	t.prefilled = t.prefilled.Add(time.Duration(t.pace(now) * uncached / t.opt.PrefillRate * float64(time.Second)))
}

// End counts the end of a call and updates the target's speed and failure state from its outcome.
func (t *Target) End(now time.Time, o Outcome, took time.Duration, u record.Usage) {
	slowdown, workTime := t.slowdown(now), t.work.now(now)
	t.count(now, -1)
	switch o {
	case Completed:
		t.learn(took, u, slowdown, workTime)
		t.stored += float64(u.Total() - u.Cached)
		t.markWorking(now)
	case Failed:
		t.markWorking(now)
	case Died, Unreachable:
		t.failed = now
	case Incomplete:
		t.incomplete++
		if t.incomplete >= maxIncomplete {
			t.failed = now
		}
	case TargetFull:
		// A target that refuses calls has also filled its own queue.
		t.foreign, t.reported = max(t.foreign, fullFactor*t.limit()-t.own), now
	case AnsweredLeaving:
		t.leaving = now
	}
}

// Seconds estimates, in seconds, how long a call takes at the target and how much time other calls lose because of its
// prefill. The estimate includes the prefills ahead of the call and the slowdown by concurrent calls.
func (t *Target) Seconds(now time.Time, uncached, output float64) (own, others float64) {
	queue := max(t.prefilled.Sub(now).Seconds(), 0)
	pace := t.pace(now)
	prefill := pace * uncached / t.opt.PrefillRate
	own = queue + prefill + pace*output/t.opt.DecodeRate*t.slowdown(now) + t.connectSeconds(now)
	return own + t.waitAtTarget(now, own), prefill * prefillDelay
}

// waitAtTarget estimates how long one more call waits at a target that queues calls itself. The number of calls there is known
// with errors, so that a wait is possible before all are expected to be running: it grows with the square of their share. The
// parameter mean is the duration of a call, used until the target has completed one.
func (t *Target) waitAtTarget(now time.Time, mean float64) float64 {
	if t.opt.Overcommit == 0 {
		return 0
	}
	share := t.expected(now) / float64(max(t.limit()-t.opt.Overcommit, 1))
	return waitFactor * t.mean(now, mean) * share * share
}

// mean returns the expected duration of a call, or the parameter until the target has completed one.
func (t *Target) mean(now time.Time, untilKnown float64) float64 {
	if t.meanSeconds == 0 {
		return untilKnown
	}
	return t.meanSeconds * t.work.now(now) / t.work.usual()
}

// connectSeconds returns the time to set up a connection for one more call; 0 if an open one can be used.
func (t *Target) connectSeconds(now time.Time) float64 {
	if t.Connected(now) {
		return 0
	}
	return t.opt.ConnectSeconds
}

// Connected reports whether one more call can be sent on an open connection.
func (t *Target) Connected(now time.Time) bool {
	return t.own < t.connections && now.Sub(t.connectionsAt) <= t.opt.ConnectionKeep
}

// slowdown returns the factor by which the calls in flight slow each other down.
func (t *Target) slowdown(now time.Time) float64 {
	return 1 + contention*min(t.expected(now)/float64(t.limit()), 1)
}

// WaitSeconds estimates how long it takes until a full target has capacity for one more call behind the given number of
// calls ahead. The parameter mean is the mean duration of a call, used until the target has completed a call itself.
func (t *Target) WaitSeconds(now time.Time, ahead int, mean float64) float64 {
	allowed := t.Allowed(now)
	return t.mean(now, mean*t.work.now(now)) * (t.expected(now) - float64(allowed-ahead-1)) / float64(max(allowed, 1))
}

// markWorking records that the target works. If it was on probation, its ramp starts.
func (t *Target) markWorking(now time.Time) {
	t.incomplete = 0
	if t.OnProbation() {
		t.failed, t.rampStart = time.Time{}, now
	}
}

// count changes the number of own calls.
func (t *Target) count(now time.Time, delta int) {
	t.own += delta
	if t.own >= t.connections || now.Sub(t.connectionsAt) > t.opt.ConnectionKeep {
		t.connections, t.connectionsAt = t.own, now
	}
	if len(t.changes) == maxChanges {
		t.changes = slices.Delete(t.changes, 0, 1)
	}
	t.changes = append(t.changes, change{at: now, count: t.own})
}

// ownAt returns the number of own calls at a time in the past.
func (t *Target) ownAt(at time.Time) (n int) {
	if len(t.changes) == maxChanges {
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

// update applies an entry of the instance list. If first is true, it is the first list that this dispatcher gets: its targets
// are new to the dispatcher, but not to the pool.
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

// report applies the load in a report. A report that is recent enough ends the target's probation.
func (t *Target) report(now time.Time, r Report) {
	t.reported = r.ReportedAt
	t.foreign = max(0, r.Running+r.Waiting-t.ownAt(r.ReportedAt))
	if t.unreported {
		t.unreported, t.rampStart = false, time.Time{}
	}
	if t.OnProbation() && r.ReportedAt.Sub(t.failed) >= t.opt.Probation {
		t.markWorking(now)
	}
}

// learn updates the target's speed from a completed call. The predicted duration includes the slowdown by other calls, so
// that a busy target does not look slow, and the reported work time, so that it does not count twice.
func (t *Target) learn(took time.Duration, u record.Usage, slowdown, workTime float64) {
	predicted := workTime * (float64(u.Prompt-u.Cached)/t.opt.PrefillRate + float64(u.Completion)/t.opt.DecodeRate*slowdown)
	if predicted <= 0 || took <= 0 {
		return
	}
	ratio := min(max(took.Seconds()/predicted, minSlowness), maxSlowness)
	t.slowness += newValueWeight * (ratio - t.slowness)
	t.meanSeconds = Mean(t.meanSeconds, took.Seconds())
}

// Mean returns the moving mean after a new value v. If old is 0, there was no value before and the mean is v.
func Mean(old, v float64) float64 {
	if old == 0 {
		return v
	}
	return old + newValueWeight*(v-old)
}
