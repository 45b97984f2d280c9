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
				conn, err := newClient(c).Get(context.Background(), target.Address(), time.Now(), time.Minute)
				c.Assert(err, qt.IsNil)
				defer conn.Close()
				c.Assert(conn.SetDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
				head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", uploadBytes)
				c.Assert(conn.Write([]byte(head+strings.Repeat("u", uploadBytes))), qt.IsNotNil)
				var h fasthttp.ResponseHeader
				var body []byte
				r, err := conn.ReadHead(&h)
				if err == nil {
					body, err = io.ReadAll(r)
				}
				whole := missing == 0 && a.Whole == len(a.Raw) // its own framing proves it
				c.Assert(err == nil, qt.Equals, whole, qt.Commentf("status %d, body %q, %v", h.StatusCode(), body, err))
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
