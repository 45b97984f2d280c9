package engine_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/comfreylink/comfreylink/internal/engine"
	"github.com/comfreylink/comfreylink/internal/targethttp"
	"github.com/comfreylink/comfreylink/pkg/record"
	standin "github.com/comfreylink/comfreylink/standin/engine"
	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

// Guards against tool calls that arrive in several deltas and are lost or mixed up in the message.
func TestToolCallDeltasAreJoined(t *testing.T) {
	c := qt.New(t)
	address, client := serveHandler(c, func(ctx *fasthttp.RequestCtx) {
		ctx.SetBodyString(`id: 1
data: {"choices":[{"delta":{"role":"assistant","content":null,"tool_calls":[{"index":0,"id":"t0","type":"function","function":{"name":"find","arguments":"{\"a\""}}]}}]}

id: 2
data: {"choices":[{"delta":{"tool_calls":[{"index":1,"id":"t1","type":"function","function":{"name":"pay","arguments":"{}"}}]}}]}

id: 3
data: {"choices":[{"delta":{"tool_calls":[{"index":0,"function":{"arguments":":1}"}}]},"finish_reason":"tool_calls"}]}

data: [DONE]

`)
	})
	a, err := client.Chat(within(c, time.Second), address, request("a", "one"), nil)
	c.Assert(err, qt.IsNil)
	c.Assert(a.FinishReason, qt.Equals, "tool_calls")
	data, err := engine.EncodeMessage(a.Message)
	c.Assert(err, qt.IsNil)
	c.Assert(string(data), qt.JSONEquals, json.RawMessage(`{"role":"assistant","tool_calls":[
		{"id":"t0","type":"function","function":{"name":"find","arguments":"{\"a\":1}"}},
		{"id":"t1","type":"function","function":{"name":"pay","arguments":"{}"}}]}`))
}

// Guards against options that replace the history or the model, against lost fields of a message, and against headers
// other than the listed ones reaching the engine (R5).
func TestRequestOnTheWire(t *testing.T) {
	c := qt.New(t)
	type received struct {
		body    string
		headers map[string]string
	}
	requests := make(chan received, 1)
	address, client := serveHandler(c, func(ctx *fasthttp.RequestCtx) {
		got := received{body: string(ctx.PostBody()), headers: map[string]string{}}
		for k, v := range ctx.Request.Header.All() {
			got.headers[string(k)] = string(v)
		}
		requests <- got
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	})
	r := request("a", "one")
	r.Messages = append(r.Messages, record.Message{Role: "tool", Extra: json.RawMessage(`{"tool_call_id":"t0"}`)})
	r.Options = json.RawMessage(`{"temperature":0.5,"model":"other","messages":[],"stream":false,"n":2,"max_completion_tokens":9}`)
	_, err := client.Chat(within(c, time.Second), address, r, nil)
	c.Assert(err, qt.IsNotNil)
	got := <-requests
	c.Assert(got.body, qt.JSONEquals, json.RawMessage(`{"model":"m","temperature":0.5,"max_tokens":8,"stream":true,
		"stream_options":{"include_usage":true},
		"messages":[{"role":"user","content":"one"},{"role":"tool","tool_call_id":"t0"}]}`))
	delete(got.headers, "Host")
	delete(got.headers, "Content-Length")
	c.Assert(got.headers, qt.DeepEquals, map[string]string{
		"User-Agent": "comfreylink", "Content-Type": "application/json", "Accept": "text/event-stream",
		"X-Request-Id": "a", "X-Workspace": "akwaaba", "X-Program": "p/1",
	})
}

// Guards against a call with malformed options of a caller that is reported as possibly sent or as a failure of the engine.
func TestMalformedOptionsAreNotSent(t *testing.T) {
	c := qt.New(t)
	e, address, client := start(c, standin.Options{})
	r := request("a", "one")
	r.Options = json.RawMessage(`[]`)
	_, err := client.Chat(within(c, time.Second), address, r, nil)
	c.Assert(failure(c, err, targethttp.Invalid).Sent(), qt.IsFalse)
	c.Assert(e.Runs().Runs, qt.HasLen, 0)
}
