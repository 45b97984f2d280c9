package target

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

const (
	// maxHolders bounds the targets remembered for one prefix. Knowing of more copies would not change the placement.
	maxHolders = 4
	// maxHintHalfLives is the age at which a hint is dropped, in half-lives.
	maxHintHalfLives = 6
)

// holder is a hint that a target's cache holds a prefix.
type holder struct {
	target *Target
	tokens ids.Tokens
	at     time.Time
	stored float64 // Target.stored at that time
}

// Set holds a pool's targets and an index of the prefixes that their caches are expected to hold.
type Set struct {
	opt    Options
	byID   map[ids.TargetID]*Target
	order  []*Target // by id, so that decisions are deterministic
	listed bool      // whether a list that was not empty has been applied
	hints  map[PrefixKey][]holder
	pool   poolLoad
}

// NewSet returns a set without targets.
func NewSet(o Options) *Set {
	return &Set{opt: o, byID: make(map[ids.TargetID]*Target), hints: make(map[PrefixKey][]holder)}
}

// All returns the targets by id. The slice is valid until the next Update or RemoveUnlisted.
func (s *Set) All() []*Target { return s.order }

// Prefixes returns the number of prefixes in the index.
func (s *Set) Prefixes() int { return len(s.hints) }

// Update applies the instance list and its load reports. Targets that are not in the list get no new calls.
func (s *Set) Update(now time.Time, list []Report) {
	inList := make(map[ids.TargetID]bool, len(list))
	for _, r := range list {
		inList[r.ID] = true
		t := s.byID[r.ID]
		if t == nil {
			t = &Target{opt: &s.opt, pool: &s.pool, id: r.ID, slowness: 1}
			s.byID[r.ID] = t
			s.order = append(s.order, t)
		}
		t.update(now, r, !s.listed)
	}
	s.listed = s.listed || len(list) > 0
	for _, t := range slices.Clone(s.order) {
		t.listed = inList[t.id]
		s.RemoveUnlisted(t)
	}
	slices.SortFunc(s.order, func(a, b *Target) int { return cmp.Compare(a.id, b.id) })
}

// Load applies the load that a target reported with its answer to a call.
func (s *Set) Load(now time.Time, id ids.TargetID, running, waiting int) {
	if t := s.byID[id]; t != nil {
		t.report(now, Report{Running: running, Waiting: waiting, ReportedAt: now})
		s.pool.add(now, float64(t.foreign)/float64(t.limit()))
	}
}

// Hold keeps new calls from a target until a time.
func (s *Set) Hold(id ids.TargetID, until time.Time) {
	if t := s.byID[id]; t != nil && until.After(t.held) {
		t.held = until
	}
}

// ApplyLoadObservation applies a load observation of another dispatcher, unless a newer report is known.
func (s *Set) ApplyLoadObservation(id ids.TargetID, calls int, at time.Time) {
	if t := s.byID[id]; t != nil && at.After(t.reported) {
		t.report(at, Report{Running: calls, ReportedAt: at})
	}
}

// ExpectedCalls returns the estimated number of calls at a target; 0 if the target is unknown.
func (s *Set) ExpectedCalls(now time.Time, id ids.TargetID) int {
	if t := s.byID[id]; t != nil {
		return int(math.Round(t.expected(now)))
	}
	return 0
}

// RemoveUnlisted removes a target that is no longer in the list and has no calls of this dispatcher.
func (s *Set) RemoveUnlisted(t *Target) {
	if t.listed || t.own > 0 || s.byID[t.id] != t {
		return
	}
	s.ForgetCache(t)
	delete(s.byID, t.id)
	s.order = slices.DeleteFunc(s.order, func(o *Target) bool { return o == t })
}

// Event applies a target's report about its prefix cache.
func (s *Set) Event(now time.Time, ev CacheEvent) {
	t := s.byID[ev.Target]
	if t == nil {
		return
	}
	switch ev.Change {
	case CacheStored:
		s.Store(now, ev.Prefix, t, ev.Tokens)
	case CacheEvicted:
		s.removeHolder(ev.Prefix, t)
	case CacheLost:
		s.ForgetCache(t)
	}
}

// Store records that a target holds the given number of tokens of a prefix.
func (s *Set) Store(now time.Time, key PrefixKey, t *Target, tokens ids.Tokens) {
	if key == "" {
		return
	}
	s.removeHolder(key, t)
	l := s.hints[key]
	if len(l) == maxHolders {
		l = slices.Delete(l, 0, 1)
	}
	s.hints[key] = append(l, holder{target: t, tokens: tokens, at: now, stored: t.stored})
}

// Cached returns how many of a prefix's first tokens the target's cache is expected to hold. The number halves with each
// half-life of the hint, and is 0 once more tokens than the cache's capacity have been stored since.
func (s *Set) Cached(now time.Time, key PrefixKey, tokens ids.Tokens, t *Target) ids.Tokens {
	if key == "" {
		return 0
	}
	for _, h := range s.hints[key] {
		if h.target != t {
			continue
		}
		if t.capacity > 0 && t.stored-h.stored > float64(t.capacity) {
			return 0
		}
		halfLives := float64(now.Sub(h.at)) / float64(s.opt.HintHalfLife)
		return ids.Tokens(float64(min(h.tokens, tokens)) * math.Exp2(-max(halfLives, 0)))
	}
	return 0
}

// CachedParts returns how many of a prompt's first tokens the target's cache is expected to hold. The prompt is given as
// parts, each of which identifies the prompt up to its end.
func (s *Set) CachedParts(now time.Time, parts []Part, t *Target) (tokens ids.Tokens) {
	for i := len(parts) - 1; i >= 0; i-- {
		if n := s.Cached(now, parts[i].Key, parts[i].Tokens, t); n > tokens {
			tokens = n
		}
	}
	return tokens
}

// Holders appends the targets that may hold the longest of a prompt's parts that any target may hold.
func (s *Set) Holders(list []*Target, parts []Part) []*Target {
	for i := len(parts) - 1; i >= 0; i-- {
		for _, h := range s.hints[parts[i].Key] {
			list = append(list, h.target)
		}
		if len(list) > 0 {
			break
		}
	}
	return list
}

// ForgetCache drops all hints about a target's cache.
func (s *Set) ForgetCache(t *Target) {
	for key := range s.hints {
		s.removeHolder(key, t)
	}
}

// ForgetPrefix drops the hints about a prefix and returns the targets that may hold it.
func (s *Set) ForgetPrefix(key PrefixKey) (holders []ids.TargetID) {
	for _, h := range s.hints[key] {
		holders = append(holders, h.target.id)
	}
	delete(s.hints, key)
	return holders
}

// DropOld drops the hints that are older than maxHintHalfLives half-lives.
func (s *Set) DropOld(now time.Time) {
	for key := range s.hints {
		s.removeHolders(key, func(h holder) bool { return now.Sub(h.at) > maxHintHalfLives*s.opt.HintHalfLife })
	}
}

func (s *Set) removeHolder(key PrefixKey, t *Target) {
	s.removeHolders(key, func(h holder) bool { return h.target == t })
}

// removeHolders removes the holders of a prefix for which drop returns true.
func (s *Set) removeHolders(key PrefixKey, drop func(holder) bool) {
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
