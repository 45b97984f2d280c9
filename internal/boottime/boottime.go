// Package boottime provides a monotonic clock that also counts the time for which the machine was suspended. The monotonic
// clock of package time stops while the machine is suspended, so it must not measure the age of a lease or of a withdrawn
// key.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is a monotonic clock that counts suspension. Its times start at the wall clock time when the clock was created and
// have no monotonic reading. They may be compared with and subtracted from each other, but not from other times.
type Clock struct {
	start time.Time
	boot  time.Duration
}

// New returns a clock that starts at the current wall clock time.
func New() *Clock {
	return &Clock{start: time.Now().Round(0), boot: sinceBoot()}
}

// Now returns the clock's current time.
func (c *Clock) Now() time.Time {
	return c.start.Add(sinceBoot() - c.boot)
}

// sinceBoot returns the time since the machine's boot, including suspension.
func sinceBoot() time.Duration {
	var t unix.Timespec
	// The call fails only for an unknown clock, and Linux has had this one since 2.6.39.
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err)
	}
	return time.Duration(t.Nano())
}
