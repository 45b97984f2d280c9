// Package rate decides when a workspace's requests may be sent to targets. Each workspace has one owner, which keeps a
// token bucket with a FIFO queue of waiting requests. A dispatching instance checks a grant's age before it uses it.
//
// The package guarantees that no time window of any length holds more than rate x length + burst uses of grants. The
// owner does not see when a grant is used. A grant that is neither reported as used nor too old to be used may still be
// used at any moment, so its tokens do not start to refill. Arithmetic is in integers, without rounding.
package rate

import (
	"fmt"
	"math"
	"time"
)

// Rate is a rate in thousandths of a request per second.
type Rate int64

// MaxRate is the highest rate of a limit.
const MaxRate Rate = 1_000_000_000

// MaxBurst keeps a bucket's level within 64 bits.
const MaxBurst = 1_000_000

// unitsPerToken makes the refill during one nanosecond a whole number of units: thousandths of a request per second
// times nanoseconds.
const unitsPerToken = 1_000_000_000_000

// PerSecond converts requests per second, rounded down to a thousandth.
func PerSecond(requests float64) Rate {
	return Rate(math.Floor(requests * 1000))
}

// Limit is the rate limit of a workspace.
type Limit struct {
	Rate Rate
	// Burst is the number of requests that may be sent at once after a pause.
	Burst int64
}

// Validate returns an error if the rate or the burst is out of bounds.
func (l Limit) Validate() error {
	if l.Rate < 1 || l.Rate > MaxRate {
		return fmt.Errorf("rate of %g requests a second is not between 0.001 and %d", float64(l.Rate)/1000, MaxRate/1000)
	}
	if l.Burst < 1 || l.Burst > MaxBurst {
		return fmt.Errorf("burst of %d requests is not between 1 and %d", l.Burst, MaxBurst)
	}
	return nil
}

// refillTime returns how long it takes to refill units at the limit's rate, rounded up to a nanosecond.
func (l Limit) refillTime(units int64) time.Duration {
	if units <= 0 {
		return 0
	}
	r := int64(l.Rate)
	return time.Duration((units-1)/r + 1)
}

// Usable reports whether a dispatching instance may still use a grant. asked is when it requested the grant, answered
// when it received it, and sending when it sends the request to the target, all by the instance's own clock.
func Usable(asked, answered, sending time.Time, grantMax time.Duration) bool {
	return answered.Sub(asked) <= grantMax && sending.Sub(asked) <= grantMax
}
