package httpwire_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"github.com/comfreylink/comfreylink/internal/httpwire/httpwiretest"
)

// uploadBytes is more than the buffers of a connection hold.
const uploadBytes = 16 << 20

// Guards against an answer that is taken for a complete one because the write of its request has failed and has taken the error
// of the connection that was reset: what is read then looks like the connection's orderly end.
func TestAnswersAfterAFailedWrite(t *testing.T) {
	for _, a := range httpwiretest.Answers("X-A: a\r\n", "some whole body") {
		for _, missing := range []int{0, 3} {
			t.Run(fmt.Sprint(a.Name, " but ", missing), func(t *testing.T) {
				c := qt.New(t)
				target, cleanup, err := httpwiretest.NewEarlyTarget()
				c.Assert(err, qt.IsNil)
				c.Cleanup(cleanup)
				target.Enqueue(httpwiretest.Reply{Raw: a.Raw[:len(a.Raw)-missing], Reset: true})
				r, writeErr, err := upload(c, target.Address(), uploadBytes)
				c.Assert(writeErr, qt.IsNotNil)
				var body []byte
				if err == nil {
					body, err = io.ReadAll(r)
				}
				whole := missing == 0 && a.Whole == len(a.Raw) // its own framing proves it
				c.Assert(err == nil, qt.Equals, whole, qt.Commentf("%q, %v", body, err))
				if whole {
					c.Assert(string(body), qt.Equals, a.Body)
				} else if r != nil {
					_, err = r.Read(make([]byte, 1))
					c.Assert(err != nil && err != io.EOF, qt.IsTrue, qt.Commentf("a second read ends in order: %v", err))
				}
			})
		}
	}
}

// Guards against a part of an answer that is taken for the whole one although its target has not received the whole request, of
// which the rest waits in this side's buffers when the connection ends.
func TestAnswersBeforeTheRequestIsReceived(t *testing.T) {
	const (
		body      = "some body"
		unbounded = okHead + "\r\n" + body
		bounded   = okHead + "Content-Length: 9\r\n\r\n" + body
	)
	for _, test := range []struct {
		name   string
		upload int
		reply  httpwiretest.Reply
		whole  bool
	}{
		{"no length, reset", 400 << 10, httpwiretest.Reply{Raw: unbounded, Reset: true}, false},
		{"no length, ended and reset", 400 << 10, httpwiretest.Reply{Raw: unbounded, HalfClose: true, Reset: true}, false},
		{"no length, ended", 400 << 10, httpwiretest.Reply{Raw: unbounded, HalfClose: true}, false},
		{"length, ended and reset", 400 << 10, httpwiretest.Reply{Raw: bounded, HalfClose: true, Reset: true}, true},
		{"no length, received and ended", 1 << 10, httpwiretest.Reply{Raw: unbounded, HalfClose: true}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			target, cleanup, err := httpwiretest.NewEarlyTarget()
			c.Assert(err, qt.IsNil)
			c.Cleanup(cleanup)
			target.Enqueue(test.reply)
			r, _, err := upload(c, target.Address(), test.upload)
			c.Assert(err, qt.IsNil)
			got, err := io.ReadAll(r)
			c.Assert(err == nil, qt.Equals, test.whole, qt.Commentf("%q, %v", got, err))
			if test.whole {
				c.Assert(string(got), qt.Equals, body)
			}
		})
	}
}

// upload sends a request with a body and returns the body of the answer, also if the request could not be written whole.
func upload(c *qt.C, address string, size int) (body io.Reader, writeErr, err error) {
	conn, err := newClient(c).Get(context.Background(), address, time.Now(), time.Minute)
	c.Assert(err, qt.IsNil)
	c.Cleanup(conn.Close)
	c.Assert(conn.SetDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
	writeErr = conn.Write([]byte(head + strings.Repeat("u", size)))
	var h fasthttp.ResponseHeader
	body, err = conn.ReadHead(&h)
	return body, writeErr, err
}
