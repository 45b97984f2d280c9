package engine

import (
	"slices"
	"sync"
	"time"
)

// batch runs generations by continuous batching: a step decodes one token of each sequence and prefills a chunk.
type batch struct {
	slots   int
	speed   float64
	padding func() string
	wake    chan struct{}
	done    chan struct{}

	mu      sync.Mutex
	waiting []*sequence
	running []*sequence
	cache   *prefixCache
	log     *eventLog
}

// sequence is a generation in the batch.
type sequence struct {
	g       *generation
	prefill int // prompt tokens still to be computed
	planned int // prompt tokens that the present step computes
}

func newBatch(o Options, padding func() string) *batch {
	return &batch{
		slots: o.Slots, speed: o.Speed, padding: padding,
		wake: make(chan struct{}, 1), done: make(chan struct{}),
		cache: newPrefixCache(o.CacheTokens), log: newEventLog(),
	}
}

// add queues a generation.
func (b *batch) add(g *generation) {
	b.mu.Lock()
	b.waiting = append(b.waiting, &sequence{g: g})
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// loop runs steps until the batch is closed.
func (b *batch) loop() {
	next := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		step, busy := b.plan(time.Now())
		if !busy {
			select {
			case <-b.wake:
				next = time.Now()
				continue
			case <-b.done:
				return
			}
		}
		next = next.Add(time.Duration(float64(step) / b.speed))
		if late := time.Since(next); late > maxCatchUp {
			next = time.Now()
		}
		if wait := time.Until(next); wait > wakeInterval {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-b.done:
				return
			}
		}
		b.complete(time.Now())
	}
}

// plan admits waiting sequences into free slots and returns the duration of the next step.
func (b *batch) plan(now time.Time) (step time.Duration, busy bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = slices.DeleteFunc(b.waiting, func(s *sequence) bool { return s.g.over() })
	b.running = slices.DeleteFunc(b.running, func(s *sequence) bool { return s.g.over() })
	for len(b.running) < b.slots && len(b.waiting) > 0 {
		s := b.waiting[0]
		b.waiting = b.waiting[1:]
		cached := min(b.cache.match(s.g.prompt.blocks), s.g.prompt.tokens)
		// The last token is always computed, because it yields the first one of the answer.
		s.prefill = max(s.g.prompt.tokens-cached, 1)
		s.g.start(cached, now)
		b.running = append(b.running, s)
	}
	return b.cost(), len(b.running) > 0
}

// cost plans the prefill of the next step and returns the step's duration.
func (b *batch) cost() (step time.Duration) {
	budget, decoding := prefillChunk, 0
	for _, s := range b.running {
		if s.planned = 0; s.prefill == 0 {
			decoding++
			continue
		}
		s.planned = min(s.prefill, budget)
		budget -= s.planned
	}
	return decodeBase + time.Duration(decoding)*decodePerSequence + time.Duration(prefillChunk-budget)*prefillPerToken
}

// complete applies the step that plan announced.
func (b *batch) complete(now time.Time) {
	padding := b.padding()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.running {
		if s.prefill > 0 {
			if s.prefill -= s.planned; s.prefill > 0 {
				continue
			}
			b.cache.insert(s.g.key, s.g.prompt.blocks, now)
		}
		if s.g.emit(padding, now) {
			b.cache.insert(s.g.key, s.g.answered(), now)
		}
	}
	b.log.record(b.cache, now)
}

// counts returns the numbers of running and waiting sequences and the tokens of the cache.
func (b *batch) counts() (running, waiting, used, free int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.running), len(b.waiting), b.cache.used, b.cache.capacity - b.cache.used
}

// withCache runs f on the cache and reports the changes.
func (b *batch) withCache(f func(*prefixCache)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(b.cache)
	b.log.record(b.cache, time.Now())
}
