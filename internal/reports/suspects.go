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
func (r *Reports) ReportDeath(f ids.Fingerprint, t ids.TargetID) {
	d := suspect.Death{Fingerprint: f, Target: t}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.suspects.tracker.ReportDeath(r.Now(), d) > 0 {
		r.suspects.deaths = append(r.suspects.deaths, d)
	}
}

// Survived records that a target has completed a request.
func (r *Reports) Survived(f ids.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.suspects.tracker.Survived(f) {
		r.suspects.survived = append(r.suspects.survived, f)
	}
}

// Quarantined reports whether a request must be refused because too many targets died while they ran it.
func (r *Reports) Quarantined(f ids.Fingerprint) bool {
	return r.suspects.tracker.MustRefuse(f)
}

// DropOld drops old deaths.
func (r *Reports) DropOld(now time.Time) {
	r.suspects.tracker.DropOld(now)
}
