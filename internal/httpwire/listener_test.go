package httpwire_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"github.com/comfreylink/comfreylink/internal/httpwire"
)

// failingListener fails to accept as often as stated, and is closed after that.
type failingListener struct {
	net.Listener
	failures int
}

func (f *failingListener) Accept() (net.Conn, error) {
	f.failures--
	switch {
	case f.failures > 0:
		return nil, errors.New("too many open files")
	case f.failures == 0:
		ours, theirs := net.Pipe()
		_ = theirs.Close()
		return ours, nil
	}
	return nil, net.ErrClosed
}

// Guards against a server, and with it the process, that ends because it had no free descriptor for a moment, and against a log
// line for each try.
func TestAcceptErrorsDoNotEndTheListener(t *testing.T) {
	c := qt.New(t)
	reported := 0
	l := httpwire.KeepAccepting(&failingListener{failures: 4}, func(error) { reported++ })
	conn, err := l.Accept()
	c.Assert(err, qt.IsNil)
	c.Assert(conn.Close(), qt.IsNil)
	c.Assert(reported, qt.Equals, 1)
	_, err = l.Accept()
	c.Assert(errors.Is(err, net.ErrClosed), qt.IsTrue)
}

// fragile panics for the path /panic and answers other requests.
type fragile struct{}

func (fragile) Serve(_ context.Context, x *httpwire.Exchange) {
	if string(x.Header.RequestURI()) == "/panic" {
		panic("a fault in the handler")
	}
	x.Answer(fasthttp.StatusOK, nil, nil)
}

// Guards against a request that ends the process because the handler panics.
func TestPanicEndsOnlyItsRequest(t *testing.T) {
	c := qt.New(t)
	address, s := startServer(c, fragile{})
	get := func(path string) (status int) {
		r, err := http.Get("http://" + address + path)
		c.Assert(err, qt.IsNil)
		defer r.Body.Close()
		_, err = io.Copy(io.Discard, r.Body)
		c.Assert(err, qt.IsNil)
		return r.StatusCode
	}
	c.Assert(get("/panic"), qt.Equals, http.StatusBadGateway)
	c.Assert(get("/other"), qt.Equals, http.StatusOK)
	awaitActive(c, s, 0)
}
