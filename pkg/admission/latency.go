package admission

import "time"

// estimateWindow is how long before the newest write the writes ended by which the next one is estimated, at least half of it.
const estimateWindow = time.Second

// maxEstimateAge is how old an estimate may be. After that, nothing is known about the next write.
const maxEstimateAge = 4 * time.Second

// latency estimates how long a write takes as the longest of the latest ones. A log becomes slow and fast again within a second, and
// a mean that follows it more slowly refuses what has the time.
type latency struct {
	// current is the longest of the writes since began, previous that of the writes in the half window before.
	current, previous time.Duration
	began             time.Time
	at                time.Time // of the newest write
}

// add applies how long a write took.
func (l *latency) add(now time.Time, took time.Duration) {
	switch age := now.Sub(l.began); {
	case age >= estimateWindow:
		l.current, l.previous, l.began = 0, 0, now
	case age >= estimateWindow/2:
		l.current, l.previous, l.began = 0, l.current, now
	}
	l.current, l.at = max(l.current, took), now
}

// expected returns a time that few writes exceed, or 0 if nothing is known.
func (l *latency) expected(now time.Time) time.Duration {
	if now.Sub(l.at) > maxEstimateAge {
		return 0
	}
	return max(l.current, l.previous)
}
