package target

import (
	"cmp"
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
	target *Target
	tokens ids.Tokens
	at     time.Time
	stored float64 // the target's count of stored tokens at that time
}

// Set holds a pool's targets and the index of the prefixes that they are believed to cache.
type Set struct {
	opt    Options
	byID   map[ids.TargetID]*Target
	order  []*Target // by id, for the same decisions from the same input
	listed bool      // a list was seen
	hints  map[PrefixKey][]holder
}

// NewSet returns a set without targets.
func NewSet(o Options) *Set {
	return &Set{opt: o, byID: make(map[ids.TargetID]*Target), hints: make(map[PrefixKey][]holder)}
}

// All returns the targets by id. The slice is valid until the next Update or Release.
func (s *Set) All() []*Target { return s.order }

// Prefixes returns the number of prefixes in the index.
func (s *Set) Prefixes() int { return len(s.hints) }

// Update takes over the instance list and the load reports. Targets that are not in the list get no new calls.
func (s *Set) Update(now time.Time, list []Report) {
	named := make(map[ids.TargetID]bool, len(list))
	for _, r := range list {
		named[r.ID] = true
		t := s.byID[r.ID]
		if t == nil {
			t = &Target{opt: &s.opt, id: r.ID, slow: 1}
			s.byID[r.ID] = t
			s.order = append(s.order, t)
		}
		t.update(now, r, !s.listed)
	}
	s.listed = s.listed || len(list) > 0
	for _, t := range slices.Clone(s.order) {
		t.listed = named[t.id]
		s.Release(t)
	}
	slices.SortFunc(s.order, func(a, b *Target) int { return cmp.Compare(a.id, b.id) })
}

// Load takes over what a target says of its load in the answer to a call.
func (s *Set) Load(now time.Time, id ids.TargetID, running, waiting int) {
	if t := s.byID[id]; t != nil {
		t.report(now, Report{Running: running, Waiting: waiting, ReportedAt: now})
	}
}

// LoadAt takes over how many calls another dispatcher saw at a target.
func (s *Set) LoadAt(id ids.TargetID, calls int, at time.Time) {
	if t := s.byID[id]; t != nil && at.After(t.reported) {
		t.report(at, Report{Running: calls, ReportedAt: at})
	}
}

// Expected returns how many calls are likely to be at a target.
func (s *Set) Expected(now time.Time, id ids.TargetID) int {
	if t := s.byID[id]; t != nil {
		return int(math.Round(t.expected(now)))
	}
	return 0
}

// Release forgets a target that left the list, once its calls have ended.
func (s *Set) Release(t *Target) {
	if t.listed || t.own > 0 || s.byID[t.id] != t {
		return
	}
	s.Forget(t)
	delete(s.byID, t.id)
	s.order = slices.DeleteFunc(s.order, func(o *Target) bool { return o == t })
}

// Event takes over a target's report about its prefix cache.
func (s *Set) Event(now time.Time, ev CacheEvent) {
	t := s.byID[ev.Target]
	if t == nil {
		return
	}
	switch ev.Change {
	case CacheStored:
		s.Store(now, ev.Prefix, t, ev.Tokens)
	case CacheEvicted:
		s.evict(ev.Prefix, t)
	case CacheLost:
		s.Forget(t)
	}
}

// Store notes that a target holds so many tokens of a prefix.
func (s *Set) Store(now time.Time, key PrefixKey, t *Target, tokens ids.Tokens) {
	if key == "" {
		return
	}
	s.evict(key, t)
	l := s.hints[key]
	if len(l) == holdersKept {
		l = slices.Delete(l, 0, 1)
	}
	s.hints[key] = append(l, holder{target: t, tokens: tokens, at: now, stored: t.stored})
}

// Cached returns how many of a prefix's first tokens the target is expected to hold. The expectation halves with each
// half-life and ends when more than the cache's capacity was stored since.
func (s *Set) Cached(now time.Time, key PrefixKey, tokens ids.Tokens, t *Target) ids.Tokens {
	if key == "" {
		return 0
	}
	for _, x := range s.hints[key] {
		if x.target != t {
			continue
		}
		if t.capacity > 0 && t.stored-x.stored > float64(t.capacity) {
			return 0
		}
		age := float64(now.Sub(x.at)) / float64(s.opt.HintHalfLife)
		return ids.Tokens(float64(min(x.tokens, tokens)) * math.Exp2(-max(age, 0)))
	}
	return 0
}

// CachedParts returns how many of a prompt's first tokens the target is expected to hold, where the prompt is given by
// its parts and each key stands for the parts up to it.
func (s *Set) CachedParts(now time.Time, parts []Part, t *Target) (tokens ids.Tokens) {
	for i := len(parts) - 1; i >= 0; i-- {
		if n := s.Cached(now, parts[i].Key, parts[i].Tokens, t); n > tokens {
			tokens = n
		}
	}
	return tokens
}

// Forget drops all that is known about a target's cache.
func (s *Set) Forget(t *Target) {
	for key := range s.hints {
		s.evict(key, t)
	}
}

// ForgetPrefix drops a prefix of a program that ended and returns the targets that may hold it.
func (s *Set) ForgetPrefix(key PrefixKey) (holders []ids.TargetID) {
	for _, x := range s.hints[key] {
		holders = append(holders, x.target.id)
	}
	delete(s.hints, key)
	return holders
}

// DropOld drops hints that are too old to be of use.
func (s *Set) DropOld(now time.Time) {
	for key := range s.hints {
		s.filter(key, func(x holder) bool { return now.Sub(x.at) > hintHalfLives*s.opt.HintHalfLife })
	}
}

func (s *Set) evict(key PrefixKey, t *Target) {
	s.filter(key, func(x holder) bool { return x.target == t })
}

// filter removes the holders of a prefix for which drop is true.
func (s *Set) filter(key PrefixKey, drop func(holder) bool) {
	l, ok := s.hints[key]
	if !ok {
		return
	}
	l = slices.DeleteFunc(l, drop)
	if len(l) == 0 {
		delete(s.hints, key)
		return
	}
	s.hints[key] = l
}
