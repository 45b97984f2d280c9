// Package breaker provides a circuit breaker. It stops calls to a dependency that keeps failing and probes it now and then.
package breaker

import "time"

const (
	// failuresToOpen is how many calls in a row must fail for the breaker to open.
	failuresToOpen = 2
	// probeInterval is the time between two calls while the breaker is open.
	probeInterval = 250 * time.Millisecond
)

// Breaker is one caller's circuit breaker for one dependency. It is not safe for concurrent use.
type Breaker struct {
	failures  int
	open      bool
	nextProbe time.Time
}

// Open reports whether the breaker is open, which means that the dependency is considered unavailable.
func (b *Breaker) Open() bool { return b.open }

// Allow reports whether a call may be made now. While the breaker is open, it allows one call per probeInterval.
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

// ProbeNext makes an open breaker allow the next call.
func (b *Breaker) ProbeNext() { b.nextProbe = time.Time{} }

// Succeeded records a call that was answered, and reports whether this closed the breaker.
func (b *Breaker) Succeeded() (closed bool) {
	closed = b.open
	b.failures, b.open = 0, false
	return closed
}

// Failed records a call that was not answered, and reports whether this opened the breaker.
func (b *Breaker) Failed(now time.Time) (opened bool) {
	b.failures++
	if b.open || b.failures < failuresToOpen {
		return false
	}
	b.open, b.nextProbe = true, now.Add(probeInterval)
	return true
}
