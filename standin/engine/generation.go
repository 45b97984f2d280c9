package engine

import (
	"encoding/json"
	"strings"
	"sync"
	"time"
)

// generation is one answer. It goes on without a connection and can be read by any number of readers.
type generation struct {
	id     string
	model  string
	prompt prompt
	max    int
	key    entryKey
	run    Run // guarded by mu

	mu       sync.Mutex
	events   [][]byte // data of the server-sent events, numbered from 1
	text     strings.Builder
	produced int
	cached   int
	state    genState
	ended    time.Time
	changed  chan struct{}
}

type genState int

const (
	active genState = iota
	finished
	cancelled
)

// finishReason is always the limit of tokens: the text has no end of its own.
const finishReason = "length"

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type usage struct {
	Prompt     int          `json:"prompt_tokens"`
	Completion int          `json:"completion_tokens"`
	Total      int          `json:"total_tokens"`
	Details    usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	Cached int `json:"cached_tokens"`
}

// start notes the admission into the batch.
func (g *generation) start(cached int, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cached = cached
	g.run.StartedMs, g.run.CachedTokens = now.UnixMilli(), cached
}

// emit adds the next token and reports whether it was the last. The padding goes into the first token.
func (g *generation) emit(padding string, now time.Time) (last bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state != active {
		return false
	}
	d := &message{Content: g.prompt.token(g.produced)}
	if g.produced == 0 {
		d.Role = "assistant"
		d.Content += padding
		g.run.FirstTokenMs = now.UnixMilli()
	}
	g.produced++
	g.text.WriteString(d.Content)
	g.publish(completion{Choices: []choice{{Delta: d}}})
	if g.produced < g.max {
		return false
	}
	g.finish(now)
	return true
}

// finish adds the last chunk and the usage. The caller holds the lock.
func (g *generation) finish(now time.Time) {
	reason := finishReason
	g.publish(completion{Choices: []choice{{Delta: &message{}, FinishReason: &reason}}})
	g.publish(completion{Choices: []choice{}, Usage: g.usage()})
	g.state, g.ended = finished, now
	g.run.EndedMs, g.run.Completed = now.UnixMilli(), true
	g.notify()
}

// cancel ends the generation unless it is over.
func (g *generation) cancel(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state != active {
		return
	}
	g.state, g.ended = cancelled, now
	g.run.EndedMs, g.run.Cancelled = now.UnixMilli(), true
	g.notify()
}

// over reports whether the generation has ended.
func (g *generation) over() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state != active
}

// record returns a copy of the generation's run.
func (g *generation) record() Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.run
}

func (g *generation) usage() *usage {
	return &usage{
		Prompt: g.prompt.tokens, Completion: g.produced, Total: g.prompt.tokens + g.produced,
		Details: usageDetails{Cached: g.cached},
	}
}

func (g *generation) publish(c completion) {
	c.ID, c.Object, c.Model = g.id, "chat.completion.chunk", g.model
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // the type has no values that cannot be encoded
	}
	g.events = append(g.events, data)
	g.notify()
}

func (g *generation) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// read returns the events after a number, the state, and a channel that is closed at the next change.
func (g *generation) read(after int) (events [][]byte, s genState, changed <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if after < len(g.events) {
		events = g.events[after:len(g.events):len(g.events)]
	}
	return events, g.state, g.changed
}

// whole returns the answer as one JSON value.
func (g *generation) whole() completion {
	g.mu.Lock()
	defer g.mu.Unlock()
	reason := finishReason
	m := &message{Role: "assistant", Content: g.text.String()}
	return completion{
		ID: g.id, Object: "chat.completion", Model: g.model,
		Choices: []choice{{Message: m, FinishReason: &reason}},
		Usage:   g.usage(),
	}
}

// answered returns the prompt with the answer, which is the prefix of the program's next call.
func (g *generation) answered() []block {
	g.mu.Lock()
	defer g.mu.Unlock()
	data, err := json.Marshal(map[string]any{"role": "assistant", "content": g.text.String()})
	if err != nil || len(g.prompt.blocks) == 0 {
		return g.prompt.blocks
	}
	last := g.prompt.blocks[len(g.prompt.blocks)-1].prefix
	return append(g.prompt.blocks[:len(g.prompt.blocks):len(g.prompt.blocks)], nextBlock(last, data))
}

func (g *generation) expired(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state != active && now.Sub(g.ended) > streamRetention
}

// forget frees the memory of an answer that is no longer resumed.
func (g *generation) forget() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.events, g.prompt.blocks = nil, nil
	g.text.Reset()
}
