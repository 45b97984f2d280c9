package engine_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/comfreylink/comfreylink/standin/engine"
	"github.com/comfreylink/comfreylink/standin/engine/batch"
	"github.com/comfreylink/comfreylink/standin/engine/prefix"
	"github.com/comfreylink/comfreylink/standin/serve"
	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

// start serves an engine on a loopback address until the end of the test and returns its base URL.
func start(c *qt.C, o engine.Options) (e *engine.Engine, base string) {
	e, cleanup := engine.New(o)
	s, err := serve.Start("127.0.0.1:0", e.Handle)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		cleanup()
		c.Check(s.Stop(), qt.IsNil)
	})
	return e, "http://" + s.Address()
}

// call sends a request and returns the answer. The headers are alternating names and values.
func call(c *qt.C, method, url, body string, headers ...string) (status int, answer string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.Header.SetMethod(method)
	req.SetRequestURI(url)
	req.SetBodyString(body)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	c.Assert(fasthttp.DoTimeout(req, resp, 10*time.Second), qt.IsNil)
	return resp.StatusCode(), string(resp.Body())
}

// chat sends a chat request for 4 tokens and returns the completion.
func chat(c *qt.C, base, messages string, headers ...string) batch.Completion {
	body := fmt.Sprintf(`{"model":"m","max_tokens":4,"messages":%s}`, messages)
	status, answer := call(c, "POST", base+"/v1/chat/completions", body, headers...)
	c.Assert(status, qt.Equals, 200, qt.Commentf("%s", answer))
	var done batch.Completion
	c.Assert(json.Unmarshal([]byte(answer), &done), qt.IsNil)
	return done
}

// Guards against an answer that does not depend on the whole history, and against a second turn whose prefix is not cached.
func TestAnswerDependsOnHistoryAndIsCached(t *testing.T) {
	c := qt.New(t)
	_, base := start(c, engine.Options{Speed: 100})
	const first = `{"role":"user","content":"one"}`
	a := chat(c, base, "["+first+"]")
	text := a.Choices[0].Message.Content
	greeting, err := prefix.Greeting([]json.RawMessage{json.RawMessage(first)})
	c.Assert(err, qt.IsNil)
	c.Assert(text[:len(greeting)], qt.Equals, greeting)
	c.Assert(a.Usage.Details.Cached, qt.Equals, 0)

	history := fmt.Sprintf(`[%s,{"content":%q,"role":"assistant"},{"role":"user","content":"two"}]`, first, text)
	b := chat(c, base, history)
	c.Assert(b.Choices[0].Message.Content, qt.Matches, "turn 2 of 3 messages .*")
	c.Assert(b.Usage.Details.Cached > a.Usage.Prompt, qt.IsTrue)
	c.Assert(b.Usage.Details.Cached < b.Usage.Prompt, qt.IsTrue)
	changed := chat(c, base, `[{"role":"user","content":"other"},{"role":"user","content":"two"}]`)
	c.Assert(changed.Choices[0].Message.Content, qt.Not(qt.Equals), b.Choices[0].Message.Content)
}

// Guards against a run list from which a scenario cannot tell which requests ran, for whom, and whether an API key reached
// the engine.
func TestRunsAreListed(t *testing.T) {
	c := qt.New(t)
	e, base := start(c, engine.Options{Speed: 100})
	chat(c, base, `[{"role":"user","content":"one"}]`, "X-Request-Id", "a", "X-Workspace", "w", "X-Program", "p/1")
	chat(c, base, `[{"role":"user","content":"one"}]`, "Authorization", "Bearer secret")
	e.SetFaults(engine.Faults{FailNext: 1})
	status, _ := call(c, "POST", base+"/v1/chat/completions", `{}`)
	c.Assert(status, qt.Equals, 500)
	e.Drain()
	status, _ = call(c, "POST", base+"/v1/chat/completions", `{}`)
	c.Assert(status, qt.Equals, 503)

	_, answer := call(c, "GET", base+"/runs", "")
	var runs engine.Runs
	c.Assert(json.Unmarshal([]byte(answer), &runs), qt.IsNil)
	c.Assert(runs.Authorization, qt.Equals, 1)
	c.Assert(runs.Runs, qt.HasLen, 2)
	r := runs.Runs[0]
	c.Assert([]string{r.ID, r.Workspace, r.Program}, qt.DeepEquals, []string{"a", "w", "p/1"})
	c.Assert(r.Completed && r.EndedMs >= r.StartedMs && r.StartedMs >= r.ArrivedMs, qt.IsTrue)
}

// Guards against serving a model before it is loaded or after it is unloaded.
func TestModelsAreLoadedByOrder(t *testing.T) {
	c := qt.New(t)
	_, base := start(c, engine.Options{Speed: 1000, Models: []string{"other"}})
	try := func() int {
		body := `{"model":"m","max_tokens":1,"messages":[{"role":"user","content":"x"}]}`
		status, _ := call(c, "POST", base+"/v1/chat/completions", body)
		return status
	}
	c.Assert(try(), qt.Equals, 404)
	status, _ := call(c, "POST", base+"/v1/orders", `{"fence":1,"action":"loadModel","model":"m"}`)
	c.Assert(status, qt.Equals, 200)
	c.Assert(try(), qt.Equals, 200)
	call(c, "POST", base+"/v1/orders", `{"fence":2,"action":"unloadModel","model":"m"}`)
	call(c, "POST", base+"/v1/orders", `{"fence":3,"action":"unloadModel","model":"other"}`)
	c.Assert(try(), qt.Equals, 404)
}
