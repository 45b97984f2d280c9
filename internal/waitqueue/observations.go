package waitqueue

import (
	"slices"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

const (
	// sightingAge is how long a sighting is passed on: at full load a target gets several calls in that time.
	sightingAge = 100 * time.Millisecond
	// mostSightings bounds the sightings in one message.
	mostSightings = 24
)

// LoadObservation is how many calls an instance believes to be at a target. Instances tell each other, because each alone sees
// only a small part of the calls at a target.
type LoadObservation struct {
	Target ids.TargetID
	Calls  int
	At     time.Time
}

// loadObservations are the newest ones by target.
type loadObservations map[ids.TargetID]LoadObservation

// add keeps a sighting if it is newer than what is known, and reports whether it is.
func (s loadObservations) add(x LoadObservation) bool {
	if known, ok := s[x.Target]; ok && !x.At.After(known.At) {
		return false
	}
	s[x.Target] = x
	return true
}

// fresh returns the sightings that are worth passing on, newest first, and forgets the others.
func (s loadObservations) fresh(now time.Time) (l []LoadObservation) {
	for id, x := range s {
		if now.Sub(x.At) > sightingAge {
			delete(s, id)
			continue
		}
		l = append(l, x)
	}
	slices.SortFunc(l, func(a, b LoadObservation) int { return b.At.Compare(a.At) })
	return l[:min(len(l), mostSightings)]
}

// LoadObservations returns what this instance has learnt lately of the targets' loads.
func (l *Queues) LoadObservations(now time.Time) []LoadObservation {
	l.seenMu.Lock()
	defer l.seenMu.Unlock()
	return l.seen.fresh(now)
}

// MergeLoadObservations takes over what another instance has learnt.
func (l *Queues) MergeLoadObservations(now time.Time, list []LoadObservation) {
	l.seenMu.Lock()
	list = slices.DeleteFunc(list, func(x LoadObservation) bool { return now.Sub(x.At) > sightingAge || !l.seen.add(x) })
	l.seenMu.Unlock()
	for _, line := range l.all() {
		line.mu.Lock()
		for _, x := range list {
			line.queue.LoadAt(x.Target, x.Calls, x.At)
		}
		line.mu.Unlock()
	}
}

// saw notes a target's load.
func (l *Queues) saw(x LoadObservation) {
	l.seenMu.Lock()
	defer l.seenMu.Unlock()
	l.seen.add(x)
}
