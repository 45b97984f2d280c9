// Package rate decides when a workspace's requests may be sent to targets: a token bucket with a FIFO of waiting
// requests, kept by one owner for each workspace, and the check that a dispatching instance makes before it uses a
// grant.
//
// The guarantee is about the times at which grants are used, which the owner does not see: no window of any length
// holds more than rate x length + burst uses. A grant that is neither reported as used nor too old to be used may still
// be used at any moment, so its token does not start to refill. Arithmetic is in integers, without rounding.
package rate

import (
	"fmt"
	"math"
	"time"
)

// Rate counts thousandths of a request per second.
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

// Limit is a workspace's setting.
type Limit struct {
	Rate Rate
	// Burst is the number of requests that may be sent at once after a pause.
	Burst int64
}

// Validate reports a limit that a bucket can't hold.
func (l Limit) Validate() error {
	if l.Rate < 1 || l.Rate > MaxRate {
		return fmt.Errorf("rate of %g requests a second is not between 0.001 and %d", float64(l.Rate)/1000, MaxRate/1000)
	}
	if l.Burst < 1 || l.Burst > MaxBurst {
		return fmt.Errorf("burst of %d requests is not between 1 and %d", l.Burst, MaxBurst)
	}
	return nil
}

// refillTime returns how long the limit's rate takes to add so many units, rounded up to a nanosecond.
func (l Limit) refillTime(units int64) time.Duration {
	if units <= 0 {
		return 0
	}
	r := int64(l.Rate)
	return time.Duration((units-1)/r + 1)
}

// Usable reports whether a dispatching instance may still use a grant: asked is when it sent the request for it,
// answered when the grant came and sending when the request goes to the target, all by the instance's own clock.
func Usable(asked, answered, sending time.Time, grantMax time.Duration) bool {
	return answered.Sub(asked) <= grantMax && sending.Sub(asked) <= grantMax
}
