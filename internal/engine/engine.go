// Package engine is the client of model engines. It makes chat completions whose streams can be resumed, reads load
// reports and the prefix cache, transfers KV caches and sends orders. Its errors are or wrap a *targethttp.Error.
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
	// MaxMessageBytes limits an assistant message. The record of a turn holds the message twice, as message and as
	// response, and must fit into a log entry of 1 MiB.
	MaxMessageBytes = 384 << 10
	// maxStreamBytes limits a stream. A token of 4 bytes is sent in an event of about 200 bytes.
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

// Request is a model call. It contains the whole history of the program.
type Request struct {
	// ID identifies the call at the engine, so that it can be resumed and cancelled. It must be unique among all calls.
	ID       string
	Model    ids.ModelID
	Messages []record.Message
	// MaxTokens limits the completion; 0 leaves it to the engine.
	MaxTokens ids.Tokens
	// Options is a JSON object with further fields of the chat completions protocol, such as temperature and tools; nil
	// for none. Fields that this type has itself, and those about streaming and alternative answers, are ignored.
	Options   json.RawMessage
	Workspace ids.WorkspaceID
	// Program is the program that the engine accounts the cached prefix to.
	Program ids.ProgramID
}

// Chunk is a part of an answer.
type Chunk struct {
	// Event is the number of the event in the stream, from 1.
	Event int64
	// Delta is the change to the message, as in the chat completions protocol.
	Delta json.RawMessage
	// FinishReason is empty except in the last chunk.
	FinishReason string
}

// Client calls engines. It is safe for concurrent use.
type Client struct{ http *targethttp.Client }

// New returns a client. The cleanup closes its idle connections.
func New() (c *Client, cleanup func(), err error) {
	h, cleanup := targethttp.New()
	return &Client{http: h}, cleanup, nil
}

// encode returns the body of the request. It always asks for a stream, because only a stream can be resumed.
func (r Request) encode() (body []byte, err error) {
	fields := make(map[string]json.RawMessage)
	if len(r.Options) > 0 {
		if err := json.Unmarshal(r.Options, &fields); err != nil {
			return nil, fmt.Errorf("options: %w", err)
		}
	}
	if fields == nil { // the options are the JSON value null
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
