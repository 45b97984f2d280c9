// Package suspect finds requests that crash the targets that run them. A request is identified by a fingerprint that stays
// the same when the request is repeated.
package suspect

import (
	"cmp"
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
	// Born is when the target started, in Unix milliseconds; 0 if it is not known. A target that starts again under its id can
	// die again.
	Born int64
}

// run is one run of a target.
type run struct {
	target ids.TargetID
	born   int64
}

// record holds the targets that died while they ran a request, with the time of the last death of each run.
type record struct {
	deaths map[run]time.Time
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
		r = &record{deaths: make(map[run]time.Time)}
		t.records[d.Fingerprint] = r
	}
	died := run{target: d.Target, born: d.Born}
	if now.After(r.deaths[died]) {
		r.deaths[died] = now
	}
	return len(r.deaths)
}

// RestoreDeath records a death that was stored by an earlier run, with the time at which it happened. A death that is too old to
// count is ignored.
func (t *Tracker) RestoreDeath(now, at time.Time, d Death) {
	if now.Sub(at) <= deathTTL {
		t.ReportDeath(at, d)
	}
}

// DatedDeath is a death with its time.
type DatedDeath struct {
	Death
	At time.Time
}

// Deaths returns the last deaths of the targets that have died while they ran a request, in the order of targets and runs.
func (t *Tracker) Deaths(f ids.Fingerprint) (l []DatedDeath) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	if r == nil {
		return nil
	}
	for died, at := range r.deaths {
		l = append(l, DatedDeath{Death: Death{Fingerprint: f, Target: died.target, Born: died.born}, At: at})
	}
	slices.SortFunc(l, func(a, b DatedDeath) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Born, b.Born))
	})
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
		for died, at := range r.deaths {
			if now.Sub(at) > deathTTL {
				delete(r.deaths, died)
			}
		}
		if len(r.deaths) == 0 {
			delete(t.records, f)
		}
	}
}
