// Package boottime gives a clock that also counts the time for which the machine was suspended. The steady clock of
// package time stands still meanwhile, so it must not measure the age of a lease or of a withdrawn key.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is a steady clock that counts suspension. Its times have no monotonic reading and may be compared and subtracted
// with each other; they start at the time of day at which the clock was made.
type Clock struct {
	start time.Time
	boot  time.Duration
}

// New returns a clock.
func New() *Clock {
	return &Clock{start: time.Now().Round(0), boot: sinceBoot()}
}

// Now returns the present time of the clock.
func (c *Clock) Now() time.Time {
	return c.start.Add(sinceBoot() - c.boot)
}

func sinceBoot() time.Duration {
	var t unix.Timespec
	// The call fails only for an unknown clock, and Linux has had this one since 2.6.39.
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err)
	}
	return time.Duration(t.Nano())
}
