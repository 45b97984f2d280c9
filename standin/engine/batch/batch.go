// Package batch keeps the time of an engine with continuous batching and holds the answers that it generates.
package batch

import (
	"slices"
	"sync"
	"time"

	"github.com/comfreylink/comfreylink/standin/engine/costs"
	"github.com/comfreylink/comfreylink/standin/engine/prefix"
)

// Batch runs generations by continuous batching: a step decodes one token of each sequence and prefills a chunk.
type Batch struct {
	slots   int
	speed   float64
	padding func() string
	wake    chan struct{}
	done    chan struct{}

	mu      sync.Mutex
	waiting []*sequence
	running []*sequence
	cache   *prefix.Cache
	events  *prefix.EventLog
}

// sequence is a generation in the batch.
type sequence struct {
	g       *Generation
	prefill int // prompt tokens still to be computed
	planned int // prompt tokens that the present step computes
}

// New returns a batch with a number of slots and a cache for a number of tokens. The speed divides all durations; the
// text that padding returns is added to the first token of an answer. The cleanup ends the batch's goroutine.
func New(slots, cacheTokens int, speed float64, padding func() string) (b *Batch, cleanup func()) {
	b = idle(slots, cacheTokens, speed, padding)
	var task sync.WaitGroup
	task.Go(b.loop)
	return b, func() {
		close(b.done)
		task.Wait()
	}
}

func idle(slots, cacheTokens int, speed float64, padding func() string) *Batch {
	return &Batch{
		slots: slots, speed: speed, padding: padding,
		wake: make(chan struct{}, 1), done: make(chan struct{}),
		cache: prefix.NewCache(cacheTokens), events: prefix.NewEventLog(),
	}
}

// Done is closed when the batch ends.
func (b *Batch) Done() <-chan struct{} { return b.done }

// Add queues a generation.
func (b *Batch) Add(g *Generation) {
	b.mu.Lock()
	b.waiting = append(b.waiting, &sequence{g: g})
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// loop runs steps until the batch is closed.
func (b *Batch) loop() {
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
		if late := time.Since(next); late > costs.MaxCatchUp {
			next = time.Now()
		}
		if wait := time.Until(next); wait > costs.WakeInterval {
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
func (b *Batch) plan(now time.Time) (step time.Duration, busy bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = slices.DeleteFunc(b.waiting, func(s *sequence) bool { return s.g.over() })
	b.running = slices.DeleteFunc(b.running, func(s *sequence) bool { return s.g.over() })
	for len(b.running) < b.slots && len(b.waiting) > 0 {
		s := b.waiting[0]
		b.waiting = b.waiting[1:]
		cached := min(b.cache.Match(s.g.prompt.Blocks), s.g.prompt.Tokens)
		// The last token is always computed, because it yields the first one of the answer.
		s.prefill = max(s.g.prompt.Tokens-cached, 1)
		s.g.start(cached, now)
		b.running = append(b.running, s)
	}
	return b.cost(), len(b.running) > 0
}

// cost plans the prefill of the next step and returns the step's duration.
func (b *Batch) cost() (step time.Duration) {
	budget, decoding := costs.PrefillChunk, 0
	for _, s := range b.running {
		if s.planned = 0; s.prefill == 0 {
			decoding++
			continue
		}
		s.planned = min(s.prefill, budget)
		budget -= s.planned
	}
	return costs.DecodeBase + time.Duration(decoding)*costs.DecodePerSequence + time.Duration(costs.PrefillChunk-budget)*costs.PrefillPerToken
}

// complete applies the step that plan announced.
func (b *Batch) complete(now time.Time) {
	padding := b.padding()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.running {
		if s.prefill > 0 {
			if s.prefill -= s.planned; s.prefill > 0 {
				continue
			}
			b.cache.Insert(s.g.key, s.g.prompt.Blocks, now)
		}
		if s.g.emit(padding, now) {
			b.cache.Insert(s.g.key, s.g.answered(), now)
		}
	}
	b.events.Record(b.cache, now)
}

// Counts returns the numbers of running and waiting sequences.
func (b *Batch) Counts() (running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.running), len(b.waiting)
}

// WithCache runs f on the cache and its events, and records what f changed.
func (b *Batch) WithCache(f func(*prefix.Cache, *prefix.EventLog)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(b.cache, b.events)
	b.events.Record(b.cache, time.Now())
}
