package journal

import (
	"sync"
	"time"
)

// Pace spaces out the appends of all journals of an instance.
type Pace interface {
	// Take takes a permission to append and returns how long to wait before using it.
	Take(now time.Time) time.Duration
}

// Bucket is a token bucket. It hands out tokens in advance: the wait for one grows with those already promised.
type Bucket struct {
	mu     sync.Mutex
	rate   float64 // tokens a second
	burst  float64
	tokens float64 // negative: promised in advance
	filled time.Time
}

// NewBucket returns a full bucket of burst tokens, refilled at perSecond tokens a second.
func NewBucket(perSecond, burst float64, now time.Time) *Bucket {
	return &Bucket{rate: perSecond, burst: burst, tokens: burst, filled: now}
}

// Take implements Pace.
func (b *Bucket) Take(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if passed := now.Sub(b.filled); passed > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*passed.Seconds())
		b.filled = now
	}
	b.tokens--
	if b.tokens >= 0 {
		return 0
	}
	return time.Duration(-b.tokens / b.rate * float64(time.Second))
}
