package httpwire_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/internal/httpwire/httpwiretest"
)

// Guards against an answer that is broken off anywhere, or malformed, and that is taken for a complete one, also on a kept
// connection.
func TestAnswersCutAnywhere(t *testing.T) {
	const kept = okHead + "Content-Length: 3\r\n\r\nabc"
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
					target.Enqueue(httpwiretest.Reply{Raw: kept, Keep: true})
					_, _, err := exchange(c, client, target.Address())
					c.Assert(err, qt.IsNil)
					target.Enqueue(r)
					body, reused, err := exchange(c, client, target.Address())
					c.Assert(reused, qt.IsTrue)
					comment := qt.Commentf("%q reset %v: body %q, %v", r.Raw, r.Reset, body, err)
					if err == nil {
						// An answer with a length or chunks may arrive whole before a reset.
						c.Assert(complete && (!r.Reset || a.Whole == len(a.Raw)), qt.IsTrue, comment)
						c.Assert(body, qt.Equals, want)
					}
					c.Assert(err == nil || r.Reset || !complete, qt.IsTrue, comment)
				}
			}
		})
	}
}
