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
)

// maxErrorBody bounds the part of a refusal's body that an Error keeps.
const maxErrorBody = 4 << 10

// endWait is how long an answer waits for the end mark of its body, which usually comes with the last data. Without it
// the connection is not used again.
const endWait = 5 * time.Millisecond

// Header is one header field.
type Header struct{ Name, Value string }

// Request is a request to a target. Only the headers listed here are sent, besides those that frame the message.
type Request struct {
	Method string
	// Path is the escaped path with the query.
	Path        string
	ContentType string
	Headers     []Header
	Body        []byte
}

// Head is the start of an answer.
type Head struct {
	Status      int
	ContentType string
	// Closing reports whether the target announced that it closes the connection.
	Closing bool
	// RetryAfter is the wait that the target asked for; 0 if it did not.
	RetryAfter time.Duration
	header     *fasthttp.ResponseHeader
}

// Get returns the value of a header field.
func (h Head) Get(name string) string { return string(h.header.Peek(name)) }

// Do sends the request and calls read with the answer. The body fails with a TooLarge error after limit bytes. The
// connection is reused only if read returned nil after the body's end. Every error is an *Error; an error of read that
// is not an *Error becomes the cause of one of kind Aborted.
func (c *Client) Do(ctx context.Context, address string, r Request, limit int64, read func(h Head, body io.Reader) error) error {
	x := &exchange{ctx: ctx, address: address, limit: limit}
	if err := ctx.Err(); err != nil {
		return x.fail(Refused, err)
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
		// The header belongs to the exchange, so that a copy outlives it.
		head.header = copyHeader(head.header)
		h = head
		body, err = io.ReadAll(rd)
		return err
	})
	return h, body, err
}

// validPath guards against a path that would end the request line early and start a second request.
func validPath(p string) bool {
	return strings.HasPrefix(p, "/") && strings.IndexFunc(p, func(r rune) bool { return r <= ' ' || r == 0x7f }) < 0
}

func copyHeader(h *fasthttp.ResponseHeader) *fasthttp.ResponseHeader {
	c := &fasthttp.ResponseHeader{}
	h.CopyTo(c)
	return c
}

// exchange is one request with its answer.
type exchange struct {
	ctx     context.Context
	address string
	limit   int64
	conn    countingConn
	status  int
}

// fail returns an error of the given kind, unless the context explains the failure.
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
	l, err := acquireConn(x.ctx, pool)
	if err != nil {
		return x.fail(Refused, err)
	}
	x.conn.Conn = l.conn
	// A cancelled context interrupts reads and writes at once.
	stop := context.AfterFunc(x.ctx, func() { _ = l.conn.SetDeadline(time.Unix(1, 0)) })
	whole, err := x.converse(pool, r, read)
	// After a failed stop the function above may still set the deadline, so that the connection cannot be used again.
	if !stop() || !whole {
		l.drop()
	} else {
		l.giveBack()
	}
	return err
}

// converse reports whether the connection may be used again.
func (x *exchange) converse(pool *fasthttp.HostClient, r Request, read func(Head, io.Reader) error) (whole bool, err error) {
	if err := x.write(pool, r); err != nil {
		return false, x.fail(Cut, err)
	}
	br := pool.AcquireReader(x.conn.Conn)
	defer pool.ReleaseReader(br)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	resp.StreamBody = true
	resp.SkipBody = r.Method == fasthttp.MethodHead
	if err := resp.ReadLimitBody(br, 0); err != nil {
		return false, x.headFailure(err)
	}
	defer func() { _ = resp.CloseBodyStream() }()

	x.status = resp.StatusCode()
	body := &boundedReader{x: x, left: x.limit, r: resp.BodyStream()}
	if body.r == nil {
		body.end = true
	} else if resp.Header.ContentLength() == -2 {
		return false, x.fail(Malformed, errors.New("answer without length: its end cannot be told from a broken connection"))
	}
	if err := read(newHead(resp), body); err != nil {
		var e *Error
		if errors.As(err, &e) {
			return false, err
		}
		return false, x.fail(Aborted, err)
	}
	// Bytes after the answer belong to no request, so that later answers on this connection could be crossed.
	return x.atEnd(body) && br.Buffered() == 0 && !resp.ConnectionClose(), nil
}

// atEnd reports whether the body has ended. A stream's reader stops at the last event, before the body's end mark.
func (x *exchange) atEnd(body *boundedReader) bool {
	if body.end {
		return true
	}
	if err := x.conn.SetReadDeadline(time.Now().Add(endWait)); err != nil {
		return false
	}
	var b [1]byte
	n, err := body.Read(b[:])
	return n == 0 && errors.Is(err, io.EOF)
}

// headFailure returns the error for an answer whose head could not be read. It drops fasthttp's text, which quotes what
// was received: that can be a caller's data.
func (x *exchange) headFailure(err error) *Error {
	var small *fasthttp.ErrSmallBuffer
	var network *net.OpError
	switch {
	case errors.As(err, &small):
		return x.fail(TooLarge, errors.New("headers exceed their limit"))
	case errors.Is(err, fasthttp.ErrTimeout):
		return x.fail(Cut, err)
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

func newHead(resp *fasthttp.Response) Head {
	return Head{
		Status:      resp.StatusCode(),
		ContentType: string(resp.Header.ContentType()),
		Closing:     resp.ConnectionClose(),
		RetryAfter:  retryAfter(&resp.Header),
		header:      &resp.Header,
	}
}

// retryAfter parses only the form in seconds; dates would need an agreed clock.
func retryAfter(h *fasthttp.ResponseHeader) time.Duration {
	s, err := strconv.Atoi(string(h.Peek(fasthttp.HeaderRetryAfter)))
	if err != nil || s < 0 || s > int(time.Hour/time.Second) {
		return 0
	}
	return time.Duration(s) * time.Second
}

// boundedReader reads a body and turns its failures into errors of the exchange.
type boundedReader struct {
	x    *exchange
	r    io.Reader
	left int64
	end  bool
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (n int, err error) {
	if b.end {
		return 0, io.EOF
	}
	n, err = b.r.Read(p)
	b.left -= int64(n)
	switch {
	case b.left < 0:
		return 0, b.x.fail(TooLarge, fmt.Errorf("answer exceeds %d bytes", b.x.limit))
	case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		b.end = true
		return n, io.EOF
	case err != nil:
		return n, b.x.fail(Cut, err)
	}
	return n, nil
}

// Refusal returns the error for an answer whose status the adapter does not accept.
func Refusal(address string, h Head, body []byte) *Error {
	e := &Error{Kind: BadStatus, Address: address, Status: h.Status, RetryAfter: h.RetryAfter, sent: true}
	if h.Leaving() {
		e.Kind = Leaving
	}
	e.Body = body[:min(len(body), maxErrorBody)]
	return e
}

// ReadRefusal is Refusal with the start of the body still to be read.
func ReadRefusal(address string, h Head, body io.Reader) *Error {
	// The status decides, so that a body that breaks off is kept as far as it came.
	start, _ := io.ReadAll(io.LimitReader(body, maxErrorBody))
	return Refusal(address, h, start)
}

// Failure returns the error for an answer that began but is not accepted.
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
