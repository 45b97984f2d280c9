// Package recordgate feeds pkg/admission with the writes of an instance, asks it before requests are sent, and logs and counts
// its refusals.
package recordgate

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/pkg/admission"
)

// refusalEventInterval is the least time between two log events about refusals.
const refusalEventInterval = time.Second

// Observer is notified of each decision.
type Observer interface {
	// Admission reports a decision: "admitted", "probe" or the reason of a refusal.
	Admission(result string, first bool)
}

// Config holds a gate's dependencies.
type Config struct {
	Now      func() time.Time
	Observer Observer
	Logger   *zap.Logger
}

// Gate is an admission.Gate that is safe for concurrent use. A nil Gate admits all requests.
type Gate struct {
	Config
	mu       sync.Mutex
	gate     *admission.Gate
	waiting  map[*Write]time.Time // writes that have not succeeded, and when they began
	refused  refusals
	loggedAt time.Time
}

// refusals counts the refusals since the last log event.
type refusals struct{ count, first int }

// New returns a gate that takes the log to be available.
func New(c Config) *Gate {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Gate{Config: c, gate: admission.New(c.Now(), random), waiting: make(map[*Write]time.Time)}
}

// Write is a write to the log with all its attempts. The methods of a nil Write do nothing.
type Write struct{ gate *Gate }

// Begin records that a write begins. The caller must call End.
func (g *Gate) Begin() *Write {
	if g == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	w := &Write{gate: g}
	now := g.Now()
	g.waiting[w] = now
	g.update(now)
	return w
}

// AttemptFailed records an attempt that failed. The write goes on. An error with which the log has answered, such as a
// conflict, is no failure.
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

// End records the end of a write. The error is that of its last attempt, unless AttemptFailed got it already.
func (w *Write) End(err error) {
	if w == nil {
		return
	}
	g := w.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	began := g.waiting[w]
	delete(g.waiting, w)
	if err == nil {
		g.gate.Succeeded(now, now.Sub(began))
	} else {
		g.failed(now, err)
	}
	g.update(now)
}

// Succeeded records a write that was not announced by Begin.
func (g *Gate) Succeeded(took time.Duration) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.Succeeded(g.Now(), took)
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

// update passes on how many writes wait. The caller holds the lock.
func (g *Gate) update(now time.Time) {
	oldest := time.Duration(0)
	for _, began := range g.waiting {
		oldest = max(oldest, now.Sub(began))
	}
	g.gate.Waiting(now, len(g.waiting), oldest)
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
