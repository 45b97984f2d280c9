package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/comfreylink/comfreylink/pkg/record"
)

// EncodeMessage returns a message in the form of the chat completions protocol, with the fields of Extra next to role and
// content.
func EncodeMessage(m record.Message) (data []byte, err error) { return json.Marshal(m) }

// DecodeMessage parses a message of the chat completions protocol.
func DecodeMessage(data []byte) (m record.Message, err error) {
	if err := json.Unmarshal(data, &m); err != nil {
		return record.Message{}, fmt.Errorf("parse message: %w", err)
	}
	if m.Role == "" {
		return record.Message{}, errors.New("message without role")
	}
	return m, nil
}

// messageBuilder assembles a message from the deltas of a stream.
type messageBuilder struct {
	text  map[string]string          // string fields, whose deltas are appended, such as content
	other map[string]json.RawMessage // fields whose last value counts
	calls map[int]*toolCall
	bytes int // total size of the deltas
}

type toolCall struct {
	Index    int          `json:"index,omitempty"`
	ID       string       `json:"id,omitempty"`
	Type     string       `json:"type,omitempty"`
	Function toolFunction `json:"function"`
}

type toolFunction struct {
	Name      string `json:"name,omitempty"`
	Arguments string `json:"arguments"`
}

// add applies a delta: it appends strings, merges tool calls by index and replaces other values.
func (b *messageBuilder) add(delta json.RawMessage) error {
	if b.text == nil {
		b.text, b.other, b.calls = map[string]string{}, map[string]json.RawMessage{}, map[int]*toolCall{}
	}
	if b.bytes += len(delta); b.bytes > maxStreamBytes {
		return errMessageTooLarge
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(delta, &fields); err != nil {
		return fmt.Errorf("parse delta: %w", err)
	}
	for name, value := range fields {
		if err := b.addField(name, value); err != nil {
			return err
		}
	}
	return nil
}

// clone returns a copy that shares no state with b.
func (b *messageBuilder) clone() messageBuilder {
	c := messageBuilder{text: maps.Clone(b.text), other: maps.Clone(b.other), bytes: b.bytes}
	if b.calls != nil {
		c.calls = make(map[int]*toolCall, len(b.calls))
	}
	for i, call := range b.calls {
		copied := *call
		c.calls[i] = &copied
	}
	return c
}

func (b *messageBuilder) addField(name string, value json.RawMessage) error {
	switch {
	case string(value) == "null":
		return nil
	case name == "role":
		b.other[name] = value
		return nil
	case name == "tool_calls":
		return b.addToolCalls(value)
	case value[0] != '"':
		b.other[name] = value
		return nil
	}
	var s string
	if err := json.Unmarshal(value, &s); err != nil {
		return fmt.Errorf("parse field %q of delta: %w", name, err)
	}
	b.text[name] += s
	return nil
}

func (b *messageBuilder) addToolCalls(value json.RawMessage) error {
	var parts []toolCall
	if err := json.Unmarshal(value, &parts); err != nil {
		return fmt.Errorf("parse tool calls of delta: %w", err)
	}
	for _, p := range parts {
		c := b.calls[p.Index]
		if c == nil {
			c = &toolCall{}
			b.calls[p.Index] = c
		}
		if p.ID != "" {
			c.ID = p.ID
		}
		if p.Type != "" {
			c.Type = p.Type
		}
		c.Function.Name += p.Function.Name
		c.Function.Arguments += p.Function.Arguments
	}
	return nil
}

// message returns the message assembled so far.
func (b *messageBuilder) message() (m record.Message, err error) {
	fields := make(map[string]any, len(b.other)+len(b.text)+1)
	for name, value := range b.other {
		fields[name] = value
	}
	for name, s := range b.text {
		fields[name] = s
	}
	if fields["role"] == nil {
		fields["role"] = "assistant"
	}
	if len(b.calls) > 0 {
		fields["tool_calls"] = b.sortedCalls()
	}
	data, err := json.Marshal(fields)
	if err != nil {
		return record.Message{}, err
	}
	if len(data) > MaxMessageBytes {
		return record.Message{}, errMessageTooLarge
	}
	return DecodeMessage(data)
}

func (b *messageBuilder) sortedCalls() []*toolCall {
	calls := make([]*toolCall, 0, len(b.calls))
	for _, i := range slices.Sorted(maps.Keys(b.calls)) {
		calls = append(calls, b.calls[i])
	}
	return calls
}
