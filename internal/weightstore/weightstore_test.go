package weightstore_test

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"time"

	"github.com/comfreylink/comfreylink/internal/targethttp"
	"github.com/comfreylink/comfreylink/internal/weightstore"
	"github.com/comfreylink/comfreylink/standin/serve"
	"github.com/comfreylink/comfreylink/standin/weights"
	qt "github.com/frankban/quicktest"
)

// Guards against hiding the store's rate limit from the caller, and against accepting more bytes than the limit.
func TestGet(t *testing.T) {
	c := qt.New(t)
	s, cleanup := weights.New(weights.Options{Rate: 0.5, Burst: 2, Bytes: 1000}, time.Now)
	defer cleanup()
	server, err := serve.Start("127.0.0.1:0", s.Handle)
	c.Assert(err, qt.IsNil)
	defer func() { c.Check(server.Stop(), qt.IsNil) }()
	client, closeClient, err := weightstore.New(server.Address())
	c.Assert(err, qt.IsNil)
	defer closeClient()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()

	var w bytes.Buffer
	n, err := client.Get(ctx, "m", 1000, &w)
	c.Assert(err, qt.IsNil)
	c.Assert(n, qt.Equals, int64(1000))
	c.Assert(w.Len(), qt.Equals, 1000)

	var e *targethttp.Error
	_, err = client.Get(ctx, "m", 999, &w)
	c.Assert(errors.As(err, &e), qt.IsTrue)
	c.Assert(e.Kind, qt.Equals, targethttp.TooLarge)
	_, err = client.Get(ctx, "m", 1000, &w)
	c.Assert(errors.As(err, &e), qt.IsTrue)
	c.Assert(e.Status, qt.Equals, 429)
	c.Assert(e.RetryAfter, qt.Equals, 2*time.Second)
}
