// Package registry holds the targets that have registered themselves in the platform's log.
package registry

import (
	"time"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// ReturnGrace is how long after an outage of the log a target is still used although its entry has expired. The target
// could not renew its entry during the outage, and it may need this time to register again.
const ReturnGrace = 2200 * time.Millisecond

// tombstoneAge is how long a removed target's last report is kept, so that an older report that arrives late does not add
// the target again.
const tombstoneAge = 2 * time.Minute

// leavingTombstoneAge is the same for a target that has said that it is leaving. It may serve for long after its entry was
// removed, and its entry may come back after an outage of the log.
const leavingTombstoneAge = time.Hour

// entry is a registered target, or the tombstone of a removed one.
type entry struct {
	target  call.Target
	removed time.Time // zero while the target is registered
	// usableUntil is when a removed target is no longer used.
	usableUntil time.Time
	// moved is set if another target has answered at the address since the last report.
	moved bool
	// leaving is set if this run of the target has said in an answer that it is leaving.
	leaving bool
}

func (e *entry) tombstoneAge() time.Duration {
	if e.leaving {
		return leavingTombstoneAge
	}
	return tombstoneAge
}

// Registry holds the registered targets. It is not safe for concurrent use.
type Registry struct {
	entries map[ids.TargetID]*entry
	// outageEnd is when the log answered again after an outage; zero if there was none.
	outageEnd time.Time
}

// New returns an empty registry.
func New() *Registry { return &Registry{entries: make(map[ids.TargetID]*entry)} }

// LogReturned records that the log answers again after an outage.
func (r *Registry) LogReturned(now time.Time) { r.outageEnd = now }

// Put applies a target's report. It reports whether the registered targets changed; a new sequence number alone is no
// change.
func (r *Registry) Put(t call.Target) bool {
	e := r.entries[t.ID]
	if e != nil && !t.Newer(e.target) {
		return false
	}
	changed := e == nil || !e.removed.IsZero() || e.moved || !equalExceptSeq(e.target, t)
	r.entries[t.ID] = &entry{target: t, leaving: e != nil && e.leaving && e.target.Born == t.Born}
	return changed
}

// equalExceptSeq reports whether two reports are equal except for their sequence numbers and the time for which the target
// stays cold, which becomes shorter in each report.
func equalExceptSeq(a, b call.Target) bool {
	a.Seq, a.ColdLeft = b.Seq, b.ColdLeft
	return a == b
}

// Remove removes a target. It reports whether the target was registered.
func (r *Registry) Remove(now time.Time, id ids.TargetID) bool {
	e := r.entries[id]
	if e == nil || !e.removed.IsZero() {
		return false
	}
	e.removed, e.usableUntil = now, now
	if !r.outageEnd.IsZero() && now.Sub(r.outageEnd) < ReturnGrace {
		e.usableUntil = r.outageEnd.Add(ReturnGrace)
	}
	return true
}

// Replace applies a complete list of reports and removes the targets that are not in it. It reports whether anything
// changed.
func (r *Registry) Replace(now time.Time, list []call.Target) (changed bool) {
	listed := make(map[ids.TargetID]bool, len(list))
	for _, t := range list {
		listed[t.ID] = true
		changed = r.Put(t) || changed
	}
	for id := range r.entries {
		if !listed[id] {
			changed = r.Remove(now, id) || changed
		}
	}
	return changed
}

// Moved records that another target answered at a target's address. The target is used again after its next report.
func (r *Registry) Moved(id ids.TargetID) {
	if e := r.entries[id]; e != nil {
		e.moved = true
	}
}

// Leaving records that a run of a target has said in an answer that it is leaving. From then on the run counts as draining,
// whatever its later reports say. It reports whether that is news.
func (r *Registry) Leaving(id ids.TargetID, born int64) bool {
	e := r.entries[id]
	if e == nil || e.target.Born != born || e.leaving {
		return false
	}
	e.leaving = true
	return true
}

// IsLeaving reports whether a run of a target is draining or has said that it is leaving.
func (r *Registry) IsLeaving(id ids.TargetID, born int64) bool {
	e := r.entries[id]
	return e != nil && e.target.Born == born && (e.leaving || e.target.Draining)
}

// Knows reports whether a report of a run of a target was applied, also if the target was removed since. Without the time of
// the start, a target that returns counts as another run.
func (r *Registry) Knows(id ids.TargetID, born int64) bool {
	e := r.entries[id]
	return e != nil && e.target.Born == born && (born != 0 || e.removed.IsZero())
}

// Known returns the last report of each target, including those that may not be used.
func (r *Registry) Known() (l []call.Target) {
	for _, e := range r.entries {
		l = append(l, e.target)
	}
	return l
}

// Targets returns the targets that may be used now, including draining ones, and drops old tombstones.
func (r *Registry) Targets(now time.Time) (l []call.Target) {
	for id, e := range r.entries {
		if !e.removed.IsZero() && now.Sub(e.removed) > e.tombstoneAge() {
			delete(r.entries, id)
			continue
		}
		if e.moved || !e.removed.IsZero() && !now.Before(e.usableUntil) {
			continue
		}
		t := e.target
		t.Draining = t.Draining || e.leaving
		l = append(l, t)
	}
	return l
}
