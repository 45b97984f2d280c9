// Package engine is the adapter of model engines: chat completions with resumable streams, load, prefix cache, KV
// transfer and orders. Its errors are or wrap a *targethttp.Error.
package engine

import (
	"encoding/json"
	"fmt"
	"net/url"

	"github.com/comfreylink/comfreylink/internal/targethttp"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

const (
	// MaxMessageBytes limits an assistant message: a turn's record holds it twice, as message and as response, and its
	// entry is at most 1 MiB.
	MaxMessageBytes = 384 << 10
	// maxStreamBytes limits a stream. A token of 4 bytes takes an event of about 200.
	maxStreamBytes = MaxMessageBytes / 4 * 256
	// maxEventBytes limits one event, which may hold a whole message.
	maxEventBytes = 1 << 20
)

// Headers of requests to engines.
const (
	requestIDHeader = "X-Request-Id"
	workspaceHeader = "X-Workspace"
	programHeader   = "X-Program"
)

// Request is a model call with the program's whole history.
type Request struct {
	// ID names the call at the engine, for resuming and cancelling; it must be unique among all calls.
	ID       string
	Model    ids.ModelID
	Messages []record.Message
	// MaxTokens limits the completion; 0 leaves it to the engine.
	MaxTokens ids.Tokens
	// Options is a JSON object of further fields of the protocol, such as temperature and tools; nil for none. The
	// fields that this type holds itself, and those about streaming, are ignored.
	Options   json.RawMessage
	Workspace ids.WorkspaceID
	// Program is the program that the cached prefix is accounted to.
	Program ids.ProgramID
}

// Chunk is a part of an answer.
type Chunk struct {
	// Event is the number of the event in the stream, from 1.
	Event int64
	// Delta is the change to the message, as in the chat completions protocol.
	Delta json.RawMessage
	// FinishReason is empty but in the last chunk.
	FinishReason string
}

// Client calls engines. It is safe for concurrent use.
type Client struct{ http *targethttp.Client }

// New returns a client. The cleanup closes its idle connections.
func New() (c *Client, cleanup func(), err error) {
	h, cleanup := targethttp.New()
	return &Client{http: h}, cleanup, nil
}

// encode returns the request's body: streamed always, because only a stream can be resumed.
func (r Request) encode() (body []byte, err error) {
	fields := make(map[string]json.RawMessage)
	if len(r.Options) > 0 {
		if err := json.Unmarshal(r.Options, &fields); err != nil {
			return nil, fmt.Errorf("options: %w", err)
		}
	}
	if fields == nil { // the JSON value null
		fields = make(map[string]json.RawMessage)
	}
	messages := make([]json.RawMessage, len(r.Messages))
	for i, m := range r.Messages {
		if messages[i], err = EncodeMessage(m); err != nil {
			return nil, fmt.Errorf("message %d: %w", i, err)
		}
	}
	set := func(name string, v any) {
		if err == nil {
			fields[name], err = json.Marshal(v)
		}
	}
	delete(fields, "max_completion_tokens")
	delete(fields, "max_tokens")
	delete(fields, "n") // several alternative answers would be mixed into one
	if r.MaxTokens > 0 {
		set("max_tokens", r.MaxTokens)
	}
	set("model", r.Model)
	set("messages", messages)
	set("stream", true)
	set("stream_options", streamOptions{IncludeUsage: true})
	if err != nil {
		return nil, err
	}
	return json.Marshal(fields)
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

func streamPath(id string) string { return "/v1/streams/" + url.PathEscape(id) }
