// Package pace decides how fast an instance appends to the shared log service. An instance may always use its share; it
// goes beyond it, additively, while it has more to append and the service does not refuse, and halves its rate when the
// service does. So a few busy instances use what the idle ones leave.
//
// Source of the rule: Chiu and Jain, "Analysis of the increase and decrease algorithms for congestion avoidance", 1989.
package pace

import (
	"sync"
	"time"
)

const (
	// burstSeconds is the burst in seconds of the share. A take-over opens dozens of slots with an append each; with a
	// burst of one second it took 2.4 s longer for 64 slots.
	burstSeconds = 4
	// maxShares bounds the rate in multiples of the share.
	maxShares = 20
	// increase is the part of the share that one append adds to the rate when the instance has used up its tokens.
	increase = 0.25
	// minShares is the lowest rate, so that an instance that was refused still makes progress.
	minShares = 0.25
	// idleReset is the time without appends after which the rate is the share again.
	idleReset = 5 * time.Second
)

// Pace is a token bucket with an adaptive rate. It hands out tokens in advance: the wait for one grows with those already
// promised. Its methods may be called concurrently.
type Pace struct {
	mu     sync.Mutex
	share  float64
	rate   float64 // tokens a second
	tokens float64 // negative: promised in advance
	filled time.Time
}

// New returns a pace for a share in appends a second.
func New(now time.Time, share float64) *Pace {
	return &Pace{share: share, rate: share, tokens: burstSeconds * share, filled: now}
}

// Take takes a permission to append and returns how long to wait before using it.
func (p *Pace) Take(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fill(now)
	p.tokens--
	if p.tokens >= 0 {
		return 0
	}
	return time.Duration(-p.tokens / p.rate * float64(time.Second))
}

func (p *Pace) fill(now time.Time) {
	passed := now.Sub(p.filled)
	if passed <= 0 {
		return
	}
	if passed > idleReset {
		p.rate = p.share
	}
	p.tokens = min(burstSeconds*p.share, p.tokens+p.rate*passed.Seconds())
	p.filled = now
}

// Appended reports an append that the service took.
func (p *Pace) Appended() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tokens < 1 {
		p.rate = min(maxShares*p.share, p.rate+increase*p.share)
	}
}

// Refused reports an append that the service refused because it got too many.
func (p *Pace) Refused() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rate = max(minShares*p.share, p.rate/2)
}

// Rate returns the present rate in appends a second.
func (p *Pace) Rate() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rate
}
