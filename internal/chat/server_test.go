package chat_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/internal/chat"
	"github.com/comfreylink/comfreylink/internal/peer"
)

// directory admits everyone.
type directory struct{}

func (directory) Authenticate(time.Time, string) (chat.Caller, bool) {
	return chat.Caller{Workspace: "w"}, true
}
func (directory) Public(string) (chat.Caller, bool) { return chat.Caller{}, false }
func (directory) Admitting(time.Time) bool          { return true }

type observer struct{}

func (observer) Answered(string, int, *peer.Refusal, time.Duration) {}

type runner func(ctx context.Context, c peer.Call, onDelta func(string)) peer.Result

func (r runner) Run(ctx context.Context, c peer.Call, onDelta func(string)) peer.Result {
	return r(ctx, c, onDelta)
}

func start(c *qt.C, r runner) *chat.Server {
	limits := chat.Limits{MaxBodyBytes: 1 << 16, MaxConcurrent: 10, DefaultDeadline: 20 * time.Second, MaxDeadline: 20 * time.Second}
	s, cleanup, err := chat.New("entry-1", "127.0.0.1:0", limits, directory{}, r, observer{})
	c.Assert(err, qt.IsNil)
	c.Cleanup(cleanup)
	go func() { _ = s.Serve() }()
	return s
}

func send(s *chat.Server, body string) (status int, answer string, err error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+s.Address()+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	r.Header.Set("Authorization", "Bearer key")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

const (
	wholeCall  = `{"model":"m","messages":[{"role":"user","content":"a"}]}`
	streamCall = `{"model":"m","messages":[{"role":"user","content":"a"}],"stream":true}`
)

// Guards against a stream that broke off and ends with the mark of a complete one.
func TestBrokenStreamHasNoEndMark(t *testing.T) {
	c := qt.New(t)
	s := start(c, func(_ context.Context, _ peer.Call, onDelta func(string)) peer.Result {
		onDelta("first part")
		return peer.Result{Refusal: &peer.Refusal{Code: peer.CodeTargetFailed, Run: peer.Ran, Message: "it failed"}}
	})
	status, body, err := send(s, streamCall)
	c.Assert(err, qt.IsNil)
	c.Assert(status, qt.Equals, http.StatusOK)
	c.Assert(body, qt.Contains, "first part")
	c.Assert(body, qt.Contains, `data: {"error":{"code":"targetFailed"`)
	c.Assert(body, qt.Not(qt.Contains), "[DONE]")
}

// Guards against calls that are cut off without an answer when a planned stop has waited as long as it may.
func TestShutdownAnswersTheLastCalls(t *testing.T) {
	c := qt.New(t)
	running := make(chan struct{})
	s := start(c, func(ctx context.Context, _ peer.Call, _ func(string)) peer.Result {
		close(running)
		<-ctx.Done()
		return peer.Result{Refusal: &peer.Refusal{Code: peer.CodeOwnerUnavailable, Run: peer.Unknown}}
	})
	type answer struct {
		status int
		body   string
		err    error
	}
	got := make(chan answer, 1)
	go func() {
		status, body, err := send(s, wholeCall)
		got <- answer{status, body, err}
	}()
	<-running
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	c.Assert(s.Shutdown(ctx), qt.IsNotNil)
	select {
	case a := <-got:
		c.Assert(a.err, qt.IsNil)
		c.Assert(a.status, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(a.body, qt.Contains, `"run":"unknown"`)
	case <-time.After(100 * time.Millisecond):
		c.Fatal("the stop has ended and the call has no answer")
	}
}
