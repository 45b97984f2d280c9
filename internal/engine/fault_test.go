package engine_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/comfreylink/comfreylink/internal/engine"
	"github.com/comfreylink/comfreylink/internal/targethttp"
	standin "github.com/comfreylink/comfreylink/standin/engine"
	"github.com/comfreylink/comfreylink/standin/serve"
	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

// Guards against running a call again after its stream broke. Resume must read the rest from the same run.
func TestResumeAfterCut(t *testing.T) {
	c := qt.New(t)
	e, address, client := start(c, standin.Options{})
	e.SetFaults(standin.Faults{CutAfter: 3})
	r := request("a", "one")
	ctx := within(c, 5*time.Second)
	partial, err := client.Chat(ctx, address, r, nil)
	c.Assert(failure(c, err, targethttp.Cut).Sent(), qt.IsTrue)
	c.Assert(partial.LastEvent, qt.Equals, int64(3))

	var events []int64
	a, err := client.Resume(ctx, address, "a", partial, func(ch engine.Chunk) error {
		events = append(events, ch.Event)
		return nil
	})
	c.Assert(err, qt.IsNil)
	c.Assert(events[0], qt.Equals, int64(4))
	whole, err := client.Resume(ctx, address, "a", engine.Answer{}, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(text(c, a.Message), qt.Equals, text(c, whole.Message))
	c.Assert(a.Usage, qt.Equals, whole.Usage)
	c.Assert(e.Runs().Runs, qt.HasLen, 1)
}

// Guards against returning the answer to another request (R7).
func TestCrossedAnswerIsRejected(t *testing.T) {
	c := qt.New(t)
	e, address, client := start(c, standin.Options{})
	ctx := within(c, 5*time.Second)
	_, err := client.Chat(ctx, address, request("a", "one"), nil)
	c.Assert(err, qt.IsNil)
	e.SetFaults(standin.Faults{Crossed: true})
	_, err = client.Chat(ctx, address, request("b", "two"), nil)
	c.Assert(failure(c, err, targethttp.Malformed).Sent(), qt.IsTrue)
}

// Guards against reading a late answer as the answer to the next request on the same connection (R7).
func TestLateAnswerDoesNotReachNextRequest(t *testing.T) {
	c := qt.New(t)
	e, address, client := start(c, standin.Options{})
	_, err := client.Chat(within(c, time.Second), address, request("a", "one"), nil)
	c.Assert(err, qt.IsNil)
	e.SetFaults(standin.Faults{DelayMs: 150})
	_, err = client.Chat(within(c, 50*time.Millisecond), address, request("b", "two"), nil)
	c.Assert(failure(c, err, targethttp.Timeout).Sent(), qt.IsTrue)
	e.SetFaults(standin.Faults{})
	time.Sleep(200 * time.Millisecond) // until the late answer has been written
	r := request("c", "three")
	a, err := client.Chat(within(c, time.Second), address, r, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(text(c, a.Message)[:len(greeting(c, r))], qt.Equals, greeting(c, r))
}

// Guards against a call that outlives its deadline while the engine does not answer.
func TestHangEndsAtDeadline(t *testing.T) {
	c := qt.New(t)
	e, address, client := start(c, standin.Options{})
	e.SetFaults(standin.Faults{Hang: true})
	began := time.Now()
	_, err := client.Chat(within(c, 100*time.Millisecond), address, request("a", "one"), nil)
	c.Assert(failure(c, err, targethttp.Timeout).Sent(), qt.IsTrue)
	c.Assert(errors.Is(err, context.DeadlineExceeded), qt.IsTrue)
	c.Assert(time.Since(began) < time.Second, qt.IsTrue)
}

// Guards against waiting for the target after the caller has cancelled, when there is no deadline.
func TestCancelledContextEndsWait(t *testing.T) {
	c := qt.New(t)
	e, address, client := start(c, standin.Options{})
	e.SetFaults(standin.Faults{Hang: true})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := client.Chat(ctx, address, request("a", "one"), nil)
	failure(c, err, targethttp.Aborted)
	c.Assert(errors.Is(err, context.Canceled), qt.IsTrue)
}

// Guards against a stream that continues after its deadline, and against a generation that cannot be cancelled.
func TestDeadlineInStreamThenCancel(t *testing.T) {
	c := qt.New(t)
	e, address, client := start(c, standin.Options{Speed: 1})
	r := request("a", "one")
	r.MaxTokens = 100_000
	partial, err := client.Chat(within(c, 200*time.Millisecond), address, r, nil)
	c.Assert(failure(c, err, targethttp.Timeout).Sent(), qt.IsTrue)
	c.Assert(partial.LastEvent > 0, qt.IsTrue)
	c.Assert(client.Cancel(within(c, time.Second), address, "a"), qt.IsNil)
	c.Assert(e.Runs().Runs[0].Cancelled, qt.IsTrue)
	c.Assert(client.Cancel(within(c, time.Second), address, "unknown"), qt.IsNil)
}

// Guards against reporting a call as not sent although the engine crashed while it ran the call.
func TestCrashIsSent(t *testing.T) {
	c := qt.New(t)
	exited := make(chan int, 1)
	e, address, client := start(c, standin.Options{Exit: func(code int) { exited <- code }})
	e.SetFaults(standin.Faults{CrashOn: "poison"})
	_, err := client.Chat(within(c, time.Second), address, request("a", "poison"), nil)
	c.Assert(failure(c, err, targethttp.Cut).Sent(), qt.IsTrue)
	c.Assert(<-exited, qt.Not(qt.Equals), 0)
}

// Guards against new work for a leaving engine (R10), and against mistaking any other refusal for leaving.
func TestLeavingIsDistinguishedFromFailure(t *testing.T) {
	c := qt.New(t)
	e, address, client := start(c, standin.Options{})
	ctx := within(c, time.Second)
	e.SetFaults(standin.Faults{FailNext: 1})
	_, err := client.Chat(ctx, address, request("a", "one"), nil)
	c.Assert(failure(c, err, targethttp.BadStatus).Status, qt.Equals, fasthttp.StatusInternalServerError)
	e.Drain()
	_, err = client.Chat(ctx, address, request("b", "one"), nil)
	failure(c, err, targethttp.Leaving)
	c.Assert(e.Runs().Runs, qt.HasLen, 0)
}

// Guards against an answer that exhausts the daemon's memory or does not fit into the record of a turn.
func TestOversizedAnswer(t *testing.T) {
	c := qt.New(t)
	e, address, client := start(c, standin.Options{})
	for _, size := range []int{engine.MaxMessageBytes, 2 << 20} {
		e.SetFaults(standin.Faults{AnswerBytes: size})
		_, err := client.Chat(within(c, 5*time.Second), address, request("a", "one"), nil)
		c.Assert(failure(c, err, targethttp.TooLarge).Sent(), qt.IsTrue)
	}
}

// Guards against reading on after the caller has disconnected.
func TestCallbackErrorEndsStream(t *testing.T) {
	c := qt.New(t)
	_, address, client := start(c, standin.Options{})
	disconnected := errors.New("caller disconnected")
	_, err := client.Chat(within(c, time.Second), address, request("a", "one"), func(engine.Chunk) error { return disconnected })
	failure(c, err, targethttp.Aborted)
	c.Assert(errors.Is(err, disconnected), qt.IsTrue)
}

// Guards against accepting an incomplete or damaged stream as a whole answer (R7).
func TestDamagedStreams(t *testing.T) {
	const (
		first = "id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"x\"},\"finish_reason\":null}]}\n\n"
		third = "id: 3\ndata: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n"
		done  = "data: [DONE]\n\n"
	)
	for _, test := range []struct {
		name, body string
		kind       targethttp.Kind
	}{
		{"no end mark", first, targethttp.Cut},
		{"missing event", first + third + done, targethttp.Malformed},
		{"repeated event", first + first + done, targethttp.Malformed},
		{"no finish reason", first + done, targethttp.Malformed},
		{"not JSON", "id: 1\ndata: {\n\n", targethttp.Malformed},
		{"error event", "id: 1\ndata: {\"error\":{\"message\":\"out of memory\"}}\n\n", targethttp.Malformed},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			address, client := serveHandler(c, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(test.body) })
			_, err := client.Chat(within(c, time.Second), address, request("a", "one"), nil)
			c.Assert(failure(c, err, test.kind).Sent(), qt.IsTrue)
		})
	}
}

// serveHandler serves a handler in place of an engine and returns a client for it.
func serveHandler(c *qt.C, h fasthttp.RequestHandler) (address string, client *engine.Client) {
	s, err := serve.Start("127.0.0.1:0", h)
	c.Assert(err, qt.IsNil)
	client, cleanup, err := engine.New()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		cleanup()
		c.Check(s.Stop(), qt.IsNil)
	})
	return s.Address(), client
}
