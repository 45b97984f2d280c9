package target

import (
	"math"
	"time"
)

const (
	// poolReportWeight is the weight of one load report in the mean of the pool.
	poolReportWeight = 0.05
	// poolHalfLife is the time without any report after which half of the mean is assumed to have ended.
	poolHalfLife = time.Second
)

// poolLoad is the mean of the reported calls of other dispatchers at the targets of a pool, as a share of each target's limit.
// It stands in for targets without a recent report: taking them for idle would let dispatchers that know little admit calls to
// a full pool.
type poolLoad struct {
	share float64
	at    time.Time
}

func (p *poolLoad) add(at time.Time, share float64) {
	p.share += poolReportWeight * (min(share, 1) - p.share)
	if at.After(p.at) {
		p.at = at
	}
}

// mean returns the mean share, which halves with each half-life since the last report of any target.
func (p *poolLoad) mean(now time.Time) float64 {
	return p.share * math.Exp2(-max(now.Sub(p.at).Seconds(), 0)/poolHalfLife.Seconds())
}
