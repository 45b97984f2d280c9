package chat

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/comfreylink/comfreylink/internal/peer"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// Fields of a chat completions request that the daemon interprets. It passes all others to the target unchanged.
const (
	fieldModel               = "model"
	fieldMessages            = "messages"
	fieldStream              = "stream"
	fieldMaxTokens           = "max_tokens"
	fieldMaxCompletionTokens = "max_completion_tokens"
)

// parseCompletion parses and checks the body of a chat completions request. Extra holds the fields that the daemon does
// not interpret.
func parseCompletion(body []byte) (c *peer.ChatCall, err error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, fmt.Errorf("the body is not a JSON object: %w", err)
	}
	c = &peer.ChatCall{}
	if err := errors.Join(
		take(fields, fieldModel, &c.Model),
		take(fields, fieldMessages, &c.Messages),
		take(fields, fieldStream, &c.Stream),
		take(fields, fieldMaxTokens, &c.MaxTokens),
		take(fields, fieldMaxCompletionTokens, &c.MaxTokens),
	); err != nil {
		return nil, err
	}
	if err := checkCompletion(c); err != nil {
		return nil, err
	}
	if len(fields) > 0 {
		c.Extra, err = json.Marshal(fields)
	}
	return c, err
}

// take decodes a field, if it is present, and removes it from fields.
func take(fields map[string]json.RawMessage, name string, into any) error {
	raw, ok := fields[name]
	if !ok {
		return nil
	}
	delete(fields, name)
	if err := json.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("field %q: %w", name, err)
	}
	return nil
}

var roles = []string{"system", "developer", "user", "assistant", "tool"}

func checkCompletion(c *peer.ChatCall) error {
	if c.Model == "" {
		return errors.New(`field "model" is missing`)
	}
	if len(c.Messages) == 0 {
		return errors.New(`field "messages" is missing or empty`)
	}
	if c.MaxTokens < 0 {
		return errors.New(`field "max_tokens" is negative`)
	}
	for i, m := range c.Messages {
		if !slices.Contains(roles, m.Role) {
			return fmt.Errorf("message %d has the unknown role %q", i, m.Role)
		}
	}
	return nil
}

// completion is the body of an answer, or the data of an event of a streamed answer.
type completion struct {
	ID      string    `json:"id"`
	Object  string    `json:"object"`
	Created int64     `json:"created"`
	Model   string    `json:"model"`
	Choices []choice  `json:"choices"`
	Usage   *usage    `json:"usage,omitempty"`
	Durable *bool     `json:"durable,omitempty"`
	Error   *errorRef `json:"error,omitempty"`
}

type errorRef = peer.Refusal

type choice struct {
	Index   int             `json:"index"`
	Message *record.Message `json:"message,omitempty"`
	Delta   *delta          `json:"delta,omitempty"`
	Finish  *string         `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type usage struct {
	Prompt     ids.Tokens    `json:"prompt_tokens"`
	Completion ids.Tokens    `json:"completion_tokens"`
	Total      ids.Tokens    `json:"total_tokens"`
	Details    promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	Cached ids.Tokens `json:"cached_tokens"`
}

func newUsage(u record.Usage) *usage {
	return &usage{Prompt: u.Prompt, Completion: u.Completion, Total: u.Total(), Details: promptDetails{u.Cached}}
}

func newCompletion(call peer.Call, created int64, r *peer.ChatResult) completion {
	return completion{
		ID:      string(call.RequestKey),
		Object:  "chat.completion",
		Created: created,
		Model:   string(call.Chat.Model),
		Choices: []choice{{Message: &r.Message, Finish: &r.Finish}},
		Usage:   newUsage(r.Usage),
	}
}
