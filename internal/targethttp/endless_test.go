package targethttp_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/internal/targethttp"
)

// startEndless runs a server that answers a request with some bytes and then others over and over, until the client closes
// the connection. The channel receives a value when it has.
func startEndless(c *qt.C, begin, endless string) (address string, closed <-chan struct{}) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, err = io.WriteString(conn, begin)
		for err == nil {
			_, err = io.WriteString(conn, endless)
		}
	}()
	return l.Addr().String(), done
}

// Guards against bytes without end from a target, in a head or a body, that the process keeps in memory until the target
// stops or the deadline passes.
func TestAnswersWithoutEnd(t *testing.T) {
	const (
		head     = "HTTP/1.1 200 OK\r\n"
		chunked  = head + "Transfer-Encoding: chunked\r\n\r\n"
		limit    = 1 << 20
		maxHeap  = 16 << 20 // far below what a target sends within the deadline
		deadline = 2 * time.Second
	)
	long := strings.Repeat("y", 4096)
	for _, test := range []struct{ name, begin, endless string }{
		{"no head", "", long},
		{"header lines", head, "X-Fill: " + long[:100] + "\r\n"},
		{"header line", head + "X: ", long},
		{"informational answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"early hints", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"body without length", head + "\r\n", long},
		{"huge length", head + "Content-Length: 99999999999\r\n\r\n", long},
		{"chunks", chunked, "1000\r\n" + long + "\r\n"},
		{"chunk length", chunked, "0000"},
		{"chunk extension", chunked + "5;", long},
		{"trailer", chunked + "0\r\n", "X-Fill: " + long[:100] + "\r\n"},
		{"body of an error", "HTTP/1.1 500 Internal Server Error\r\n\r\n", long},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			address, closed := startEndless(c, test.begin, test.endless)
			ctx, cancel := context.WithTimeout(context.Background(), deadline)
			defer cancel()
			failed := make(chan error, 1)
			client := newClient(c)
			go func() {
				_, _, err := client.Bytes(ctx, address, targethttp.Request{Method: "GET", Path: "/"}, limit)
				failed <- err
			}()
			most := heapBytes()
			first := most
			for waiting := true; waiting; {
				select {
				case err := <-failed:
					c.Check(err, qt.IsNotNil)
					waiting = false
				case <-time.After(20 * time.Millisecond):
					most = max(most, heapBytes())
				}
			}
			c.Check(most < first+maxHeap, qt.IsTrue, qt.Commentf("%d bytes of heap, %d before", most, first))
			select {
			case <-closed:
			case <-time.After(deadline):
				c.Error("the connection is still open")
			}
		})
	}
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
