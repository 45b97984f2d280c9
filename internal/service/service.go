// Package service is the HTTP client of plain services and tool services.
package service

import (
	"context"
	"strconv"
	"strings"

	"github.com/comfreylink/comfreylink/internal/targethttp"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/samber/oops"
)

// MaxAnswerBytes is the default limit of an answer's body. A body of this size, encoded as base64, fits into an outcome
// record, whose log entry is at most 1 MiB.
const MaxAnswerBytes = 700 << 10

// Names of request headers.
const (
	keyHeader       = "Idempotency-Key"
	workspaceHeader = "X-Workspace"
	fenceHeader     = "X-Fence"
	scopeHeader     = "X-Fence-Scope"
)

// Request is a request to a service. Of the caller's headers it carries only ContentType and Accept.
type Request struct {
	Method string
	// Path is the escaped path with the query. A leading '/' is added if it is missing.
	Path        string
	ContentType string
	Accept      string
	Body        []byte
	Workspace   ids.WorkspaceID
	// Key is sent as the idempotency key, unless it is empty.
	Key ids.RequestKey
	// Fence is sent as the fencing number, unless it is 0.
	Fence ids.Epoch
	// FenceScope names the slot that the fencing number belongs to. Each slot has its own epochs, so a service must not
	// compare the numbers of different slots.
	FenceScope string
	// MaxAnswerBytes limits the answer's body. If it is 0, the constant MaxAnswerBytes applies.
	MaxAnswerBytes int64
}

// Answer is a service's answer, with any HTTP status.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Leaving reports that the status is 503 and the connection closes, which means that the target takes no new work.
	// It does not prove that the request did not run.
	Leaving bool
}

// Client sends requests to services. It is safe for concurrent use.
type Client struct{ http *targethttp.Client }

// New returns a client. The cleanup closes its idle connections.
func New() (c *Client, cleanup func(), err error) {
	h, cleanup := targethttp.New()
	return &Client{http: h}, cleanup, nil
}

// Do sends the request once to the IP address and port and returns the complete answer. Its errors wrap a
// *targethttp.Error.
func (c *Client) Do(ctx context.Context, address string, r Request) (a Answer, err error) {
	defer func() { err = oops.In("service").With("address", address).Wrapf(err, "call service") }()
	limit := r.MaxAnswerBytes
	if limit <= 0 {
		limit = MaxAnswerBytes
	}
	h, body, err := c.http.Bytes(ctx, address, r.http(), limit)
	if err != nil {
		return Answer{}, err
	}
	return Answer{Status: h.Status, ContentType: h.ContentType, Body: body, Leaving: h.Leaving()}, nil
}

// http returns the HTTP request to send.
func (r Request) http() targethttp.Request {
	q := targethttp.Request{Method: r.Method, Path: r.Path, ContentType: r.ContentType, Body: r.Body}
	if !strings.HasPrefix(q.Path, "/") {
		q.Path = "/" + q.Path
	}
	add := func(name, value string) {
		if value != "" {
			q.Headers = append(q.Headers, targethttp.Header{Name: name, Value: value})
		}
	}
	add("Accept", r.Accept)
	add(keyHeader, string(r.Key))
	add(workspaceHeader, string(r.Workspace))
	if r.Fence > 0 {
		add(fenceHeader, strconv.FormatInt(int64(r.Fence), 10))
		add(scopeHeader, r.FenceScope)
	}
	return q
}
