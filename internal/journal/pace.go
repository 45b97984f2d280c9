package journal

import "time"

// Pace spaces out the appends of all journals of an instance.
type Pace interface {
	// Take takes a permit for one append and returns how long to wait before using it.
	Take(now time.Time) time.Duration
}
