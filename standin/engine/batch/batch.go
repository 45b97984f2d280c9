// Package batch simulates the timing of an engine with continuous batching and holds the answers that it generates.
package batch

import (
	"slices"
	"sync"
	"time"

	"github.com/comfreylink/comfreylink/standin/engine/costs"
	"github.com/comfreylink/comfreylink/standin/engine/prefix"
)

// Batch runs generations with continuous batching. Each step decodes one token of every sequence whose prompt is computed and
// prefills up to costs.PrefillChunk prompt tokens of the others.
type Batch struct {
	slots   int
	speed   float64
	padding func() string
	wake    chan struct{} // receives when a generation is added
	done    chan struct{} // closed by the cleanup

	mu      sync.Mutex
	waiting []*sequence
	running []*sequence
	cache   *prefix.Cache
	events  *prefix.EventLog
}

// sequence is a generation that waits for a slot or has one.
type sequence struct {
	g       *Generation
	prefill int // prompt tokens still to be computed
	planned int // prompt tokens that the current step computes
}

// New returns a running batch with the given number of slots and a prefix cache of cacheTokens tokens. All durations are
// divided by speed. The text that padding returns is appended to the first token of each answer. The cleanup stops the
// batch's goroutine and waits for it.
func New(slots, cacheTokens int, speed float64, padding func() string) (b *Batch, cleanup func()) {
	b = newBatch(slots, cacheTokens, speed, padding)
	var task sync.WaitGroup
	task.Go(b.loop)
	return b, func() {
		close(b.done)
		task.Wait()
	}
}

// newBatch returns a batch whose loop is not started.
func newBatch(slots, cacheTokens int, speed float64, padding func() string) *Batch {
	return &Batch{
		slots: slots, speed: speed, padding: padding,
		wake: make(chan struct{}, 1), done: make(chan struct{}),
		cache: prefix.NewCache(cacheTokens), events: prefix.NewEventLog(),
	}
}

// Done returns a channel that is closed when the batch stops.
func (b *Batch) Done() <-chan struct{} { return b.done }

// Add queues a generation for a slot.
func (b *Batch) Add(g *Generation) {
	b.mu.Lock()
	b.waiting = append(b.waiting, &sequence{g: g})
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// loop runs steps until done is closed.
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

// plan removes ended sequences, moves waiting ones into free slots and returns the duration of the next step. It reports
// whether there is a sequence to run.
func (b *Batch) plan(now time.Time) (step time.Duration, busy bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = slices.DeleteFunc(b.waiting, func(s *sequence) bool { return s.g.over() })
	b.running = slices.DeleteFunc(b.running, func(s *sequence) bool { return s.g.over() })
	for len(b.running) < b.slots && len(b.waiting) > 0 {
		s := b.waiting[0]
		b.waiting = b.waiting[1:]
		cached := min(b.cache.Match(s.g.prompt.Blocks), s.g.prompt.Tokens)
		// The last prompt token is always computed, because that yields the first token of the answer.
		s.prefill = max(s.g.prompt.Tokens-cached, 1)
		s.g.start(cached, now)
		b.running = append(b.running, s)
	}
	return b.planPrefill(), len(b.running) > 0
}

// planPrefill shares the prefill chunk of the next step among the sequences, in the order of their admission, and returns the
// step's duration.
func (b *Batch) planPrefill() (step time.Duration) {
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

// complete applies the step that plan prepared: it advances prefills, adds a token to each answer whose prompt is computed,
// and updates the cache.
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
			b.cache.Insert(s.g.key, s.g.promptWithAnswer(), now)
		}
	}
	b.events.Record(b.cache, now)
}

// Counts returns how many sequences are running and how many are waiting.
func (b *Batch) Counts() (running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.running), len(b.waiting)
}

// WithCache calls f with the cache and its event log while the batch is locked, and then records the changes that f made.
func (b *Batch) WithCache(f func(*prefix.Cache, *prefix.EventLog)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(b.cache, b.events)
	b.events.Record(b.cache, time.Now())
}
