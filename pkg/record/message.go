package record

import (
	"encoding/json"
	"fmt"
)

// Message is one message of a program's history. Its JSON form is that of the chat completions protocol.
type Message struct {
	Role    string
	Content json.RawMessage
	// Extra holds the message's other fields, such as tool calls, as a JSON object; nil if there are none.
	Extra json.RawMessage
}

const (
	fieldRole    = "role"
	fieldContent = "content"
)

// MarshalJSON implements json.Marshaler.
func (m Message) MarshalJSON() ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if len(m.Extra) > 0 {
		if err := json.Unmarshal(m.Extra, &fields); err != nil {
			return nil, fmt.Errorf("decode the extra fields of a message: %w", err)
		}
	}
	if fields == nil { // the JSON value null
		fields = map[string]json.RawMessage{}
	}
	delete(fields, fieldContent)
	role, err := json.Marshal(m.Role)
	if err != nil {
		return nil, err
	}
	fields[fieldRole] = role
	if len(m.Content) > 0 {
		fields[fieldContent] = m.Content
	}
	return json.Marshal(fields)
}

// UnmarshalJSON implements json.Unmarshaler.
func (m *Message) UnmarshalJSON(data []byte) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return err
	}
	*m = Message{Content: fields[fieldContent]}
	if raw, ok := fields[fieldRole]; ok {
		if err := json.Unmarshal(raw, &m.Role); err != nil {
			return fmt.Errorf("field %q: %w", fieldRole, err)
		}
	}
	delete(fields, fieldRole)
	delete(fields, fieldContent)
	if len(fields) == 0 {
		return nil
	}
	extra, err := json.Marshal(fields)
	m.Extra = extra
	return err
}

// Size returns the approximate size of the message in bytes, which is an upper bound for its number of tokens.
func (m Message) Size() int {
	return len(m.Role) + len(m.Content) + len(m.Extra) + messageOverhead
}

// messageOverhead covers the markers that chat templates put around a message.
const messageOverhead = 8
