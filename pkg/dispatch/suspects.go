package dispatch

import (
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/target"
)

const (
	// suspicionKept is how long a call is suspected of the death of a target that ran it.
	suspicionKept = 2 * time.Minute
	// apartWait is how long a suspect waits for a target without another suspect. A pool may have fewer targets than
	// suspects, and most suspects are innocent.
	apartWait = 2 * time.Second
)

// suspects are the calls that were at a target when it died. Two suspects are not sent to the same target, so that the one
// that crashes targets does not take another suspect with it a second time.
type suspects struct {
	until map[ids.Fingerprint]time.Time
	// at holds the suspects in flight.
	at map[*target.Target]map[Ticket]ids.Fingerprint
}

func newSuspects() suspects {
	return suspects{until: make(map[ids.Fingerprint]time.Time), at: make(map[*target.Target]map[Ticket]ids.Fingerprint)}
}

func (s suspects) has(now time.Time, f ids.Fingerprint) bool {
	until, ok := s.until[f]
	return ok && now.Before(until)
}

// placed counts a call at its target if it is suspected.
func (s suspects) placed(now time.Time, e *entry) {
	if !s.has(now, e.item.Fingerprint) {
		return
	}
	if s.at[e.target] == nil {
		s.at[e.target] = make(map[Ticket]ids.Fingerprint)
	}
	s.at[e.target][e.item.Ticket] = e.item.Fingerprint
}

func (s suspects) ended(e *entry) {
	delete(s.at[e.target], e.item.Ticket)
	if len(s.at[e.target]) == 0 {
		delete(s.at, e.target)
	}
}

// suspect suspects all calls at a target that died, and counts those that run elsewhere at the same time.
func (q *Queue) suspect(now time.Time, dead *target.Target, first *entry) {
	found := map[ids.Fingerprint]bool{}
	mark := func(e *entry) {
		if e.target == dead && e.item.Fingerprint != "" {
			found[e.item.Fingerprint] = true
			q.suspects.until[e.item.Fingerprint] = now.Add(suspicionKept)
		}
	}
	mark(first)
	for _, e := range q.entries {
		mark(e)
	}
	for _, e := range q.entries {
		if e.target != nil && found[e.item.Fingerprint] {
			q.suspects.placed(now, e)
		}
	}
}

// keptApart reports whether a suspect should not go to the target, because another suspect runs there.
func (q *Queue) keptApart(now time.Time, e *entry, t *target.Target) bool {
	if len(q.suspects.at[t]) == 0 || !q.suspects.has(now, e.item.Fingerprint) || now.Sub(e.Arrived) >= apartWait {
		return false
	}
	for _, f := range q.suspects.at[t] {
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
