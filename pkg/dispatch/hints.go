package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

const (
	// holdersKept bounds the targets remembered for one prefix; more copies do not change the placement.
	holdersKept = 4
	// hintHalfLives is the age at which a hint is dropped.
	hintHalfLives = 6
)

// holder is a target that was seen to hold a prefix.
type holder struct {
	target *target
	tokens ids.Tokens
	at     time.Time
	stored float64 // the target's count of stored tokens at that time
}

// hints is the index of cached prefixes. It may be wrong in both directions.
type hints map[PrefixKey][]holder

func (h hints) store(now time.Time, key PrefixKey, t *target, tokens ids.Tokens) {
	if key == "" {
		return
	}
	h.evict(key, t)
	l := h[key]
	if len(l) == holdersKept {
		l = slices.Delete(l, 0, 1)
	}
	h[key] = append(l, holder{target: t, tokens: tokens, at: now, stored: t.stored})
}

func (h hints) evict(key PrefixKey, t *target) {
	l := slices.DeleteFunc(h[key], func(x holder) bool { return x.target == t })
	if len(l) == 0 {
		delete(h, key)
		return
	}
	h[key] = l
}

func (h hints) forget(t *target) {
	for key := range h {
		h.evict(key, t)
	}
}

// cached returns how many of the item's prefix tokens the target is expected to hold. The expectation halves with each
// half-life and ends when more than the cache's capacity was stored since.
func (h hints) cached(now time.Time, halfLife time.Duration, it Item, t *target) ids.Tokens {
	if it.Prefix == "" {
		return 0
	}
	for _, x := range h[it.Prefix] {
		if x.target != t {
			continue
		}
		if t.capacity > 0 && t.stored-x.stored > float64(t.capacity) {
			return 0
		}
		age := float64(now.Sub(x.at)) / float64(halfLife)
		return ids.Tokens(float64(min(x.tokens, it.PrefixTokens)) * math.Exp2(-max(age, 0)))
	}
	return 0
}

func (h hints) drop(now time.Time, halfLife time.Duration) {
	for key, l := range h {
		l = slices.DeleteFunc(l, func(x holder) bool { return now.Sub(x.at) > hintHalfLives*halfLife })
		if len(l) == 0 {
			delete(h, key)
			continue
		}
		h[key] = l
	}
}
