// Package logservice is a client of the platform's append-only log service.
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
	// requestTimeout is the timeout of a request. A read adds its wait. The caller's context may end a request earlier.
	requestTimeout = 5 * time.Second
	// entryOverhead is an upper bound of the bytes that an entry takes in the response to a read besides its data.
	entryOverhead = 128
	// maxSingleResponse bounds the size of a response with a single entry. It is enough for an entry of six times
	// record.MaxEntryBytes.
	maxSingleResponse = 8 << 20
	// maxAppendResponse bounds the size of the response to an append, {"offset":N}, which is far smaller.
	maxAppendResponse = 4 << 10
)

// Entry is one entry of a stream. Data is nil if the entry is too large to be read.
type Entry struct {
	Offset ids.Offset `json:"offset"`
	Data   []byte     `json:"data"`
}

// Page is the response to a read.
type Page struct {
	// Oldest is the offset of the oldest kept entry, or of the next entry if none is kept.
	Oldest ids.Offset `json:"oldest"`
	// Next is the offset to read from next.
	Next    ids.Offset `json:"next"`
	Entries []Entry    `json:"entries"`
	// AtEnd reports that the stream had no entry from Next on during the read. The protocol does not say this. It is
	// inferred if the page is empty or another entry of record.MaxEntryBytes would have fit. It is therefore wrong, until
	// the next read, if the page ended before a larger entry, which this project never appends.
	AtEnd bool `json:"-"`
}

// Client sends requests to the log service. It is safe for concurrent use. All errors of its methods wrap an *Error.
type Client struct {
	pool pool
}

// New returns a client of the log service at an address HOST:PORT. The cleanup closes its idle connections.
func New(address string) (c *Client, cleanup func(), err error) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return nil, nil, oops.In("logservice").Wrapf(err, "address of the log service")
	}
	c = &Client{pool: pool{address: address}}
	return c, c.pool.close, nil
}

// Traffic returns the counter of the bytes sent to and received from the log service.
func (c *Client) Traffic() *traffic.Counter { return &c.pool.traffic }

// Append appends an entry of at most record.MaxEntryBytes to a stream and returns its offset. If the error's Sent is
// true, the entry may have been appended or may still be appended.
func (c *Client) Append(ctx context.Context, s ids.Stream, data []byte) (o ids.Offset, err error) {
	defer func() { err = oops.In("logservice").With("stream", s).Wrapf(err, "append to %s", s) }()
	if len(data) > record.MaxEntryBytes {
		return 0, &Error{cause: fmt.Errorf("entry has %d bytes, the maximum is %d", len(data), record.MaxEntryBytes)}
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
	if err := c.do(ctx, req, maxAppendResponse, &answer); err != nil {
		return 0, err
	}
	if answer.Offset == nil || *answer.Offset < 0 {
		return 0, &Error{cause: errors.New("response without a valid offset"), sent: true}
	}
	return *answer.Offset, nil
}

// Read returns entries from the offset from on. They have at most maxBytes in total, but if there are entries, Read
// returns at least one. If there are none, the service waits for one for up to wait. The entries are in order, and none
// is before from.
//
// An entry that exceeds the bound on the size of a response is returned without data.
func (c *Client) Read(ctx context.Context, s ids.Stream, from ids.Offset, maxBytes int, wait time.Duration) (p Page, err error) {
	defer func() { err = oops.In("logservice").With("stream", s).Wrapf(err, "read %s from %d", s, from) }()
	// Base64 takes a third more space than the data. Twice the size of the data leaves enough for the JSON around it.
	p, err = c.read(ctx, s, from, maxBytes, 2*(maxBytes+record.MaxEntryBytes), wait)
	if !errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return p, err
	}
	p, err = c.read(ctx, s, from, 1, maxSingleResponse, 0)
	if !errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return p, err
	}
	return Page{Oldest: from, Next: from + 1, Entries: []Entry{{Offset: from}}}, nil
}

func (c *Client) read(ctx context.Context, s ids.Stream, from ids.Offset, maxBytes, maxResponse int, wait time.Duration) (p Page, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+requestTimeout)
	defer cancel()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI(c.uri(s))
	args := req.URI().QueryArgs()
	args.Set("from", strconv.FormatInt(int64(from), 10))
	args.SetUint("maxBytes", maxBytes)
	args.Set("waitMs", strconv.FormatInt(ids.Millis(wait), 10))
	if err := c.do(ctx, req, maxResponse, &p); err != nil {
		return Page{}, err
	}
	if err := p.check(from); err != nil {
		return Page{}, &Error{cause: err}
	}
	p.AtEnd = p.fitsAnotherEntry(maxBytes)
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
		// A status 4xx means that the request was refused. A 5xx may come from a gateway although the service carried
		// out the request.
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

// check returns an error if offsets are out of order.
func (p Page) check(from ids.Offset) (err error) {
	at := max(from, p.Oldest)
	for _, e := range p.Entries {
		if e.Offset < at {
			return fmt.Errorf("offset %d is out of order", e.Offset)
		}
		at = e.Offset + 1
	}
	if len(p.Entries) > 0 && p.Next < at {
		return fmt.Errorf("next offset %d is lower than %d", p.Next, at)
	}
	return nil
}

// fitsAnotherEntry reports whether the page is empty, or an entry of record.MaxEntryBytes would have fit into it.
func (p Page) fitsAnotherEntry(maxBytes int) bool {
	if len(p.Entries) == 0 {
		return true
	}
	size := encodedSize(record.MaxEntryBytes)
	for _, e := range p.Entries {
		size += encodedSize(len(e.Data))
	}
	return size <= maxBytes
}

// encodedSize returns an upper bound of the size that an entry with so many bytes of data has in a response.
func encodedSize(data int) int { return data/3*4 + entryOverhead }
