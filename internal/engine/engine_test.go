package engine_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/comfreylink/comfreylink/internal/engine"
	"github.com/comfreylink/comfreylink/internal/targethttp"
	"github.com/comfreylink/comfreylink/pkg/record"
	standin "github.com/comfreylink/comfreylink/standin/engine"
	"github.com/comfreylink/comfreylink/standin/engine/prefix"
	"github.com/comfreylink/comfreylink/standin/serve"
	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	// These goroutines of fasthttp sleep for a fixed time before they notice that the client or the server was closed.
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
	)
}

// start runs a stand-in engine, 50 times as fast as by default unless o sets a speed, and returns a client for it.
func start(c *qt.C, o standin.Options) (e *standin.Engine, address string, client *engine.Client) {
	if o.Speed == 0 {
		o.Speed = 50
	}
	e, cleanup := standin.New(o)
	s, err := serve.Start("127.0.0.1:0", e.Handle)
	c.Assert(err, qt.IsNil)
	client, closeClient, err := engine.New()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		closeClient()
		cleanup()
		c.Check(s.Stop(), qt.IsNil)
	})
	return e, s.Address(), client
}

func within(c *qt.C, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	c.Cleanup(cancel)
	return ctx
}

func request(id string, texts ...string) engine.Request {
	r := engine.Request{ID: id, Model: "m", MaxTokens: 8, Workspace: "akwaaba", Program: "p/1"}
	for i, t := range texts {
		role := "user"
		if i%2 == 1 {
			role = "assistant"
		}
		content, _ := json.Marshal(t)
		r.Messages = append(r.Messages, record.Message{Role: role, Content: content})
	}
	return r
}

// greeting returns the text with which the stand-in's answer to a request begins.
func greeting(c *qt.C, r engine.Request) string {
	raw := make([]json.RawMessage, len(r.Messages))
	for i, m := range r.Messages {
		data, err := engine.EncodeMessage(m)
		c.Assert(err, qt.IsNil)
		raw[i] = data
	}
	text, err := prefix.Greeting(raw)
	c.Assert(err, qt.IsNil)
	return text
}

func text(c *qt.C, m record.Message) (s string) {
	c.Assert(json.Unmarshal(m.Content, &s), qt.IsNil)
	return s
}

// failure returns the *targethttp.Error in err and checks its kind.
func failure(c *qt.C, err error, k targethttp.Kind) *targethttp.Error {
	c.Helper()
	var e *targethttp.Error
	c.Assert(errors.As(err, &e), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(e.Kind, qt.Equals, k, qt.Commentf("%v", err))
	return e
}

// Guards against lost or repeated parts of an answer. The message must consist of the chunks, and the engine must have
// received the whole history.
func TestChatReturnsWholeAnswer(t *testing.T) {
	c := qt.New(t)
	_, address, client := start(c, standin.Options{})
	r := request("a", "one", "two", "three")
	var joined strings.Builder
	a, err := client.Chat(within(c, 5*time.Second), address, r, func(ch engine.Chunk) error {
		var d struct{ Content string }
		c.Assert(json.Unmarshal(ch.Delta, &d), qt.IsNil)
		joined.WriteString(d.Content)
		return nil
	})
	c.Assert(err, qt.IsNil)
	c.Assert(text(c, a.Message), qt.Equals, joined.String())
	c.Assert(strings.HasPrefix(joined.String(), greeting(c, r)+" "), qt.IsTrue, qt.Commentf("%s", joined.String()))
	c.Assert(a.FinishReason, qt.Equals, "length")
	c.Assert(a.Usage.Completion, qt.Equals, r.MaxTokens)
	c.Assert(a.Message.Role, qt.Equals, "assistant")
}

// Guards against reporting a call as possibly sent although no server accepted the connection.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	c := qt.New(t)
	_, _, client := start(c, standin.Options{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Assert(l.Close(), qt.IsNil)
	_, err = client.Chat(within(c, time.Second), l.Addr().String(), request("a", "one"), nil)
	c.Assert(failure(c, err, targethttp.NotConnected).Sent(), qt.IsFalse)
}
