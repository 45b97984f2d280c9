// Package pace limits how fast an instance appends to the shared log service, by additive increase and multiplicative
// decrease. The rate starts at the instance's share and grows beyond it while the instance has more to append and the
// service accepts it. It is halved when the service refuses an append. So a few busy instances can use the capacity that
// idle ones leave.
//
// Source of the rule: Chiu and Jain, "Analysis of the increase and decrease algorithms for congestion avoidance", 1989.
package pace

import (
	"sync"
	"time"
)

const (
	// burstSeconds is the burst in seconds of the share. An instance that claims the slots of another one opens dozens of
	// slots with an append each. With a burst of one second, this took 2.4 s longer for 64 slots.
	burstSeconds = 4
	// maxShares bounds the rate in multiples of the share.
	maxShares = 20
	// increase is how much one append adds to the rate when the instance has used up its tokens, as a part of the share.
	increase = 0.25
	// minShares is the lowest rate in multiples of the share. It lets an instance that was refused still make progress.
	minShares = 0.25
	// idleReset is the time without appends after which the rate returns to the share.
	idleReset = 5 * time.Second
)

// Pace is a token bucket with an adaptive rate. Tokens can be taken in advance, with a wait that grows with the number of
// tokens that were already taken. It is safe for concurrent use.
type Pace struct {
	mu     sync.Mutex
	share  float64   // tokens per second
	rate   float64   // tokens per second
	tokens float64   // negative if tokens were taken in advance
	filled time.Time // when tokens were last added
}

// New returns a Pace for a share in appends per second, with a full bucket.
func New(now time.Time, share float64) *Pace {
	return &Pace{share: share, rate: share, tokens: burstSeconds * share, filled: now}
}

// Take takes the token for one append and returns how long the caller must wait before the append.
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

// fill adds the tokens for the time since the last call. The rate is reset first if the instance has been idle.
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

// Appended records an append that the service accepted. It raises the rate if the tokens are used up.
func (p *Pace) Appended() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tokens < 1 {
		p.rate = min(maxShares*p.share, p.rate+increase*p.share)
	}
}

// Refused records an append that the service refused because it got too many. It halves the rate.
func (p *Pace) Refused() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rate = max(minShares*p.share, p.rate/2)
}

// Rate returns the current rate in appends per second.
func (p *Pace) Rate() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rate
}
