// Package breaker decides whether a dependency that failed is worth another call.
package breaker

import "time"

const (
	// failuresToOpen is how many calls in a row must fail for the dependency to count as away.
	failuresToOpen = 2
	// probeInterval is the time between two calls to a dependency that is away.
	probeInterval = 250 * time.Millisecond
)

// Breaker is what one caller knows of a dependency. It is not safe for concurrent use.
type Breaker struct {
	failures  int
	open      bool
	nextProbe time.Time
}

// Open reports whether the dependency counts as away.
func (b *Breaker) Open() bool { return b.open }

// Allow reports whether a call may be made now. While the dependency is away, one call is allowed per probe interval.
func (b *Breaker) Allow(now time.Time) bool {
	if !b.open {
		return true
	}
	if now.Before(b.nextProbe) {
		return false
	}
	b.nextProbe = now.Add(probeInterval)
	return true
}

// Succeeded notes a call that was answered, and reports whether the dependency is back.
func (b *Breaker) Succeeded() (back bool) {
	back = b.open
	b.failures, b.open = 0, false
	return back
}

// Failed notes a call that was not answered, and reports whether the dependency counts as away from now on.
func (b *Breaker) Failed(now time.Time) (lost bool) {
	b.failures++
	if b.open || b.failures < failuresToOpen {
		return false
	}
	b.open, b.nextProbe = true, now.Add(probeInterval)
	return true
}
