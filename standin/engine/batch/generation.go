package batch

import (
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/comfreylink/comfreylink/standin/engine/costs"
	"github.com/comfreylink/comfreylink/standin/engine/prefix"
)

// Run describes one execution of a chat request. Times are in Unix milliseconds and are 0 until the event happens.
type Run struct {
	ID           string `json:"id"`
	Workspace    string `json:"workspace"`
	Program      string `json:"program"`
	Model        string `json:"model"`
	Messages     int    `json:"messages"`
	Digest       string `json:"digest"`
	PromptTokens int    `json:"promptTokens"`
	CachedTokens int    `json:"cachedTokens"`
	// Generated is the number of tokens generated so far.
	Generated    int   `json:"generatedTokens"`
	ArrivedMs    int64 `json:"arrivedMs"`
	StartedMs    int64 `json:"startedMs"`
	FirstTokenMs int64 `json:"firstTokenMs"`
	EndedMs      int64 `json:"endedMs"`
	Completed    bool  `json:"completed"`
	Cancelled    bool  `json:"cancelled"`
}

// Generation is one answer. It continues without a connection, and any number of readers can read it.
type Generation struct {
	id        string
	model     string
	prompt    prefix.Prompt
	maxTokens int
	key       prefix.Key

	mu       sync.Mutex
	run      Run
	events   [][]byte // data of the server-sent events, numbered from 1
	text     strings.Builder
	produced int // tokens generated so far
	cached   int // prompt tokens that were cached
	state    State
	ended    time.Time
	changed  chan struct{} // closed and replaced by notify
}

// State is whether a generation is active or how it ended.
type State int

// States of a generation.
const (
	Active State = iota
	Finished
	Cancelled
)

// NewGeneration returns a generation that answers prompt p with limit tokens.
func NewGeneration(id, model string, p prefix.Prompt, limit int, k prefix.Key, now time.Time) *Generation {
	return &Generation{
		id: id, model: model, prompt: p, maxTokens: limit, key: k,
		changed: make(chan struct{}),
		run: Run{
			ID: id, Workspace: k.Workspace, Program: k.Program, Model: model,
			Messages: len(p.Blocks), Digest: p.Digest, PromptTokens: p.Tokens,
			ArrivedMs: now.UnixMilli(),
		},
	}
}

// ID returns the id of the request.
func (g *Generation) ID() string { return g.id }

// Model returns the model that answers.
func (g *Generation) Model() string { return g.model }

// finishReason is always the token limit, because a generated text never ends before it.
const finishReason = "length"

// Completion is a whole answer or a chunk of it, as in the chat completions protocol.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is the single choice of an answer.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Message is a message or the delta of one.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Usage counts the tokens of a call.
type Usage struct {
	Prompt     int          `json:"prompt_tokens"`
	Completion int          `json:"completion_tokens"`
	Total      int          `json:"total_tokens"`
	Details    UsageDetails `json:"prompt_tokens_details"`
}

// UsageDetails reports how many prompt tokens were cached.
type UsageDetails struct {
	Cached int `json:"cached_tokens"`
}

// start records the admission into the batch.
func (g *Generation) start(cached int, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cached = cached
	g.run.StartedMs, g.run.CachedTokens = now.UnixMilli(), cached
}

// emit adds the next token and reports whether it was the last one. The padding is appended to the first token.
func (g *Generation) emit(padding string, now time.Time) (last bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state != Active {
		return false
	}
	d := &Message{Content: g.prompt.Token(g.produced)}
	if g.produced == 0 {
		d.Role = "assistant"
		d.Content += padding
		g.run.FirstTokenMs = now.UnixMilli()
	}
	g.produced++
	g.text.WriteString(d.Content)
	g.publish(Completion{Choices: []Choice{{Delta: d}}})
	if g.produced < g.maxTokens {
		return false
	}
	g.finish(now)
	return true
}

// finish publishes the last chunk and the usage. The caller holds the lock.
func (g *Generation) finish(now time.Time) {
	reason := finishReason
	g.publish(Completion{Choices: []Choice{{Delta: &Message{}, FinishReason: &reason}}})
	g.publish(Completion{Choices: []Choice{}, Usage: g.usage()})
	g.state, g.ended = Finished, now
	g.run.EndedMs, g.run.Completed = now.UnixMilli(), true
	g.notify()
}

// Cancel ends the generation if it is active.
func (g *Generation) Cancel(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state != Active {
		return
	}
	g.state, g.ended = Cancelled, now
	g.run.EndedMs, g.run.Cancelled = now.UnixMilli(), true
	g.notify()
}

// over reports whether the generation has ended.
func (g *Generation) over() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state != Active
}

// RunRecord returns a description of the generation's execution so far.
func (g *Generation) RunRecord() Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.run
	r.Generated = g.produced
	return r
}

func (g *Generation) usage() *Usage {
	return &Usage{
		Prompt: g.prompt.Tokens, Completion: g.produced, Total: g.prompt.Tokens + g.produced,
		Details: UsageDetails{Cached: g.cached},
	}
}

// publish appends an event and wakes the readers. The caller holds the lock.
func (g *Generation) publish(c Completion) {
	c.ID, c.Object, c.Model = g.id, "chat.completion.chunk", g.model
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // every value of the type can be encoded
	}
	g.events = append(g.events, data)
	g.notify()
}

// notify wakes the readers. The caller holds the lock.
func (g *Generation) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// Read returns the events with a number above after, the state, and a channel that is closed at the next change.
func (g *Generation) Read(after int) (events [][]byte, s State, changed <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if after < len(g.events) {
		events = g.events[after:len(g.events):len(g.events)]
	}
	return events, g.state, g.changed
}

// Whole returns the answer as a single completion.
func (g *Generation) Whole() Completion {
	g.mu.Lock()
	defer g.mu.Unlock()
	reason := finishReason
	m := &Message{Role: "assistant", Content: g.text.String()}
	return Completion{
		ID: g.id, Object: "chat.completion", Model: g.model,
		Choices: []Choice{{Message: m, FinishReason: &reason}},
		Usage:   g.usage(),
	}
}

// promptWithAnswer returns the blocks of the prompt and the answer, which are the prefix of the program's next call.
func (g *Generation) promptWithAnswer() []prefix.Block {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.prompt.WithAnswer(g.text.String())
}

// Expired reports whether the answer ended more than costs.StreamRetention ago and can no longer be resumed.
func (g *Generation) Expired(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state != Active && now.Sub(g.ended) > costs.StreamRetention
}

// Forget frees the memory of an answer that can no longer be resumed.
func (g *Generation) Forget() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.events, g.prompt.Blocks = nil, nil
	g.text.Reset()
}
