package target

import (
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

const (
	// workTimeAge is the age at which a reported work time no longer counts, because work times change within half a second.
	// Until then its weight falls linearly.
	workTimeAge = 500 * time.Millisecond
	// workTimeMemory is the time over which the mean of reported work times is taken. It is a multiple of workTimeAge, so
	// that the mean differs from the value of the moment.
	workTimeMemory = 4 * time.Second
)

// workTime tracks how long work takes at a target according to its reports, as a multiple of the usual time. The zero value
// is that of a target that has reported none, for which work takes the usual time.
type workTime struct {
	last float64
	at   time.Time
	mean float64
}

// report applies a reported work time, unless a newer one is known.
func (w *workTime) report(at time.Time, v float64) {
	if v <= 0 || !at.After(w.at) {
		return
	}
	v = min(max(v, minSlowness), maxSlowness)
	if w.mean == 0 {
		w.mean = v
	} else {
		w.mean += min(newValueWeight, float64(at.Sub(w.at))/float64(workTimeMemory)) * (v - w.mean)
	}
	w.last, w.at = v, at
}

// usual returns the mean of the reported work times.
func (w *workTime) usual() float64 {
	if w.mean == 0 {
		return 1
	}
	return w.mean
}

// now returns the expected work time: the last report while it is recent, and the mean later.
func (w *workTime) now(now time.Time) float64 {
	usual := w.usual()
	age := now.Sub(w.at)
	if w.last == usual || age >= workTimeAge {
		return usual
	}
	return usual + (w.last-usual)*(1-float64(max(age, 0))/float64(workTimeAge))
}

// WorkTime applies the work time that a target reported at a time: how long work takes there, as a multiple of the usual
// time. A value of 0 means that the target reported none.
func (s *Set) WorkTime(id ids.TargetID, workTime float64, at time.Time) {
	if t := s.byID[id]; t != nil {
		t.work.report(at, workTime)
	}
}

// WorkTime returns how long work is expected to take at the target now, as a multiple of the usual time, by the target's own
// reports; 1 if it reports none.
func (t *Target) WorkTime(now time.Time) float64 { return t.work.now(now) }

// pace returns how much longer work takes at the target now than at one of the assumed speed. The learned slowness is what
// the reported work time does not explain.
func (t *Target) pace(now time.Time) float64 { return t.slowness * t.work.now(now) }
