package logservice_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/internal/httpwire/httpwiretest"
	"github.com/comfreylink/comfreylink/internal/logservice"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
	"github.com/comfreylink/comfreylink/standin/logstore"
)

const testBytes = 4 << 20

func startServer(c *qt.C, o logstore.Options) (*logservice.Client, *logstore.Server) {
	server, address, stop, err := logstore.Start(o)
	c.Assert(err, qt.IsNil)
	c.Cleanup(stop)
	client, cleanup, err := logservice.New(address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(cleanup)
	return client, server
}

func sent(c *qt.C, err error) bool {
	var e *logservice.Error
	c.Assert(errors.As(err, &e), qt.IsTrue, qt.Commentf("%v", err))
	return e.Sent()
}

// Guards against entries that are lost or read at another offset than they were appended at, and against a wrong AtEnd.
func TestAppendAndRead(t *testing.T) {
	c := qt.New(t)
	client, server := startServer(c, logstore.Options{})
	ctx := context.Background()
	for i, data := range []string{"a", "b", "c"} {
		o, err := client.Append(ctx, "s", []byte(data))
		c.Assert(err, qt.IsNil)
		c.Assert(o, qt.Equals, ids.Offset(i))
	}
	p, err := client.Read(ctx, "s", 1, testBytes, 0)
	c.Assert(err, qt.IsNil)
	want := []logservice.Entry{{Offset: 1, Data: []byte("b")}, {Offset: 2, Data: []byte("c")}}
	c.Assert(p, qt.DeepEquals, logservice.Page{Next: 3, Entries: want, AtEnd: true})
	p, err = client.Read(ctx, "s", 0, 2, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(p.Next, qt.Equals, ids.Offset(2))
	c.Assert(p.AtEnd, qt.IsFalse)
	server.Store().Trim("s", 2)
	p, err = client.Read(ctx, "s", 0, testBytes, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(p, qt.DeepEquals, logservice.Page{Oldest: 2, Next: 3, Entries: want[1:], AtEnd: true})
}

// Guards against an error whose Sent is false although the entry was appended, or true although it cannot have been.
func TestAppendErrorReportsWhetherItMayHaveBeenAppended(t *testing.T) {
	c := qt.New(t)
	client, server := startServer(c, logstore.Options{AppendsPerSecond: 1})
	ctx := context.Background()
	server.SetFaults(logstore.Faults{LoseAnswers: 1})
	_, err := client.Append(ctx, "s", []byte("a"))
	c.Assert(sent(c, err), qt.IsTrue)
	p, err := client.Read(ctx, "s", 0, testBytes, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(p.Entries, qt.HasLen, 1)

	_, err = client.Append(ctx, "s", []byte("b"))
	c.Assert(sent(c, err), qt.IsFalse, qt.Commentf("429"))
	server.SetFaults(logstore.Faults{Outage: true})
	_, err = client.Append(ctx, "s", []byte("b"))
	c.Assert(sent(c, err), qt.IsTrue, qt.Commentf("503"))
	_, err = client.Append(ctx, "s", make([]byte, record.MaxEntryBytes+1))
	c.Assert(sent(c, err), qt.IsFalse, qt.Commentf("too large"))

	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Assert(l.Close(), qt.IsNil)
	nobody, cleanup, err := logservice.New(l.Addr().String())
	c.Assert(err, qt.IsNil)
	defer cleanup()
	_, err = nobody.Append(ctx, "s", []byte("b"))
	c.Assert(sent(c, err), qt.IsFalse, qt.Commentf("nobody listens"))
}

// Guards against a read that waits for entries after its context has ended.
func TestReadEndsWithItsContext(t *testing.T) {
	c := qt.New(t)
	client, _ := startServer(c, logstore.Options{})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	began := time.Now()
	_, err := client.Read(ctx, "s", 0, testBytes, 30*time.Second)
	c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
	c.Assert(time.Since(began) < 10*time.Second, qt.IsTrue)
}

// Guards against a reader that cannot continue after an entry that exceeds the bound on the size of a response.
func TestReadContinuesAfterOversizedEntry(t *testing.T) {
	c := qt.New(t)
	client, server := startServer(c, logstore.Options{})
	server.Store().Append(time.Now(), "s", make([]byte, 7*record.MaxEntryBytes))
	server.Store().Append(time.Now(), "s", make([]byte, 3*record.MaxEntryBytes))
	p, err := client.Read(context.Background(), "s", 0, 1000, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(p, qt.DeepEquals, logservice.Page{Next: 1, Entries: []logservice.Entry{{}}})
	p, err = client.Read(context.Background(), "s", 1, 1000, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(p.Next, qt.Equals, ids.Offset(2))
	c.Assert(p.Entries[0].Data, qt.HasLen, 3*record.MaxEntryBytes)
}

// Guards against a response that is malformed, broken off or has an invalid status, and that counts as a done append or as one
// without effect.
func TestDamagedResponses(t *testing.T) {
	const body = `{"offset":12}`
	c := qt.New(t)
	target, cleanup, err := httpwiretest.NewTarget()
	c.Assert(err, qt.IsNil)
	c.Cleanup(cleanup)
	check := func(raw string, done bool) {
		client, closeClient, err := logservice.New(target.Address())
		c.Assert(err, qt.IsNil)
		defer closeClient()
		target.Enqueue(httpwiretest.Reply{Raw: raw})
		o, err := client.Append(context.Background(), "s", []byte("a"))
		c.Check(err == nil, qt.Equals, done, qt.Commentf("%q: %d, %v", raw, o, err))
		c.Check(err == nil || sent(c, err), qt.IsTrue, qt.Commentf("%q: %v", raw, err))
	}
	for _, l := range httpwiretest.StatusLines() {
		check(l.Raw+"Content-Length: 13\r\n\r\n"+body, l.Status == 200)
	}
	for _, a := range httpwiretest.Answers("X-A: a\r\n", body) {
		for n := range len(a.Raw) + 1 {
			check(a.Raw[:n], a.Body == body && n == len(a.Raw))
		}
	}
}

// Guards against bytes after a response that count as the response to a later append, and against an append that is sent on a
// connection that the service has closed.
func TestIdleConnectionIsChecked(t *testing.T) {
	const first, second = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"offset\":1}", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"offset\":2}"
	for _, r := range []httpwiretest.Reply{{Raw: first + first, Keep: true}, {Raw: first + first, Keep: true, Bytewise: true}, {Raw: first}} {
		c := qt.New(t)
		target, cleanup, err := httpwiretest.NewTarget()
		c.Assert(err, qt.IsNil)
		c.Cleanup(cleanup)
		client, closeClient, err := logservice.New(target.Address())
		c.Assert(err, qt.IsNil)
		c.Cleanup(closeClient)
		for i, r := range []httpwiretest.Reply{r, {Raw: second}} {
			target.Enqueue(r)
			o, err := client.Append(context.Background(), "s", []byte("a"))
			c.Check(err, qt.IsNil, qt.Commentf("%+v", r))
			c.Check(o, qt.Equals, ids.Offset(i+1))
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// Guards against an answer without a length that looks like an acknowledgement although the service ended or reset the connection
// before it had received the entry.
func TestAnswerBeforeTheEntryIsReceived(t *testing.T) {
	c := qt.New(t)
	const raw = "HTTP/1.1 200 OK\r\n\r\n" + `{"offset":12}`
	for _, r := range []httpwiretest.Reply{{Raw: raw, Reset: true}, {Raw: raw, HalfClose: true}} {
		target, cleanup, err := httpwiretest.NewEarlyTarget()
		c.Assert(err, qt.IsNil)
		c.Cleanup(cleanup)
		target.Enqueue(r)
		client, closeClient, err := logservice.New(target.Address())
		c.Assert(err, qt.IsNil)
		c.Cleanup(closeClient)
		_, err = client.Append(context.Background(), "s", make([]byte, record.MaxEntryBytes))
		c.Assert(sent(c, err), qt.IsTrue)
	}
}
