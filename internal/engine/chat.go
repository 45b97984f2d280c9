package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/comfreylink/comfreylink/internal/targethttp"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
	"github.com/samber/oops"
	"github.com/valyala/fasthttp"
)

// errMessageTooLarge means that the message exceeds MaxMessageBytes, or its deltas maxStreamBytes.
var errMessageTooLarge = fmt.Errorf("message exceeds %d bytes", MaxMessageBytes)

// Answer is the answer to a model call. Together with an error, it holds the part that was received, from which Resume
// can continue.
type Answer struct {
	Message      record.Message
	FinishReason string
	Usage        record.Usage
	// LastEvent is the number of the last event received; 0 if there was none.
	LastEvent int64

	parts messageBuilder
}

// Chat makes a model call at an engine, passes each chunk to onChunk unless that is nil, and returns the whole answer. The
// address is an IP address with a port. An error of onChunk ends the exchange. If Chat returns an error for which Sent
// reports true, the engine may still be generating: Resume reads the rest of the answer, Cancel ends the generation.
func (c *Client) Chat(ctx context.Context, address string, r Request, onChunk func(Chunk) error) (a Answer, err error) {
	defer func() { err = oops.In("engine").With("address", address).Wrapf(err, "chat") }()
	body, err := r.encode()
	if err != nil {
		return Answer{}, targethttp.InvalidRequest(address, err)
	}
	q := targethttp.Request{
		Method:      fasthttp.MethodPost,
		Path:        "/v1/chat/completions",
		ContentType: "application/json",
		Headers: []targethttp.Header{
			{Name: "Accept", Value: "text/event-stream"},
			{Name: requestIDHeader, Value: r.ID},
			{Name: workspaceHeader, Value: string(r.Workspace)},
			{Name: programHeader, Value: string(r.Program)},
		},
		Body: body,
	}
	err = c.stream(ctx, address, q, r.ID, &a, onChunk)
	return a, err
}

// Resume reads the answer to call id from the event after those in partial; with a zero Answer, from the first event.
func (c *Client) Resume(ctx context.Context, address, id string, partial Answer, onChunk func(Chunk) error) (a Answer, err error) {
	defer func() { err = oops.In("engine").With("address", address).Wrapf(err, "resume") }()
	q := targethttp.Request{
		Method:  fasthttp.MethodGet,
		Path:    streamPath(id) + "?after=" + strconv.FormatInt(partial.LastEvent, 10),
		Headers: []targethttp.Header{{Name: "Accept", Value: "text/event-stream"}},
	}
	a = partial
	a.parts = partial.parts.clone()
	err = c.stream(ctx, address, q, id, &a, onChunk)
	return a, err
}

// Cancel ends the generation of call id. It returns nil if the engine does not know the call.
func (c *Client) Cancel(ctx context.Context, address, id string) (err error) {
	defer func() { err = oops.In("engine").With("address", address).Wrapf(err, "cancel") }()
	q := targethttp.Request{Method: fasthttp.MethodDelete, Path: streamPath(id)}
	return c.exchange(ctx, address, q, nil, fasthttp.StatusNotFound)
}

func (c *Client) stream(ctx context.Context, address string, q targethttp.Request, id string, a *Answer, onChunk func(Chunk) error) error {
	return c.http.Do(ctx, address, q, maxStreamBytes, func(h targethttp.Head, body io.Reader) error {
		if h.Status != fasthttp.StatusOK {
			return targethttp.ReadRefusal(address, h, body)
		}
		if got := h.Get(requestIDHeader); got != "" && got != id {
			return targethttp.Failure(targethttp.Malformed, address, h, fmt.Errorf("answer belongs to request %q, not to %q", got, id))
		}
		err := a.read(newEventReader(body), onChunk)
		switch {
		case errors.Is(err, errEnded):
			return targethttp.Failure(targethttp.Cut, address, h, err)
		case errors.Is(err, errMessageTooLarge), errors.Is(err, errEventTooLarge):
			return targethttp.Failure(targethttp.TooLarge, address, h, err)
		case errors.Is(err, errProtocol):
			return targethttp.Failure(targethttp.Malformed, address, h, err)
		}
		return err
	})
}

// read adds the events of a stream to the answer until the end mark.
func (a *Answer) read(events *eventReader, onChunk func(Chunk) error) error {
	for {
		e, err := events.next()
		if err != nil {
			return err
		}
		if e.done {
			return a.finish()
		}
		if e.id != a.LastEvent+1 {
			return fmt.Errorf("%w: event %d follows event %d", errProtocol, e.id, a.LastEvent)
		}
		if err := a.apply(e, onChunk); err != nil {
			return err
		}
	}
}

// finish checks that the answer is complete and assembles its message.
func (a *Answer) finish() (err error) {
	if a.FinishReason == "" {
		return fmt.Errorf("%w: stream ended without a finish reason", errProtocol)
	}
	a.Message, err = a.parts.message()
	return err
}

// completion is the data of an event.
type completion struct {
	Choices []struct {
		Delta        json.RawMessage `json:"delta"`
		FinishReason string          `json:"finish_reason"`
	} `json:"choices"`
	Usage *usage `json:"usage"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

type usage struct {
	Prompt     ids.Tokens `json:"prompt_tokens"`
	Completion ids.Tokens `json:"completion_tokens"`
	Details    struct {
		Cached ids.Tokens `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func (a *Answer) apply(e event, onChunk func(Chunk) error) error {
	var c completion
	if err := json.Unmarshal(e.data, &c); err != nil {
		return fmt.Errorf("%w: event %d: %w", errProtocol, e.id, err)
	}
	if c.Error != nil {
		return fmt.Errorf("%w: event %d reports an error: %s", errProtocol, e.id, c.Error.Message)
	}
	if c.Usage != nil {
		a.Usage = record.Usage{Prompt: c.Usage.Prompt, Completion: c.Usage.Completion, Cached: c.Usage.Details.Cached}
	}
	out := Chunk{Event: e.id}
	if len(c.Choices) > 0 {
		out.Delta, out.FinishReason = c.Choices[0].Delta, c.Choices[0].FinishReason
	}
	if len(out.Delta) > 0 {
		if err := a.parts.add(out.Delta); err != nil {
			return fmt.Errorf("event %d: %w", e.id, err)
		}
	}
	if out.FinishReason != "" {
		a.FinishReason = out.FinishReason
	}
	a.LastEvent = e.id
	if onChunk == nil || len(c.Choices) == 0 {
		return nil
	}
	return onChunk(out)
}
