package targets

import (
	"sync"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/suspect"
)

// Suspects remembers the calls under which targets died as seen from this instance, until all instances know of them.
type Suspects struct {
	mu      sync.Mutex
	tracker *suspect.Tracker
}

// NewSuspects returns an empty memory.
func NewSuspects() *Suspects { return &Suspects{tracker: suspect.New()} }

// Died notes that a target broke off while it ran a call.
func (s *Suspects) Died(now time.Time, d suspect.Death) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.DropOld(now)
	s.tracker.Died(now, d)
}

// Survived forgets a call that a target has answered.
func (s *Suspects) Survived(f ids.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Survived(f)
}

// Has reports whether a target died while it ran the call.
func (s *Suspects) Has(f ids.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Suspected(f)
}
