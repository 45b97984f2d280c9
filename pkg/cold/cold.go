// Package cold keeps which targets are cold and until when, and decides how long an instance sends no request to a cold target
// after one was not granted. A cold target serves few requests a second and crashes well above that.
package cold

import (
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

const (
	// MaxLeft bounds how long a target can say that it stays cold. A longer time is a fault of the target.
	MaxLeft = time.Hour
	// minHold and maxHold bound the time for which a target gets no requests. With hundreds of instances, one that asks every
	// minHold would call the owner of the target's limit thousands of times a second.
	minHold = 40 * time.Millisecond
	maxHold = 640 * time.Millisecond
	// holdDecrease divides the time after a request was granted. It is doubled by each refusal.
	holdDecrease = 4
)

// Targets holds until when targets are cold. It is not safe for concurrent use.
type Targets struct{ byID map[ids.TargetID]*state }

type state struct {
	born  int64
	until time.Time
	hold  time.Duration // the hold after the last refusal, before the jitter; 0 if there was none
}

// New returns a set without cold targets.
func New() *Targets { return &Targets{byID: make(map[ids.TargetID]*state)} }

// Observe records that the run of a target that started at born stays cold for the time left. It reports whether the target was
// not known to be cold before. An earlier, longer time is kept: entries and answers arrive in any order, and a target that is taken for
// cold too long only gets fewer requests.
func (t *Targets) Observe(now time.Time, id ids.TargetID, born int64, left time.Duration) (began bool) {
	if left <= 0 || left > MaxLeft {
		return false
	}
	s := t.byID[id]
	if s == nil || born > s.born {
		s = &state{born: born}
		t.byID[id] = s
	}
	if s.born != born {
		return false
	}
	began = !now.Before(s.until)
	if until := now.Add(left); until.After(s.until) {
		s.until = until
	}
	return began
}

// Left returns how long a run of a target stays cold; 0 if it is not.
func (t *Targets) Left(now time.Time, id ids.TargetID, born int64) time.Duration {
	if s := t.byID[id]; s != nil && s.born == born {
		return max(s.until.Sub(now), 0)
	}
	return 0
}

// Count returns the number of cold targets, and forgets those that are no longer cold.
func (t *Targets) Count(now time.Time) int {
	for id, s := range t.byID {
		if !now.Before(s.until) {
			delete(t.byID, id)
		}
	}
	return len(t.byID)
}

// Refused returns how long the target gets no requests after one for it was not granted, or after it refused one itself. retry
// is the owner's estimate of when it can grant one. The time doubles with each refusal: the more instances compete, the less often
// each has to ask. jitter, from 0 to 1, is random, so that instances do not ask at the same time. The time ends with
// the target's cold time, and is at most maxHold, also if the target's limit has no owner and retry is the end of a lease: the
// requests of a service without other targets wait for it.
func (t *Targets) Refused(now time.Time, id ids.TargetID, retry time.Duration, jitter float64) time.Duration {
	s := t.byID[id]
	if s == nil {
		return minHold
	}
	s.hold = min(max(2*s.hold, minHold), maxHold)
	hold := max(retry, time.Duration((0.5+jitter)*float64(s.hold)))
	return max(min(hold, maxHold, s.until.Sub(now)), 0)
}

// Granted records that a request for the target was granted.
func (t *Targets) Granted(id ids.TargetID) {
	if s := t.byID[id]; s != nil {
		s.hold /= holdDecrease
	}
}
