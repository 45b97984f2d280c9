// Package caller provides an HTTP client for daemons, similar to the one of an agent framework.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Caller sends requests to daemons with the key of one workspace.
type Caller struct {
	Key  string
	HTTP *http.Client
}

// Chat holds the parameters of a model call.
type Chat struct {
	Program  string
	Key      string // idempotency key
	Model    string
	Text     string
	Role     string
	Tokens   int // max_tokens
	Stream   bool
	Deadline time.Duration
}

// Answer is a daemon's response.
type Answer struct {
	Status int
	Text   string
	// Chunks is the number of streamed events that carry text.
	Chunks   int
	Error    *Error
	Entry    string
	Owner    string
	Target   string
	Turn     string
	Replayed bool
	// TimeToHeader is the time until the header of the response was received.
	TimeToHeader time.Duration
	// Took is the time until the end of the response.
	Took  time.Duration
	Usage Usage
}

// Usage is the number of tokens that a daemon reported for a call.
type Usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Details    struct {
		Cached int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// Error is an error response of a daemon.
type Error struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Run     string `json:"run"`
	RetryMs int64  `json:"retryAfterMs"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatBody struct {
	Model    string    `json:"model"`
	Messages []message `json:"messages"`
	Tokens   int       `json:"max_tokens,omitempty"`
	Stream   bool      `json:"stream,omitempty"`
}

type completion struct {
	Choices []struct {
		Message *message `json:"message"`
		Delta   *message `json:"delta"`
	} `json:"choices"`
	Usage *Usage `json:"usage"`
	Error *Error `json:"error"`
}

// Chat sends a model call to a daemon.
func (c *Caller) Chat(ctx context.Context, address string, q Chat) (a Answer, err error) {
	role := q.Role
	if role == "" {
		role = "user"
	}
	body, err := json.Marshal(chatBody{Model: q.Model, Messages: []message{{role, q.Text}}, Tokens: q.Tokens, Stream: q.Stream})
	if err != nil {
		return a, err
	}
	return c.Do(ctx, Request{
		Method:   http.MethodPost,
		URL:      "http://" + address + "/v1/chat/completions",
		Program:  q.Program,
		Key:      q.Key,
		Deadline: q.Deadline,
		Body:     body,
	})
}

// Request is any request to a daemon.
type Request struct {
	Method, URL  string
	Program, Key string
	Deadline     time.Duration
	Body         []byte
}

// Do sends a request and reads the whole response. It returns an error if no complete response was received.
func (c *Caller) Do(ctx context.Context, q Request) (a Answer, err error) {
	req, err := http.NewRequestWithContext(ctx, q.Method, q.URL, bytes.NewReader(q.Body))
	if err != nil {
		return a, err
	}
	set := func(name, value string) {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	set("Content-Type", "application/json")
	set("Comfreylink-Program", q.Program)
	set("Idempotency-Key", q.Key)
	if c.Key != "" {
		set("Authorization", "Bearer "+c.Key)
	}
	if q.Deadline != 0 {
		set("Comfreylink-Deadline-Ms", strconv.FormatInt(q.Deadline.Milliseconds(), 10))
	}
	began := time.Now()
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return a, err
	}
	defer func() { err = errors.Join(err, resp.Body.Close()) }()
	a.TimeToHeader = time.Since(began)
	a.Status = resp.StatusCode
	a.Entry, a.Owner, a.Target = resp.Header.Get("Comfreylink-Entry"), resp.Header.Get("Comfreylink-Owner"), resp.Header.Get("Comfreylink-Target")
	a.Turn, a.Replayed = resp.Header.Get("Comfreylink-Turn"), resp.Header.Get("Comfreylink-Replayed") == "true"
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		err = a.parseEvents(resp.Body)
	} else {
		err = a.parseBody(resp.Body)
	}
	a.Took = time.Since(began)
	return a, err
}

func (a *Answer) parseBody(r io.Reader) error {
	data, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	var c completion
	if json.Unmarshal(data, &c) != nil {
		a.Text = string(data)
		return nil
	}
	a.Error = c.Error
	if c.Usage != nil {
		a.Usage = *c.Usage
	}
	if len(c.Choices) > 0 && c.Choices[0].Message != nil {
		a.Text = c.Choices[0].Message.Content
		return nil
	}
	a.Text = string(data)
	return nil
}

func (a *Answer) parseEvents(r io.Reader) error {
	const maxLine = 1 << 20
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLine)
	var text strings.Builder
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" && a.Error != nil {
			return errors.New("the end mark of a complete stream follows an error")
		}
		if data == "[DONE]" {
			a.Text = text.String()
			return nil
		}
		var c completion
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return fmt.Errorf("event %q: %w", data, err)
		}
		if c.Error != nil {
			a.Error = c.Error
		}
		if c.Usage != nil {
			a.Usage = *c.Usage
		}
		if len(c.Choices) > 0 && c.Choices[0].Delta != nil {
			text.WriteString(c.Choices[0].Delta.Content)
			a.Chunks++
		}
	}
	a.Text = text.String()
	if a.Error != nil {
		return scanner.Err()
	}
	return errors.Join(scanner.Err(), io.ErrUnexpectedEOF)
}
