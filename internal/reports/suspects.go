package reports

import (
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/suspect"
)

// suspects tracks the requests during which targets died, and what was not reported of them yet.
type suspects struct {
	tracker  *suspect.Tracker
	deaths   []suspect.Death
	survived []ids.Fingerprint
}

func newSuspects() suspects { return suspects{tracker: suspect.New()} }

// ReportDeath records that a target died while it ran a request.
func (r *Reports) ReportDeath(d suspect.Death) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.suspects.tracker.ReportDeath(r.Now(), d) > 0 {
		r.suspects.deaths = append(r.suspects.deaths, d)
		if _, ok := r.crashes.recorded[d.Fingerprint]; !ok {
			r.crashes.recorded[d.Fingerprint] = recordedCrash{}
		}
	}
}

// Survived records that a target has completed a request.
func (r *Reports) Survived(f ids.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	deaths := r.suspects.tracker.Survived(f)
	if deaths > 0 {
		r.suspects.survived = append(r.suspects.survived, f)
	}
	if deaths >= minRecordedDeaths {
		r.crashes.survived = append(r.crashes.survived, f)
	}
	delete(r.crashes.recorded, f)
}

// Quarantined reports whether a request is refused because too many targets died while they ran it.
func (r *Reports) Quarantined(f ids.Fingerprint) bool {
	return r.suspects.tracker.MustRefuse(f)
}

// DropOld drops old deaths.
func (r *Reports) DropOld(now time.Time) {
	r.suspects.tracker.DropOld(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	for f := range r.crashes.recorded {
		if !r.suspects.tracker.Suspected(f) {
			delete(r.crashes.recorded, f)
		}
	}
}
