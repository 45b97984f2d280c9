package logpace

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// burstTime is how much of the rate an idle instance may use at once; at least minBurst calls.
	burstTime = 250 * time.Millisecond
	minBurst  = 2
	// increasePart is the additive increase of the rate in one second, as a part of the limit of all instances. A hundred
	// instances together then grow by a fifth of the limit in a second.
	increasePart = 1.0 / 500
	// quietTime is the time without throttled answers after which the rate grows by the factor quietGrowth in a second. With
	// additive growth alone, instances with more load than others took longer than 5 s to reach their rate after an overload.
	quietTime   = time.Second
	quietGrowth = 2
	// minDecrease and maxDecrease bound the factor of a decrease. It is drawn at random, so that instances that were
	// throttled at the same time do not go on in step.
	minDecrease = 0.6
	maxDecrease = 0.8
	// minHold and maxHold bound the time until the next decrease. Answers to calls that were made before a decrease say
	// nothing about the lower rate.
	minHold = 150 * time.Millisecond
	maxHold = 350 * time.Millisecond
	// minRate is the lowest rate in calls per second. It lets a throttled instance notice that the log accepts calls.
	minRate = 2
	// idleReset is the time without waiting calls after which a rate above the initial one returns to it.
	idleReset = 5 * time.Second
	// usedTime is the time over which the used rate is averaged. usedMargin is how far above it the rate from which a decrease
	// starts may be: a decrease of a rate that is not used would have no effect.
	usedTime   = time.Second
	usedMargin = 1.25
)

// bucket is a token bucket with an adaptive rate.
type bucket struct {
	limit, initial float64 // calls per second
	rate           float64 // calls per second
	tokens         float64
	filled         time.Time // when tokens were last added
	short          bool      // a call has waited for a token since filled
	shortAt        time.Time // when a call last waited for a token
	throttledAt    time.Time // time of the last throttled answer
	holdUntil      time.Time // end of the hold after the last decrease
	loweredAt      time.Time
	used           float64 // average of the calls per second
}

func newBucket(now time.Time, limit, initial float64) bucket {
	b := bucket{limit: limit, initial: initial, rate: initial, filled: now, shortAt: now}
	b.tokens = b.burst()
	return b
}

// burst returns the largest number of tokens.
func (b *bucket) burst() float64 { return max(minBurst, b.rate*burstTime.Seconds()) }

// fill adds the tokens for the time since the last call. The rate grows if a call waited for a token meanwhile.
func (b *bucket) fill(now time.Time) {
	passed := now.Sub(b.filled).Seconds()
	if passed <= 0 {
		return
	}
	switch {
	case b.short:
		b.grow(now, passed)
	case now.Sub(b.shortAt) > idleReset:
		b.rate = min(b.rate, b.initial)
	}
	b.tokens = min(b.burst(), b.tokens+b.rate*passed)
	b.used *= math.Exp(-passed / usedTime.Seconds())
	b.filled, b.short = now, false
}

// grow raises the rate for a time in which calls waited for tokens.
func (b *bucket) grow(now time.Time, seconds float64) {
	grown := b.rate + b.limit*increasePart*seconds
	if now.Sub(b.throttledAt) > quietTime {
		grown = max(grown, b.rate*math.Pow(quietGrowth, seconds))
	}
	b.rate = min(b.limit, grown)
}

// take takes a token and reports whether there was one.
func (b *bucket) take(now time.Time) bool {
	b.fill(now)
	if b.tokens < 1 {
		b.short, b.shortAt = true, now
		return false
	}
	b.tokens--
	b.used += 1 / usedTime.Seconds()
	return true
}

// nextToken returns when the next token is there if the rate does not change.
func (b *bucket) nextToken(now time.Time) time.Time {
	missing := max(0, 1-b.tokens)
	// A microsecond more covers the rounding of the division.
	return now.Add(time.Duration(missing/b.rate*float64(time.Second)) + time.Microsecond)
}

// throttled lowers the rate after a throttled answer to a call that was made at sentAt, unless the rate was lowered after
// that or shortly before now. It reports whether it lowered the rate.
func (b *bucket) throttled(now, sentAt time.Time, random *rand.Rand) bool {
	b.fill(now)
	b.throttledAt = now
	b.tokens = min(b.tokens, 0)
	if now.Before(b.holdUntil) || sentAt.Before(b.loweredAt) || b.rate <= minRate {
		return false
	}
	from := min(b.rate, usedMargin*b.used)
	b.rate = max(minRate, from*(minDecrease+(maxDecrease-minDecrease)*random.Float64()))
	b.loweredAt = now
	b.holdUntil = now.Add(minHold + time.Duration(random.Float64()*float64(maxHold-minHold)))
	return true
}
