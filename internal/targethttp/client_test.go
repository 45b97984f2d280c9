package targethttp_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/comfreylink/comfreylink/internal/targethttp"
	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	// fasthttp's cleaner of idle connections sleeps for the idle time before it notices that there are none.
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"))
}

// startTarget runs a server that answers the requests in turn with the given raw bytes, from the first again after the
// last. If closeAfter is set, it closes the connection after each answer. The function connections returns the number of
// connections that were accepted.
func startTarget(c *qt.C, closeAfter bool, answers ...string) (address string, connections func() int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	var mu sync.Mutex
	var conns []net.Conn
	next := 0
	var tasks sync.WaitGroup
	serve := func(conn net.Conn) {
		defer conn.Close()
		r := bufio.NewReader(conn)
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			mu.Lock()
			answer := answers[next%len(answers)]
			next++
			mu.Unlock()
			if _, err := conn.Write([]byte(answer)); err != nil || closeAfter {
				return
			}
		}
	}
	tasks.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			tasks.Go(func() { serve(conn) })
		}
	})
	c.Cleanup(func() {
		c.Check(l.Close(), qt.IsNil)
		mu.Lock()
		for _, conn := range conns {
			_ = conn.Close()
		}
		mu.Unlock()
		tasks.Wait()
	})
	return l.Addr().String(), func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(conns)
	}
}

func get(c *qt.C, client *targethttp.Client, address string) (targethttp.Head, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	h, body, err := client.Bytes(ctx, address, targethttp.Request{Method: "GET", Path: "/"}, 1000)
	return h, string(body), err
}

func newClient(c *qt.C) *targethttp.Client {
	client, cleanup := targethttp.New()
	c.Cleanup(cleanup)
	return client
}

// Guards against accepting an incomplete or too large answer as a whole one, and against a caller's data in the text of
// an error.
func TestDamagedAnswers(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for _, test := range []struct {
		name, answer string
		closeAfter   bool
		kind         targethttp.Kind
	}{
		{"no answer", "", true, targethttp.Cut},
		{"cut in status line", "HTTP/1.1 2", true, targethttp.Cut},
		{"cut in headers", ok + "Content-Length: 5\r\nX-Secret: sec", true, targethttp.Cut},
		{"cut in body", ok + "Content-Length: 50\r\n\r\nsecret", true, targethttp.Cut},
		{"cut between chunks", ok + "Transfer-Encoding: chunked\r\n\r\n6\r\nsecret\r\n", true, targethttp.Cut},
		{"not HTTP", "secret secret\r\n\r\n", true, targethttp.Malformed},
		{"no first byte", "", false, targethttp.Timeout},
		{"stalled headers", ok + "X-Secret: sec", false, targethttp.Timeout},
		{"stalled body", ok + "Content-Length: 50\r\n\r\nsecret", false, targethttp.Timeout},
		{"long headers", ok + "X: " + strings.Repeat("y", 20_000) + "\r\n\r\n", false, targethttp.TooLarge},
		{"long body", ok + "Content-Length: 1001\r\n\r\n" + strings.Repeat("y", 1001), false, targethttp.TooLarge},
		{"huge length", ok + "Content-Length: 99999999999\r\n\r\n" + strings.Repeat("y", 2000), false, targethttp.TooLarge},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			address, _ := startTarget(c, test.closeAfter, test.answer)
			_, _, err := get(c, newClient(c), address)
			var e *targethttp.Error
			c.Assert(errors.As(err, &e), qt.IsTrue)
			c.Assert(e.Kind, qt.Equals, test.kind, qt.Commentf("%v", err))
			c.Assert(e.Sent(), qt.IsTrue)
			c.Assert(strings.Contains(strings.ToLower(err.Error()), "secret"), qt.IsFalse, qt.Commentf("%v", err))
		})
	}
}

// Guards against reading leftover bytes of an earlier exchange as an answer (R7). If a target writes two answers to one
// request, every later request on that connection would get the answer to the one before it.
func TestUnexpectedBytesEndTheConnection(t *testing.T) {
	c := qt.New(t)
	const first = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"
	const second = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo"
	address, connections := startTarget(c, false, first+first, second)
	client := newClient(c)
	_, body, err := get(c, client, address)
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "one")
	_, body, err = get(c, client, address)
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "two")
	c.Assert(connections(), qt.Equals, 2)
}

// Guards against a new connection for each request, which would add a round trip to every call.
func TestConnectionIsReused(t *testing.T) {
	c := qt.New(t)
	address, connections := startTarget(c, false,
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none",
		"HTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.1 503 Busy\r\nRetry-After: 7\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n",
	)
	client := newClient(c)
	for i := range 6 {
		h, _, err := get(c, client, address)
		c.Assert(err, qt.IsNil)
		if i%3 == 2 {
			c.Assert(h.RetryAfter, qt.Equals, 7*time.Second)
			c.Assert(h.Leaving(), qt.IsFalse)
		}
	}
	c.Assert(connections(), qt.Equals, 1)
}

// Guards against an answer with neither a length nor chunks that is refused although its connection ended in order, and
// against a connection that is used again after one. A reset ends no answer.
func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\n\r\nsecret"
	for _, reset := range []bool{false, true} {
		c := qt.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		done := make(chan struct{})
		go func() {
			defer close(done)
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = conn.Write([]byte(answer))
			if reset {
				time.Sleep(20 * time.Millisecond) // until the bytes are read
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
		}()
		_, body, err := get(c, newClient(c), l.Addr().String())
		if reset {
			var e *targethttp.Error
			c.Assert(errors.As(err, &e), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(e.Kind, qt.Equals, targethttp.Cut)
		} else {
			c.Assert(err, qt.IsNil)
			c.Assert(body, qt.Equals, "secret")
		}
		<-done
		c.Assert(l.Close(), qt.IsNil)
	}
}
