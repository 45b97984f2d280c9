// Package suspect finds requests that crash the targets that run them. A request is identified by a fingerprint that stays
// the same when the request is repeated.
package suspect

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

const (
	// deathsToRefuse is how many targets must have died while they ran a request before the request is refused.
	deathsToRefuse = 3
	// deathTTL is how long a death counts.
	deathTTL = 2 * time.Minute
	// maxRecords bounds the number of suspected requests that are tracked.
	maxRecords = 10_000
)

// Death reports that a target died while it ran a request.
type Death struct {
	Fingerprint ids.Fingerprint
	Target      ids.TargetID
}

// record holds the targets that died while they ran a request, with the time of the last death of each.
type record struct {
	deaths map[ids.TargetID]time.Time
}

// Tracker counts the targets that died while they ran each request. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	records map[ids.Fingerprint]*record
}

// New returns an empty tracker.
func New() *Tracker { return &Tracker{records: make(map[ids.Fingerprint]*record)} }

// ReportDeath records a death and returns how many targets have died while they ran the request. If too many requests are
// tracked already, it returns 0 and records nothing.
func (t *Tracker) ReportDeath(now time.Time, d Death) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[d.Fingerprint]
	if r == nil {
		if len(t.records) >= maxRecords {
			return 0
		}
		r = &record{deaths: make(map[ids.TargetID]time.Time)}
		t.records[d.Fingerprint] = r
	}
	if now.After(r.deaths[d.Target]) {
		r.deaths[d.Target] = now
	}
	return len(r.deaths)
}

// RecallDeath records a death that happened at an earlier time, unless it does not count any more.
func (t *Tracker) RecallDeath(now, at time.Time, d Death) {
	if now.Sub(at) <= deathTTL {
		t.ReportDeath(at, d)
	}
}

// DatedDeath is a death of a target with its time.
type DatedDeath struct {
	Target ids.TargetID
	At     time.Time
}

// Deaths returns the last deaths of the targets that have died while they ran a request, in the order of the targets' ids.
func (t *Tracker) Deaths(f ids.Fingerprint) (l []DatedDeath) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	if r == nil {
		return nil
	}
	for _, id := range slices.Sorted(maps.Keys(r.deaths)) {
		l = append(l, DatedDeath{Target: id, At: r.deaths[id]})
	}
	return l
}

// Survived clears the suspicion of a request that a target has completed. It returns how many targets had died while they ran
// the request.
func (t *Tracker) Survived(f ids.Fingerprint) (deaths int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[f]; r != nil {
		deaths = len(r.deaths)
	}
	delete(t.records, f)
	return deaths
}

// Suspected reports whether a target died while it ran a request.
func (t *Tracker) Suspected(f ids.Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records[f] != nil
}

// MustRefuse reports whether a request must be refused because too many targets died while they ran it.
func (t *Tracker) MustRefuse(f ids.Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	return r != nil && len(r.deaths) >= deathsToRefuse
}

// DropOld drops the deaths that are older than deathTTL.
func (t *Tracker) DropOld(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for f, r := range t.records {
		for id, at := range r.deaths {
			if now.Sub(at) > deathTTL {
				delete(r.deaths, id)
			}
		}
		if len(r.deaths) == 0 {
			delete(t.records, f)
		}
	}
}
