package service_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/comfreylink/comfreylink/internal/service"
	"github.com/comfreylink/comfreylink/internal/targethttp"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/standin/serve"
	standin "github.com/comfreylink/comfreylink/standin/service"
	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	// These goroutines of fasthttp sleep for a fixed time before they check whether the client or the server was
	// closed.
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
	)
}

// start starts a stand-in service and returns it with its address and a client.
func start(c *qt.C, o standin.Options) (s *standin.Service, address string, client *service.Client) {
	s, cleanup := standin.New(o)
	server, err := serve.Start("127.0.0.1:0", s.Handle)
	c.Assert(err, qt.IsNil)
	client, closeClient, err := service.New()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		closeClient()
		cleanup()
		c.Check(server.Stop(), qt.IsNil)
	})
	return s, server.Address(), client
}

func within(c *qt.C, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	c.Cleanup(cancel)
	return ctx
}

// failure returns the client's error and checks its kind.
func failure(c *qt.C, err error, k targethttp.Kind) *targethttp.Error {
	c.Helper()
	var e *targethttp.Error
	c.Assert(errors.As(err, &e), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(e.Kind, qt.Equals, k, qt.Commentf("%v", err))
	return e
}

// Guards against a request that is changed before it reaches the target, and against passing the caller's credentials to a
// target (R5).
func TestRequestArrivesAsGiven(t *testing.T) {
	c := qt.New(t)
	s, address, client := start(c, standin.Options{})
	a, err := client.Do(within(c, time.Second), address, service.Request{
		Method: "PATCH", Path: "/orders/a%2Fb?x=1&y=%20", ContentType: "text/plain", Body: []byte("data"),
		Workspace: "akwaaba", Key: "k1", Fence: 7,
	})
	c.Assert(err, qt.IsNil)
	c.Assert(a.Status, qt.Equals, 200)
	c.Assert(a.ContentType, qt.Equals, "application/json")
	var run standin.Run
	c.Assert(json.Unmarshal(a.Body, &run), qt.IsNil)
	run.ArrivedMs = 0
	c.Assert(run, qt.Equals, standin.Run{
		Method: "PATCH", Path: "/orders/a%2Fb?x=1&y=%20", Key: "k1", Workspace: "akwaaba", Fence: 7, Body: "data",
	})
	c.Assert(s.Runs().Runs, qt.HasLen, 1)
}

// Guards against running a request twice when the connection breaks (R9), since fasthttp repeats GET and PUT by
// default.
func TestBrokenConnectionIsNotRetried(t *testing.T) {
	for _, method := range []string{"GET", "PUT", "POST"} {
		t.Run(method, func(t *testing.T) {
			c := qt.New(t)
			s, address, client := start(c, standin.Options{})
			s.SetFaults(standin.Faults{CloseAfter: true})
			_, err := client.Do(within(c, time.Second), address, service.Request{Method: method, Path: "/"})
			c.Assert(failure(c, err, targethttp.Cut).Sent(), qt.IsTrue)
			c.Assert(s.Runs().Runs, qt.HasLen, 1)
		})
	}
}

// Guards against reporting that a request was not sent when its answer is late or lost.
func TestSentAfterTheRequestWasWritten(t *testing.T) {
	for _, test := range []struct {
		name   string
		faults standin.Faults
		kind   targethttp.Kind
		runs   int
	}{
		{"closed before run", standin.Faults{CloseBefore: true}, targethttp.Cut, 0},
		{"hang before run", standin.Faults{HangBefore: true}, targethttp.Timeout, 0},
		{"hang after run", standin.Faults{HangAfter: true}, targethttp.Timeout, 1},
		{"late answer", standin.Faults{DelayMs: 500}, targethttp.Timeout, 1},
		{"crash after run", standin.Faults{CrashAfter: true}, targethttp.Cut, 1},
		{"oversized answer", standin.Faults{AnswerBytes: service.MaxAnswerBytes}, targethttp.TooLarge, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s, address, client := start(c, standin.Options{Exit: func(int) {}})
			s.SetFaults(test.faults)
			_, err := client.Do(within(c, 200*time.Millisecond), address, service.Request{Method: "POST", Path: "/"})
			c.Assert(failure(c, err, test.kind).Sent(), qt.IsTrue)
			c.Assert(s.Runs().Runs, qt.HasLen, test.runs)
		})
	}
}

// Guards against reporting that a request may have run when nothing of it was written to a connection.
func TestNotSent(t *testing.T) {
	c := qt.New(t)
	s, address, client := start(c, standin.Options{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Assert(l.Close(), qt.IsNil)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for _, test := range []struct {
		name    string
		ctx     context.Context
		address string
		path    string
		kind    targethttp.Kind
	}{
		{"nothing listens", within(c, time.Second), l.Addr().String(), "/", targethttp.NotConnected},
		{"cancelled before", ended, address, "/", targethttp.Aborted},
		{"deadline before", within(c, -time.Second), address, "/", targethttp.Timeout},
		{"request smuggling", within(c, time.Second), address, "/ HTTP/1.1\r\nX: y", targethttp.Invalid},
	} {
		c.Run(test.name, func(c *qt.C) {
			_, err := client.Do(test.ctx, test.address, service.Request{Method: "POST", Path: test.path})
			c.Assert(failure(c, err, test.kind).Sent(), qt.IsFalse)
		})
	}
	c.Assert(s.Runs().Runs, qt.HasLen, 0)
}

// Guards against failing a request because it was written to an idle connection that the target had already closed. The
// caller would receive an unknown outcome.
func TestIdleConnectionClosedByTarget(t *testing.T) {
	c := qt.New(t)
	s, cleanup := standin.New(standin.Options{})
	defer cleanup()
	client, closeClient, err := service.New()
	c.Assert(err, qt.IsNil)
	defer closeClient()
	address := "127.0.0.1:0"
	for range 5 {
		server, err := serve.Start(address, s.Handle)
		c.Assert(err, qt.IsNil)
		address = server.Address()
		_, err = client.Do(within(c, time.Second), address, service.Request{Method: "POST", Path: "/"})
		c.Assert(err, qt.IsNil)
		c.Assert(server.Stop(), qt.IsNil)
	}
}

// Guards against turning an error status of a service into an error of the client, and against not reporting that a
// target is leaving.
func TestEveryStatusIsAnAnswer(t *testing.T) {
	c := qt.New(t)
	s, address, client := start(c, standin.Options{CheckFencing: true})
	do := func(f standin.Faults, fence ids.Epoch) service.Answer {
		s.SetFaults(f)
		r := service.Request{Method: "POST", Path: "/", Fence: fence}
		a, err := client.Do(within(c, time.Second), address, r)
		c.Assert(err, qt.IsNil)
		return a
	}
	c.Assert(do(standin.Faults{Fail: true}, 5).Status, qt.Equals, 500)
	leaving := do(standin.Faults{Leaving: true}, 5)
	c.Assert(leaving.Status, qt.Equals, 503)
	c.Assert(leaving.Leaving, qt.IsTrue)
	c.Assert(do(standin.Faults{}, 4).Status, qt.Equals, 409)
	c.Assert(s.Runs().Runs, qt.HasLen, 1)
	c.Assert(s.Runs().Refused, qt.Equals, 2)
}
