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
}

// loadObservations holds the newest observation of each target.
type loadObservations map[ids.TargetID]LoadObservation

// add stores an observation if it is newer than the known one of its target, and reports whether it is.
func (s loadObservations) add(x LoadObservation) bool {
	if known, ok := s[x.Target]; ok && !x.At.After(known.At) {
		return false
	}
	s[x.Target] = x
	return true
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
