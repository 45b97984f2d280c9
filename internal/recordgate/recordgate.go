// Package recordgate feeds pkg/admission with the writes of an instance, asks it before requests are sent, and logs and counts
// its refusals.
package recordgate

import (
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/pkg/admission"
)

const (
	// refusalEventInterval is the least time between two log events about refusals.
	refusalEventInterval = time.Second
	// stalledPartitions is how many partitions must have a write that waits for that to count against the log. A turn's record goes
	// to a second one if the first one does not answer.
	stalledPartitions = 2
	// failedPartitions is how many partitions must have refused writes since the last success for that to count against the log,
	// if these are not more than half of all.
	failedPartitions = 3
)

// Observer is notified of each decision.
type Observer interface {
	// Admission reports a decision: "admitted", "probe" or the reason of a refusal.
	Admission(result string, first bool)
}

// Config holds a gate's dependencies.
type Config struct {
	Now func() time.Time
	// Partitions is the number of partitions to which records are written.
	Partitions int
	Observer   Observer
	Logger     *zap.Logger
}

// Gate is an admission.Gate for the log as a whole. Partitions may be unavailable or silent one by one, which is no reason to refuse
// requests: most are of programs in other partitions, and turns are written to any. It is safe for concurrent use. A nil Gate admits
// all requests.
type Gate struct {
	Config
	mu       sync.Mutex
	gate     *admission.Gate
	waiting  map[*Write]struct{}            // writes that have not succeeded
	failing  map[partlog.Partition]struct{} // partitions that have refused writes since the last success
	refused  refusals
	loggedAt time.Time
}

// refusals counts the refusals since the last log event.
type refusals struct{ count, first int }

// New returns a gate that takes the log to be available.
func New(c Config) *Gate {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Gate{Config: c, gate: admission.New(c.Now(), random), waiting: make(map[*Write]struct{}), failing: make(map[partlog.Partition]struct{})}
}

// Write is a write to the log with all its attempts. The methods of a nil Write do nothing.
type Write struct {
	gate  *Gate
	began time.Time
	tried map[partlog.Partition]time.Time // since when
}

// Begin records that a write to a partition begins. The caller must call End or GiveUp.
func (g *Gate) Begin(p partlog.Partition) *Write {
	if g == nil {
		return nil
	}
	w := &Write{gate: g, began: g.Now(), tried: make(map[partlog.Partition]time.Time)}
	g.mu.Lock()
	g.waiting[w] = struct{}{}
	g.mu.Unlock()
	w.Try(p)
	return w
}

// Try records that the write is tried at a partition, beside those where it was tried before.
func (w *Write) Try(p partlog.Partition) {
	if w == nil {
		return
	}
	g := w.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	if _, ok := w.tried[p]; !ok {
		w.tried[p] = now
	}
	g.update(now)
}

// AttemptFailed records that attempts failed at more than one partition, if there is more than one. The write goes on. An error with
// which the log has answered, such as a conflict, is no failure.
func (w *Write) AttemptFailed(err error) {
	if w == nil {
		return
	}
	g := w.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failed(g.Now(), err)
}

// failed records a failure of an attempt. The caller holds the lock.
func (g *Gate) failed(now time.Time, err error) {
	switch {
	case errors.Is(err, partlog.ErrThrottled):
		g.gate.Failed(now, admission.Throttled)
	case errors.Is(err, partlog.ErrNotApplied):
		g.gate.Failed(now, admission.Unavailable)
	case errors.Is(err, partlog.ErrOutcomeUnknown):
		g.gate.Failed(now, admission.UnknownOutcome)
	}
}

// End records the end of a write. The error is that of its last attempt, at one partition, unless AttemptFailed got it already.
func (w *Write) End(err error) {
	if w == nil {
		return
	}
	g := w.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	delete(g.waiting, w)
	if err == nil {
		clear(g.failing)
		g.gate.Succeeded(now, now.Sub(w.began))
	} else if g.manyFail(w) {
		g.failed(now, err)
	}
	g.update(now)
}

// manyFail reports whether a write that failed is a sign against the log as a whole. The caller holds the lock.
func (g *Gate) manyFail(w *Write) bool {
	for p := range w.tried {
		g.failing[p] = struct{}{}
	}
	return len(g.failing) >= min(failedPartitions, g.Partitions/2+1)
}

// Succeeded records a write that was not announced by Begin and is no record of a request.
func (g *Gate) Succeeded(took time.Duration) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.failing)
	g.gate.SucceededElsewhere(g.Now(), took)
}

// Answered records that the log has answered a read of nothing, and how long that took.
func (g *Gate) Answered(took time.Duration) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.Answered(g.Now(), took)
}

// Unanswered records that the log has not answered a read of nothing in time.
func (g *Gate) Unanswered() {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.Unanswered(g.Now())
}

// ExpectedWrite returns how long a write is expected to take, 0 if that is not known.
func (g *Gate) ExpectedWrite() time.Duration {
	if g == nil {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.ExpectedWrite(g.Now())
}

// GiveUp records that a write ends without success, after AttemptFailed got the error of each attempt.
func (w *Write) GiveUp() {
	if w == nil {
		return
	}
	g := w.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, w)
	g.update(g.Now())
}

// update passes on how many writes wait, and since when more than one partition has had such a write. The caller holds the lock.
func (g *Gate) update(now time.Time) {
	oldest := make(map[partlog.Partition]time.Time)
	for w := range g.waiting {
		for p, since := range w.tried {
			if first, ok := oldest[p]; !ok || since.Before(first) {
				oldest[p] = since
			}
		}
	}
	needed := max(min(stalledPartitions, g.Partitions), 1)
	if len(oldest) < needed {
		g.gate.Waiting(now, 0, 0)
		return
	}
	times := slices.SortedFunc(maps.Values(oldest), time.Time.Compare)
	g.gate.Waiting(now, len(g.waiting), now.Sub(times[needed-1]))
}

// Decide decides whether a request may be sent to a target. Each request must be asked for once, directly before it is sent,
// since an admitted probe is expected to run.
func (g *Gate) Decide(r admission.Request) admission.Answer {
	if g == nil {
		return admission.Answer{Admitted: true}
	}
	g.mu.Lock()
	now := g.Now()
	a := g.gate.Decide(now, r)
	result := string(a.Reason)
	switch {
	case a.Probe:
		result = "probe"
	case a.Admitted:
		result = "admitted"
	default:
		g.logRefusal(now, r, a)
	}
	g.mu.Unlock()
	g.Observer.Admission(result, r.First)
	return a
}

// logRefusal logs refusals, at most once for each interval. The caller holds the lock.
func (g *Gate) logRefusal(now time.Time, r admission.Request, a admission.Answer) {
	g.refused.count++
	if r.First {
		g.refused.first++
	}
	if now.Sub(g.loggedAt) < refusalEventInterval {
		return
	}
	events.Log(g.Logger, events.AdmissionRefused, zap.String("reason", string(a.Reason)), zap.Int("count", g.refused.count),
		zap.Int("first", g.refused.first), zap.Duration("write", a.Write), zap.Int("waiting", len(g.waiting)),
		zap.Duration("retryAfter", a.RetryAfter))
	g.refused, g.loggedAt = refusals{}, now
}
