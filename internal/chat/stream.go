package chat

import (
	"bufio"
	"encoding/json"
	"strings"

	"github.com/comfreylink/comfreylink/internal/peer"
)

// eventWriter writes an answer as server-sent events.
type eventWriter struct {
	call    peer.Call
	created int64
	w       *bufio.Writer
	sent    strings.Builder // the text of the deltas written
}

// delta writes an event with the next part of the text.
func (e *eventWriter) delta(text string) error {
	e.sent.WriteString(text)
	return e.writeEvent(e.newChunk(choice{Delta: &delta{Role: "assistant", Content: text}}))
}

// finish writes the end of the stream: the text that was not sent as deltas, the finish reason and the usage, or the
// refusal. The end mark follows a complete answer only.
func (e *eventWriter) finish(r peer.Result) error {
	if r.Refusal != nil {
		return e.writeEvent(errorBody{r.Refusal})
	}
	if rest, ok := strings.CutPrefix(r.Chat.Content, e.sent.String()); ok && rest != "" {
		if err := e.delta(rest); err != nil {
			return err
		}
	}
	last := e.newChunk(choice{Delta: &delta{}, Finish: &r.Chat.Finish})
	last.Usage = newUsage(r.Chat.Usage)
	durable := true
	last.Durable = &durable
	if err := e.writeEvent(last); err != nil {
		return err
	}
	return e.writeDone()
}

func (e *eventWriter) newChunk(c choice) completion {
	return completion{
		ID:      string(e.call.RequestKey),
		Object:  "chat.completion.chunk",
		Created: e.created,
		Model:   string(e.call.Chat.Model),
		Choices: []choice{c},
	}
}

func (e *eventWriter) writeEvent(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if _, err := e.w.WriteString("data: "); err != nil {
		return err
	}
	if _, err := e.w.Write(data); err != nil {
		return err
	}
	if _, err := e.w.WriteString("\n\n"); err != nil {
		return err
	}
	return e.w.Flush()
}

// writeDone writes the end mark of the stream.
func (e *eventWriter) writeDone() error {
	if _, err := e.w.WriteString("data: [DONE]\n\n"); err != nil {
		return err
	}
	return e.w.Flush()
}
