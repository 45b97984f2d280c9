package httpwire_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"github.com/comfreylink/comfreylink/internal/httpwire"
)

// rawServer writes the next of the raw answers for each request, and closes the connection after the last one. With reset it
// resets the connection after each answer.
func rawServer(c *qt.C, reset bool, answers ...string) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	next := make(chan string, len(answers))
	for _, a := range answers {
		next <- a
	}
	serve := func(conn net.Conn) {
		defer conn.Close()
		br := bufio.NewReader(conn)
		for {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			a := <-next
			_, _ = io.WriteString(conn, a)
			if reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
				return
			}
			if len(next) == 0 {
				return
			}
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return l.Addr().String()
}

func newClient(c *qt.C) *httpwire.Client {
	client, cleanup := httpwire.NewClient(httpwire.ClientOptions{ConnectTimeout: time.Second, SilenceTimeout: time.Second})
	c.Cleanup(cleanup)
	return client
}

// exchange sends one request and returns the body of the answer, or an error if the answer is incomplete.
func exchange(c *qt.C, client *httpwire.Client, address string) (body string, reused bool, err error) {
	conn, err := client.Get(context.Background(), address, time.Now(), time.Minute)
	c.Assert(err, qt.IsNil)
	reused = conn.Reused
	c.Assert(conn.SetDeadline(time.Now().Add(time.Second)), qt.IsNil)
	c.Assert(conn.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")), qt.IsNil)
	var h fasthttp.ResponseHeader
	r, err := conn.ReadHead(&h)
	if err != nil {
		conn.Close()
		return "", reused, err
	}
	data, err := io.ReadAll(r)
	if err != nil {
		conn.Close()
		return "", reused, err
	}
	conn.Release(&h, time.Now())
	return string(data), reused, nil
}

const okHead = "HTTP/1.1 200 OK\r\n"

// Guards against an answer that ends early and is taken for a complete one.
func TestCompleteAnswers(t *testing.T) {
	for _, test := range []struct {
		name, answer string
		reset        bool
		complete     bool
	}{
		{"length", okHead + "Content-Length: 3\r\n\r\nabc", false, true},
		{"chunks", okHead + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", false, true},
		{"no length, closed", okHead + "\r\nabc", false, true},
		{"no length, reset", okHead + "\r\nabc", true, false},
		{"short of its length", okHead + "Content-Length: 9\r\n\r\nabc", false, false},
		{"without its last chunk", okHead + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", false, false},
		{"without its trailer", okHead + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n", false, false},
		{"no answer", "", false, false},
		{"part of a head", "HTTP/1.1 200 O", false, false},
		{"no HTTP", "nonsense\r\n\r\n", false, false},
		{"two lengths", okHead + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc", false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			body, _, err := exchange(c, newClient(c), rawServer(c, test.reset, test.answer))
			c.Assert(err == nil, qt.Equals, test.complete, qt.Commentf("%q %v", body, err))
			if test.complete {
				c.Assert(body, qt.Equals, "abc")
			}
		})
	}
}

// Guards against the reuse of a connection that may still hold bytes of an earlier answer, or that the server may be about
// to close.
func TestReuse(t *testing.T) {
	const ok = okHead + "Content-Length: 3\r\n\r\nabc"
	for _, test := range []struct {
		name, first string
		reused      bool
	}{
		{"kept", ok, true},
		{"closing", okHead + "Connection: close\r\nContent-Length: 3\r\n\r\nabc", false},
		{"second answer", ok + okHead + "Content-Length: 3\r\n\r\nxyz", false},
		{"short idle time", okHead + "Keep-Alive: timeout=1\r\nContent-Length: 3\r\n\r\nabc", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			client := newClient(c)
			address := rawServer(c, false, test.first, ok, ok)
			_, _, err := exchange(c, client, address)
			c.Assert(err, qt.IsNil)
			time.Sleep(20 * time.Millisecond)
			body, reused, err := exchange(c, client, address)
			c.Assert(err, qt.IsNil)
			c.Assert(body, qt.Equals, "abc")
			c.Assert(reused, qt.Equals, test.reused)
		})
	}
}
