package targethttp_test

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/internal/httpwire/httpwiretest"
	"github.com/comfreylink/comfreylink/internal/targethttp"
)

// Guards against an answer that is broken off anywhere, or malformed, and that is taken for a complete one.
func TestAnswersCutAnywhere(t *testing.T) {
	for _, a := range httpwiretest.Answers("X-A: a\r\n", "some whole body") {
		t.Run(a.Name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			target, cleanup, err := httpwiretest.NewTarget()
			c.Assert(err, qt.IsNil)
			c.Cleanup(cleanup)
			for n := range len(a.Raw) + 1 {
				want, complete := a.Cut(n)
				for _, r := range []httpwiretest.Reply{{}, {Bytewise: true}, {Reset: true}} {
					r.Raw = a.Raw[:n]
					client := newClient(c)
					target.Enqueue(httpwiretest.Reply{Raw: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", Keep: true})
					_, _, err := get(c, client, target.Address())
					c.Assert(err, qt.IsNil)
					target.Enqueue(r)
					_, body, err := get(c, client, target.Address())
					comment := qt.Commentf("%q reset %v: body %q, %v", r.Raw, r.Reset, body, err)
					if err == nil {
						// An answer with a length or chunks may arrive whole before a reset.
						c.Assert(complete && (!r.Reset || a.Whole == len(a.Raw)), qt.IsTrue, comment)
						c.Assert(body, qt.Equals, want)
						continue
					}
					c.Assert(r.Reset || !complete, qt.IsTrue, comment)
					var e *targethttp.Error
					c.Assert(errors.As(err, &e) && e.Sent(), qt.IsTrue, comment)
				}
			}
		})
	}
}
