package dispatch

import (
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
)

// change is the own number of calls at a target after a placement or an end.
type change struct {
	at    time.Time
	count int
}

// target is what the queue knows of one target.
type target struct {
	id       ids.TargetID
	zone     ids.Zone
	listed   bool
	state    State
	capacity ids.Tokens

	own      int // calls that this queue placed
	foreign  int // calls of others, by the last report
	reported time.Time
	changes  []change

	left      time.Time // the target's own word that it is leaving; zero if none
	failed    time.Time // last death; zero after a success
	rampStart time.Time // zero: no ramp

	slow     float64 // measured over predicted duration
	service  float64 // mean duration of a call in seconds
	stored   float64 // tokens added to the cache so far, to tell how much was added since a prefix was used
	deferred int     // items that wait for this target in the present round
}

func newTarget(id ids.TargetID) *target { return &target{id: id, slow: 1} }

func (t *target) inFlight() int { return t.own + t.foreign }

// usable reports whether the target may get new calls at all.
func (t *target) usable(now time.Time, q *Queue) bool {
	if !t.listed || t.state != Live {
		return false
	}
	if !t.left.IsZero() && now.Sub(t.left) < q.opt.LeftFor {
		return false
	}
	return t.failed.IsZero() || now.Sub(t.failed) >= q.opt.Probation
}

// allowed returns how many calls may be at the target now.
func (t *target) allowed(now time.Time, q *Queue) int {
	if !t.usable(now, q) {
		return 0
	}
	if !t.failed.IsZero() {
		return 1
	}
	if t.rampStart.IsZero() {
		return q.opt.MaxInFlight
	}
	since := now.Sub(t.rampStart)
	if since >= q.opt.Ramp {
		t.rampStart = time.Time{}
		return q.opt.MaxInFlight
	}
	return 1 + int(float64(q.opt.MaxInFlight-1)*float64(since)/float64(q.opt.Ramp))
}

// admits reports whether the item may go to the target now.
func (t *target) admits(now time.Time, q *Queue, e *entry) bool {
	return t.inFlight() < t.allowed(now, q) && t.mayRun(e)
}

// mayRun reports whether the item may go to the target when it has room.
func (t *target) mayRun(e *entry) bool {
	if !t.failed.IsZero() && !e.item.Repeatable {
		return false
	}
	return !e.excludes(t.id)
}

func (t *target) count(now time.Time, delta int) {
	t.own += delta
	if len(t.changes) == changesKept {
		t.changes = slices.Delete(t.changes, 0, 1)
	}
	t.changes = append(t.changes, change{at: now, count: t.own})
}

// ownAt returns the own count at a time in the past.
func (t *target) ownAt(at time.Time) int {
	n := 0
	for _, c := range t.changes {
		if c.at.After(at) {
			break
		}
		n = c.count
	}
	if len(t.changes) == changesKept && t.changes[0].at.After(at) {
		return t.changes[0].count
	}
	return n
}

// update takes over the list's and the report's word.
func (t *target) update(now time.Time, q *Queue, u Target, first bool) {
	cameBack := !t.listed || (t.state != Live && u.State == Live)
	if u.State == Live && cameBack && !first {
		t.rampStart = now
	}
	if u.State == Dead && t.state == Live {
		t.failed = now
	}
	t.listed, t.state, t.zone, t.capacity = true, u.State, u.Zone, u.CacheCapacity
	if u.ReportedAt.After(t.reported) {
		t.reported = u.ReportedAt
		t.foreign = max(0, u.Running+u.Waiting-t.ownAt(u.ReportedAt))
	}
	if now.Sub(t.reported) > reportMaxAge {
		t.foreign = 0
	}
}

// learn takes a completion into the target's speed.
func (t *target) learn(o Options, took time.Duration, u record.Usage) {
	predicted := float64(u.Prompt-u.Cached)/o.PrefillRate + float64(u.Completion)/o.DecodeRate
	if predicted <= 0 || took <= 0 {
		return
	}
	ratio := min(max(took.Seconds()/predicted, slowMin), slowMax)
	t.slow += learnShare * (ratio - t.slow)
	t.service = mean(t.service, took.Seconds())
}

// mean returns the moving mean with a new value; 0 means that there was none.
func mean(old, v float64) float64 {
	if old == 0 {
		return v
	}
	return old + learnShare*(v-old)
}

// end takes an outcome into the target's state.
func (t *target) end(now time.Time, outcome Outcome) {
	switch outcome {
	case Completed, Failed:
		if !t.failed.IsZero() {
			t.failed, t.rampStart = time.Time{}, now
		}
	case Died:
		t.failed = now
	case Left:
		t.left = now
	}
}
