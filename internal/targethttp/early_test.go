package targethttp_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"github.com/comfreylink/comfreylink/internal/httpwire/httpwiretest"
	"github.com/comfreylink/comfreylink/internal/targethttp"
)

// Guards against a whole answer that is lost, so that its target looks dead, because the target has closed the connection before
// it has read the request, and against a part of an answer that is then taken for the whole one.
func TestAnswersBeforeTheRequestIsRead(t *testing.T) {
	const uploadBytes = 16 << 20 // more than the buffers of a connection hold
	for _, a := range httpwiretest.Answers("X-A: a\r\n", "some whole body") {
		for _, missing := range []int{0, 3} {
			t.Run(fmt.Sprint(a.Name, " but ", missing), func(t *testing.T) {
				c := qt.New(t)
				target, cleanup, err := httpwiretest.NewEarlyTarget()
				c.Assert(err, qt.IsNil)
				c.Cleanup(cleanup)
				target.Enqueue(httpwiretest.Reply{Raw: a.Raw[:len(a.Raw)-missing], Reset: true})
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				r := targethttp.Request{Method: fasthttp.MethodPost, Path: "/", Body: make([]byte, uploadBytes)}
				_, body, err := newClient(c).Bytes(ctx, target.Address(), r, 1<<10)
				whole := missing == 0 && a.Whole == len(a.Raw) // its own framing proves it
				c.Assert(err == nil, qt.Equals, whole, qt.Commentf("%q, %v", body, err))
				if whole {
					c.Assert(string(body), qt.Equals, a.Body)
					return
				}
				var e *targethttp.Error
				c.Assert(errors.As(err, &e) && e.Sent() && e.Kind == targethttp.Cut, qt.IsTrue, qt.Commentf("%v", err))
			})
		}
	}
}
