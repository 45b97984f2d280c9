package waitqueue

import (
	"slices"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

const (
	// maxObservationAge is how long an observation is shared: at full load a target gets several calls in that time.
	maxObservationAge = 100 * time.Millisecond
	// maxObservations bounds the number of observations in one message.
	maxObservations = 24
)

// LoadObservation is the number of calls that an instance believes to be at a target at a time. Instances exchange their
// observations, because each alone sees only a small part of the calls at a target.
type LoadObservation struct {
	Target ids.TargetID
	Calls  int
	At     time.Time
	// WorkTime is how long work took at the target at the time WorkAt, as a multiple of the usual time, by the target's last
	// report; 0 if it is unknown. It may be older than Calls, which an instance also counts when it places a call.
	WorkTime float64
	WorkAt   time.Time
}

// loadObservations holds the newest observation of each target.
type loadObservations map[ids.TargetID]LoadObservation

// add stores what is newer in an observation than in the known one of its target, and reports whether anything is.
func (s loadObservations) add(x LoadObservation) bool {
	known := s[x.Target]
	newCalls, newWork := x.At.After(known.At), x.WorkTime > 0 && x.WorkAt.After(known.WorkAt)
	if !newCalls {
		x.Calls, x.At = known.Calls, known.At
	}
	if !newWork {
		x.WorkTime, x.WorkAt = known.WorkTime, known.WorkAt
	}
	s[x.Target] = x
	return newCalls || newWork
}

// fresh returns the observations that are recent enough to share, newest first, and deletes the others.
func (s loadObservations) fresh(now time.Time) (list []LoadObservation) {
	for id, x := range s {
		if now.Sub(x.At) > maxObservationAge {
			delete(s, id)
			continue
		}
		list = append(list, x)
	}
	slices.SortFunc(list, func(a, b LoadObservation) int { return b.At.Compare(a.At) })
	return list[:min(len(list), maxObservations)]
}

// LoadObservations returns the recent observations of this instance, its own and those of others.
func (q *Queues) LoadObservations(now time.Time) []LoadObservation {
	q.loadsMu.Lock()
	defer q.loadsMu.Unlock()
	return q.loads.fresh(now)
}

// MergeLoadObservations applies the observations of another instance that are recent and newer than the known ones.
func (q *Queues) MergeLoadObservations(now time.Time, list []LoadObservation) {
	q.loadsMu.Lock()
	list = slices.DeleteFunc(list, func(x LoadObservation) bool { return now.Sub(x.At) > maxObservationAge || !q.loads.add(x) })
	q.loadsMu.Unlock()
	for _, sq := range q.all() {
		sq.mu.Lock()
		for _, x := range list {
			sq.queue.ApplyLoadObservation(x.Target, x.Calls, x.At)
			sq.queue.WorkTime(x.Target, x.WorkTime, x.WorkAt)
		}
		sq.mu.Unlock()
	}
}

// recordLoad stores an observation of this instance.
func (q *Queues) recordLoad(x LoadObservation) {
	q.loadsMu.Lock()
	defer q.loadsMu.Unlock()
	q.loads.add(x)
}
