// Package suspect finds requests that crash the targets that run them. A request is known by a fingerprint of what makes
// it the same request when it comes again.
package suspect

import (
	"sync"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

const (
	// deathsToRefuse is how many targets must have died under a request for it to be refused.
	deathsToRefuse = 3
	// keep is how long a death counts.
	keep = 2 * time.Minute
	// most bounds the suspected requests that are remembered.
	most = 10_000
)

// Death tells that a target broke off while it ran a request.
type Death struct {
	Fingerprint ids.Fingerprint
	Target      ids.TargetID
}

type record struct {
	deaths map[ids.TargetID]time.Time
}

// Tracker counts the deaths under each request. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	records map[ids.Fingerprint]*record
}

// New returns an empty tracker.
func New() *Tracker { return &Tracker{records: make(map[ids.Fingerprint]*record)} }

// Died counts a death and returns under how many targets' deaths the request stands now.
func (t *Tracker) Died(now time.Time, d Death) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[d.Fingerprint]
	if r == nil {
		if len(t.records) >= most {
			return 0
		}
		r = &record{deaths: make(map[ids.TargetID]time.Time)}
		t.records[d.Fingerprint] = r
	}
	r.deaths[d.Target] = now
	return len(r.deaths)
}

// Survived clears a request that a target has completed. It reports whether the request was suspected.
func (t *Tracker) Survived(f ids.Fingerprint) (suspected bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	suspected = t.records[f] != nil
	delete(t.records, f)
	return suspected
}

// Suspected reports whether a target died under a request.
func (t *Tracker) Suspected(f ids.Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records[f] != nil
}

// Refuse reports whether a request must not run again.
func (t *Tracker) Refuse(f ids.Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	return r != nil && len(r.deaths) >= deathsToRefuse
}

// DropOld forgets old deaths.
func (t *Tracker) DropOld(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for f, r := range t.records {
		for id, at := range r.deaths {
			if now.Sub(at) > keep {
				delete(r.deaths, id)
			}
		}
		if len(r.deaths) == 0 {
			delete(t.records, f)
		}
	}
}
