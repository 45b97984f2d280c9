package targethttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/comfreylink/comfreylink/internal/httpwire"
)

// maxErrorBody limits how much of the body of a refusal an Error keeps.
const maxErrorBody = 4 << 10

// bodyEndTimeout is how long an exchange waits for the end mark of a body, which usually arrives with the last data. If
// the mark does not arrive in time, the connection is closed instead of reused.
const bodyEndTimeout = 5 * time.Millisecond

// Header is one header field.
type Header struct{ Name, Value string }

// Request is a request to a target. The only headers sent besides those listed here are Host, User-Agent and those that
// frame the message.
type Request struct {
	Method string
	// Path is the escaped path, including the query.
	Path        string
	ContentType string
	Headers     []Header
	Body        []byte
}

// Head holds the status and headers of an answer.
type Head struct {
	Status      int
	ContentType string
	// Closing reports whether the target announced that it closes the connection.
	Closing bool
	// RetryAfter is the retry delay that the target asked for; 0 if it asked for none.
	RetryAfter time.Duration
	header     *fasthttp.ResponseHeader
}

// Get returns the value of a header field.
func (h Head) Get(name string) string { return string(h.header.Peek(name)) }

// Do sends the request and calls read with the answer. Reading more than limit bytes of the body fails with an error of
// kind TooLarge. The connection is reused only if read returns nil and the body has ended. Every error is or wraps an
// *Error; any other error of read becomes the cause of one of kind Aborted.
func (c *Client) Do(ctx context.Context, address string, r Request, limit int64, read func(h Head, body io.Reader) error) error {
	x := &exchange{ctx: ctx, address: address, limit: limit}
	if err := ctx.Err(); err != nil {
		return x.fail(NotConnected, err)
	}
	if !validPath(r.Path) {
		return InvalidRequest(address, fmt.Errorf("path %q holds a space or control character", r.Path))
	}
	h := c.acquire(address, time.Now())
	defer c.release(h)
	return x.run(h.pool, r, read)
}

// Bytes sends the request and returns the whole answer of at most limit bytes.
func (c *Client) Bytes(ctx context.Context, address string, r Request, limit int64) (h Head, body []byte, err error) {
	err = c.Do(ctx, address, r, limit, func(head Head, rd io.Reader) (err error) {
		h = head
		body, err = io.ReadAll(rd)
		return err
	})
	return h, body, err
}

// validPath reports whether a path is safe in a request line. A space or control character would end the line early and
// could start a second request.
func validPath(p string) bool {
	return strings.HasPrefix(p, "/") && strings.IndexFunc(p, func(r rune) bool { return r <= ' ' || r == 0x7f }) < 0
}

// exchange is one request and its answer.
type exchange struct {
	ctx     context.Context
	address string
	limit   int64
	conn    countingConn
	status  int
}

// fail returns an error of kind k, or of kind Aborted or Timeout if the context has ended.
func (x *exchange) fail(k Kind, err error) *Error {
	var timeout interface{ Timeout() bool }
	switch cause := x.ctx.Err(); {
	case errors.Is(cause, context.Canceled):
		k, err = Aborted, cause
	case cause != nil:
		k, err = Timeout, cause
	case k == Cut && errors.As(err, &timeout) && timeout.Timeout():
		// The connection's deadline can fire just before the context's timer.
		k, err = Timeout, context.DeadlineExceeded
	}
	return &Error{Kind: k, Address: x.address, Status: x.status, Err: err, sent: x.conn.written > 0}
}

func (x *exchange) run(pool *fasthttp.HostClient, r Request, read func(Head, io.Reader) error) error {
	pooled, err := acquireConn(x.ctx, pool)
	if err != nil {
		return x.fail(NotConnected, err)
	}
	x.conn.Conn = pooled.conn
	// A cancelled context interrupts reads and writes at once.
	stop := context.AfterFunc(x.ctx, func() { _ = pooled.conn.SetDeadline(time.Unix(1, 0)) })
	reusable, err := x.roundTrip(pool, r, read)
	// If stop returns false, the function above may still set the deadline, so the connection cannot be reused.
	if !stop() || !reusable {
		pooled.discard()
	} else {
		pooled.release()
	}
	return err
}

// roundTrip sends the request, calls read with the answer, and reports whether the connection may be reused. A target may answer
// a long request before it has read all of it, and close the connection: the answer counts although the write has failed.
func (x *exchange) roundTrip(pool *fasthttp.HostClient, r Request, read func(Head, io.Reader) error) (reusable bool, err error) {
	writeErr := x.write(pool, r)
	if writeErr != nil && x.conn.written == 0 {
		return false, x.fail(Cut, writeErr)
	}
	br := pool.AcquireReader(x.conn.Conn)
	defer pool.ReleaseReader(br)
	var h fasthttp.ResponseHeader
	received := func() error { return httpwire.Received(x.conn.Conn, writeErr) }
	raw, err := httpwire.ReadAnswer(br, &h, r.Method == fasthttp.MethodHead, received)
	if err != nil {
		return false, x.headFailure(errors.Join(writeErr, err))
	}
	x.status = h.StatusCode()
	body := &boundedReader{x: x, remaining: x.limit, r: raw}
	if err := read(newHead(&h), body); err != nil {
		var e *Error
		if errors.As(err, &e) {
			return false, err
		}
		return false, x.fail(Aborted, err)
	}
	// Bytes after the answer would be read as the answer to the next request on this connection.
	return writeErr == nil && x.atEnd(body) && br.Buffered() == 0 && !h.ConnectionClose(), nil
}

// atEnd reports whether the body has ended, and waits for its end mark if necessary: the reader of an event stream stops
// at the last event, before that mark.
func (x *exchange) atEnd(body *boundedReader) bool {
	if body.ended {
		return true
	}
	if err := x.conn.SetReadDeadline(time.Now().Add(bodyEndTimeout)); err != nil {
		return false
	}
	var b [1]byte
	n, err := body.Read(b[:])
	return n == 0 && errors.Is(err, io.EOF)
}

// headFailure returns the error for an answer whose head could not be read. It omits the text of fasthttp's parse errors,
// which quotes received bytes and so may contain a caller's data.
func (x *exchange) headFailure(err error) *Error {
	var network *net.OpError
	switch {
	case errors.Is(err, httpwire.ErrHeadTooLarge):
		return x.fail(TooLarge, errors.New("headers exceed their limit"))
	case errors.As(err, &network):
		return x.fail(Cut, network)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return x.fail(Cut, io.ErrUnexpectedEOF)
	}
	return x.fail(Malformed, errors.New("malformed headers"))
}

func (x *exchange) write(pool *fasthttp.HostClient, r Request) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(r.Method)
	req.Header.SetRequestURI(r.Path)
	req.Header.SetHost(x.address)
	req.Header.SetUserAgent("comfreylink")
	if r.ContentType != "" {
		req.Header.SetContentType(r.ContentType)
	}
	for _, h := range r.Headers {
		req.Header.Set(h.Name, h.Value)
	}
	req.SetBodyRaw(r.Body)
	bw := pool.AcquireWriter(&x.conn)
	defer pool.ReleaseWriter(bw)
	if err := req.Write(bw); err != nil {
		return err
	}
	return bw.Flush()
}

func newHead(h *fasthttp.ResponseHeader) Head {
	return Head{
		Status:      h.StatusCode(),
		ContentType: string(h.ContentType()),
		Closing:     h.ConnectionClose(),
		RetryAfter:  retryAfter(h),
		header:      h,
	}
}

// retryAfter parses a Retry-After header of up to an hour in seconds. It ignores dates, which would need synchronized
// clocks.
func retryAfter(h *fasthttp.ResponseHeader) time.Duration {
	s, err := strconv.Atoi(string(h.Peek(fasthttp.HeaderRetryAfter)))
	if err != nil || s < 0 || s > int(time.Hour/time.Second) {
		return 0
	}
	return time.Duration(s) * time.Second
}

// boundedReader reads at most a number of bytes of a body and returns failures as an *Error.
type boundedReader struct {
	x         *exchange
	r         io.Reader
	remaining int64 // negative once the limit is exceeded
	ended     bool
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (n int, err error) {
	if b.ended {
		return 0, io.EOF
	}
	n, err = b.r.Read(p)
	b.remaining -= int64(n)
	switch {
	case b.remaining < 0:
		return 0, b.x.fail(TooLarge, fmt.Errorf("answer exceeds %d bytes", b.x.limit))
	case errors.Is(err, io.EOF):
		b.ended = true
		return n, io.EOF
	case err != nil:
		return n, b.x.fail(Cut, err)
	}
	return n, nil
}

// Refusal returns the error for an answer whose status the adapter does not accept, of kind Leaving or BadStatus.
func Refusal(address string, h Head, body []byte) *Error {
	e := &Error{Kind: BadStatus, Address: address, Status: h.Status, RetryAfter: h.RetryAfter, sent: true}
	if h.Leaving() {
		e.Kind = Leaving
	}
	e.Body = body[:min(len(body), maxErrorBody)]
	return e
}

// ReadRefusal reads the start of the body and returns the same error as Refusal.
func ReadRefusal(address string, h Head, body io.Reader) *Error {
	// A read error is ignored: the status matters, and the Error keeps the part of the body that was received.
	start, _ := io.ReadAll(io.LimitReader(body, maxErrorBody))
	return Refusal(address, h, start)
}

// Failure returns an error of kind k for an answer whose head was received but which is not accepted.
func Failure(k Kind, address string, h Head, err error) *Error {
	return &Error{Kind: k, Address: address, Status: h.Status, Err: err, sent: true}
}

// Leaving reports whether the answer says that the target takes no new work.
func (h Head) Leaving() bool { return h.Status == fasthttp.StatusServiceUnavailable && h.Closing }

// countingConn counts the bytes that the kernel accepted.
type countingConn struct {
	net.Conn
	written int64
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (n int, err error) {
	n, err = c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}
