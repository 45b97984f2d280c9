// Package registry keeps the targets that have registered themselves in the platform's log.
package registry

import (
	"time"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// ReturnGrace is how long after an outage of the log an entry that lapsed meanwhile may still come back.
const ReturnGrace = 2200 * time.Millisecond

// tombstoneAge is how long a removed target's last report is remembered, so that an older one that arrives late does not
// bring it back.
const tombstoneAge = 2 * time.Minute

type entry struct {
	target  call.Target
	removed time.Time // zero while the target is registered
	// gone is when a removed target is no longer used.
	gone time.Time
	// moved tells that another target answered at the address.
	moved bool
}

// Registry holds the registered targets. It is not safe for concurrent use.
type Registry struct {
	entries map[ids.TargetID]*entry
	// outageEnd is when the log answered again after an outage; zero if there was none.
	outageEnd time.Time
}

// New returns an empty registry.
func New() *Registry { return &Registry{entries: make(map[ids.TargetID]*entry)} }

// LogReturned notes that the log answers again after an outage.
func (r *Registry) LogReturned(now time.Time) { r.outageEnd = now }

// Put takes over a target's report and reports whether it is news.
func (r *Registry) Put(t call.Target) bool {
	e := r.entries[t.ID]
	if e != nil && !t.Newer(e.target) {
		return false
	}
	changed := e == nil || !e.removed.IsZero() || e.moved || !same(e.target, t)
	r.entries[t.ID] = &entry{target: t}
	return changed
}

func same(a, b call.Target) bool {
	a.Seq = b.Seq
	return a == b
}

// Remove takes a target's entry away and reports whether that is news.
func (r *Registry) Remove(now time.Time, id ids.TargetID) bool {
	e := r.entries[id]
	if e == nil || !e.removed.IsZero() {
		return false
	}
	e.removed, e.gone = now, now
	if !r.outageEnd.IsZero() && now.Sub(r.outageEnd) < ReturnGrace {
		e.gone = r.outageEnd.Add(ReturnGrace)
	}
	return true
}

// Replace takes over a complete list: targets that are not in it are removed. It reports whether anything changed.
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

// Moved notes that another target answered at a target's address. It is used again after its next report.
func (r *Registry) Moved(id ids.TargetID) {
	if e := r.entries[id]; e != nil {
		e.moved = true
	}
}

// Targets returns the targets that may be used now, draining ones included, and forgets old tombstones.
func (r *Registry) Targets(now time.Time) (l []call.Target) {
	for id, e := range r.entries {
		if !e.removed.IsZero() && now.Sub(e.removed) > tombstoneAge {
			delete(r.entries, id)
			continue
		}
		if e.moved || !e.removed.IsZero() && !now.Before(e.gone) {
			continue
		}
		l = append(l, e.target)
	}
	return l
}
