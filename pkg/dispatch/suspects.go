package dispatch

import (
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/target"
)

const (
	// suspicionTTL is how long a call stays suspected after the death of a target that ran it.
	suspicionTTL = 2 * time.Minute
	// maxIsolationWait is how long a suspect waits at most for a target without another suspect. The wait is limited
	// because a pool may have fewer targets than suspects, and most suspects did not crash anything.
	maxIsolationWait = 2 * time.Second
)

// suspects tracks the calls that were running at a target when it died. Two suspects are not sent to the same target,
// because if one of them crashed it, the other would be suspected again without having caused the death.
type suspects struct {
	until map[ids.Fingerprint]time.Time // when each suspicion ends
	// inFlight holds the suspects that run at each target.
	inFlight map[*target.Target]map[Ticket]ids.Fingerprint
}

func newSuspects() suspects {
	return suspects{until: make(map[ids.Fingerprint]time.Time), inFlight: make(map[*target.Target]map[Ticket]ids.Fingerprint)}
}

// has reports whether the call with a fingerprint is suspected.
func (s suspects) has(now time.Time, f ids.Fingerprint) bool {
	until, ok := s.until[f]
	return ok && now.Before(until)
}

// placed adds a call to those in flight at its target if it is suspected.
func (s suspects) placed(now time.Time, e *entry) {
	if !s.has(now, e.item.Fingerprint) {
		return
	}
	if s.inFlight[e.target] == nil {
		s.inFlight[e.target] = make(map[Ticket]ids.Fingerprint)
	}
	s.inFlight[e.target][e.item.Ticket] = e.item.Fingerprint
}

// ended removes a call from those in flight at its target.
func (s suspects) ended(e *entry) {
	delete(s.inFlight[e.target], e.item.Ticket)
	if len(s.inFlight[e.target]) == 0 {
		delete(s.inFlight, e.target)
	}
}

// suspectCallsAt suspects all calls at a target that died. Calls with the same fingerprints that are in flight at other
// targets count as suspects there too. The reporter is the entry whose end showed the death; Done has already removed it
// from the queue.
func (q *Queue) suspectCallsAt(now time.Time, dead *target.Target, reporter *entry) {
	found := map[ids.Fingerprint]bool{}
	mark := func(e *entry) {
		if e.target == dead && e.item.Fingerprint != "" {
			found[e.item.Fingerprint] = true
			q.suspects.until[e.item.Fingerprint] = now.Add(suspicionTTL)
		}
	}
	mark(reporter)
	for _, e := range q.entries {
		mark(e)
	}
	for _, e := range q.entries {
		if e.target != nil && found[e.item.Fingerprint] {
			q.suspects.placed(now, e)
		}
	}
}

// mustIsolate reports whether an item is a suspect that should not run at the target because another suspect runs there.
func (q *Queue) mustIsolate(now time.Time, e *entry, t *target.Target) bool {
	if len(q.suspects.inFlight[t]) == 0 || !q.suspects.has(now, e.item.Fingerprint) || now.Sub(e.Arrived) >= maxIsolationWait {
		return false
	}
	for _, f := range q.suspects.inFlight[t] {
		if f != e.item.Fingerprint {
			return true
		}
	}
	return false
}

func (s suspects) dropOld(now time.Time) {
	for f, until := range s.until {
		if !now.Before(until) {
			delete(s.until, f)
		}
	}
}
