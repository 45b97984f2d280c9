// Package logservice is the adapter of the platform's append-only log service.
package logservice

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"

	"github.com/comfreylink/comfreylink/internal/traffic"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

const (
	// requestTimeout bounds a request, in addition to the wait of a read and to the caller's context.
	requestTimeout = 5 * time.Second
	// entryOverhead is more than the bytes that the answer to a read spends on an entry besides its data.
	entryOverhead = 128
	// maxSingleAnswer bounds the answer with only one entry, up to six times as large as one that is interpreted.
	maxSingleAnswer = 8 << 20
	// maxAppendAnswer is far above the size of {"offset":N}.
	maxAppendAnswer = 4 << 10
)

// Entry is one entry of a stream. Data is nil if the entry is too large to be read.
type Entry struct {
	Offset ids.Offset `json:"offset"`
	Data   []byte     `json:"data"`
}

// Page is the answer to a read.
type Page struct {
	// Oldest is the offset of the oldest kept entry, or of the next entry if none is kept.
	Oldest ids.Offset `json:"oldest"`
	// Next is the offset to read from next.
	Next    ids.Offset `json:"next"`
	Entries []Entry    `json:"entries"`
	// AtEnd reports that the stream had no entry after Next during the read. The protocol does not say this; it follows
	// from an empty page, or from room for one more entry of record.MaxEntryBytes that the service did not use. So it is
	// wrong, until the next read, if a larger entry of other origin ended the page.
	AtEnd bool `json:"-"`
}

// Client sends requests to the log service. Its methods may be called concurrently; each error is an *Error.
type Client struct {
	pool pool
}

// New returns a client of the log service at an address HOST:PORT; cleanup closes its idle connections.
func New(address string) (c *Client, cleanup func(), err error) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return nil, nil, oops.In("logservice").Wrapf(err, "address of the log service")
	}
	c = &Client{pool: pool{address: address}}
	return c, c.pool.close, nil
}

// Traffic counts the bytes of the connections to the log service.
func (c *Client) Traffic() *traffic.Counter { return &c.pool.traffic }

// Append adds an entry of at most record.MaxEntryBytes to a stream and returns its offset. After an error with Sent the
// entry may have been appended, or may still be.
func (c *Client) Append(ctx context.Context, s ids.Stream, data []byte) (o ids.Offset, err error) {
	defer func() { err = oops.In("logservice").With("stream", s).Wrapf(err, "append to %s", s) }()
	if len(data) > record.MaxEntryBytes {
		return 0, &Error{cause: fmt.Errorf("entry of %d bytes, at most %d", len(data), record.MaxEntryBytes)}
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(c.uri(s))
	req.SetBodyRaw(data)
	var answer struct {
		Offset *ids.Offset `json:"offset"`
	}
	if err := c.do(ctx, req, maxAppendAnswer, &answer); err != nil {
		return 0, err
	}
	if answer.Offset == nil || *answer.Offset < 0 {
		return 0, &Error{cause: errors.New("answer without an offset"), sent: true}
	}
	return *answer.Offset, nil
}

// Read returns entries from an offset on, at most maxBytes of them but at least one if there is one. If there is none,
// the service waits for one. The page's entries are in order and not before from.
//
// An entry whose data cannot be read within the bound of an answer is returned without data.
func (c *Client) Read(ctx context.Context, s ids.Stream, from ids.Offset, maxBytes int, wait time.Duration) (p Page, err error) {
	defer func() { err = oops.In("logservice").With("stream", s).Wrapf(err, "read %s from %d", s, from) }()
	// Base64 needs a third more than the data; twice the data leaves room for the JSON around it.
	p, err = c.read(ctx, s, from, maxBytes, 2*(maxBytes+record.MaxEntryBytes), wait)
	if !errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return p, err
	}
	p, err = c.read(ctx, s, from, 1, maxSingleAnswer, 0)
	if !errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return p, err
	}
	return Page{Oldest: from, Next: from + 1, Entries: []Entry{{Offset: from}}}, nil
}

func (c *Client) read(ctx context.Context, s ids.Stream, from ids.Offset, maxBytes, maxAnswer int, wait time.Duration) (p Page, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+requestTimeout)
	defer cancel()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI(c.uri(s))
	args := req.URI().QueryArgs()
	args.Set("from", strconv.FormatInt(int64(from), 10))
	args.SetUint("maxBytes", maxBytes)
	args.Set("waitMs", strconv.FormatInt(ids.Millis(wait), 10))
	if err := c.do(ctx, req, maxAnswer, &p); err != nil {
		return Page{}, err
	}
	if err := p.check(from); err != nil {
		return Page{}, &Error{cause: err}
	}
	p.AtEnd = p.hasRoom(maxBytes)
	return p, nil
}

func (c *Client) do(ctx context.Context, req *fasthttp.Request, maxBody int, answer any) (err error) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	sent, err := c.pool.do(ctx, req, resp, maxBody)
	if err != nil {
		return &Error{cause: err, sent: sent}
	}
	if status := resp.StatusCode(); status != fasthttp.StatusOK {
		// An answer 4xx says that the request was refused; behind a 5xx of a gateway it may have taken effect.
		refused := status >= 400 && status < 500
		return &Error{Status: status, cause: errors.New(fasthttp.StatusMessage(status)), sent: !refused}
	}
	if err := json.Unmarshal(resp.Body(), answer); err != nil {
		return &Error{cause: err, sent: true}
	}
	return nil
}

func (c *Client) uri(s ids.Stream) string {
	return "http://" + c.pool.address + "/v1/streams/" + url.PathEscape(string(s)) + "/entries"
}

func (p Page) check(from ids.Offset) (err error) {
	at := max(from, p.Oldest)
	for _, e := range p.Entries {
		if e.Offset < at {
			return fmt.Errorf("offset %d out of order", e.Offset)
		}
		at = e.Offset + 1
	}
	if len(p.Entries) > 0 && p.Next < at {
		return fmt.Errorf("next offset %d is below %d", p.Next, at)
	}
	return nil
}

func (p Page) hasRoom(maxBytes int) bool {
	if len(p.Entries) == 0 {
		return true
	}
	size := encodedSize(record.MaxEntryBytes)
	for _, e := range p.Entries {
		size += encodedSize(len(e.Data))
	}
	return size <= maxBytes
}

func encodedSize(data int) int { return data/3*4 + entryOverhead }
