// Package service is the adapter of plain services and tool services.
package service

import (
	"context"
	"strconv"
	"strings"

	"github.com/comfreylink/comfreylink/internal/targethttp"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/samber/oops"
)

// MaxAnswerBytes is the usual limit of an answer's body: in base64 it fits into an outcome record, whose entry is at
// most 1 MiB.
const MaxAnswerBytes = 700 << 10

// Headers that tell a service about the request.
const (
	keyHeader       = "Idempotency-Key"
	workspaceHeader = "X-Workspace"
	fenceHeader     = "X-Fence"
	scopeHeader     = "X-Fence-Scope"
)

// Request is a call of a service. No header of the caller goes along, except the two listed here.
type Request struct {
	Method string
	// Path is the escaped path with the query; it starts with '/'.
	Path        string
	ContentType string
	Accept      string
	Body        []byte
	Workspace   ids.WorkspaceID
	// Key is sent as the idempotency key; empty for none.
	Key ids.RequestKey
	// Fence is sent as the fencing number to services that check it; 0 for none.
	Fence ids.Epoch
	// FenceScope names what the fencing numbers count for: each slot has an owner and an epoch of its own, so numbers of
	// different slots must not be compared.
	FenceScope string
	// MaxAnswerBytes limits the answer's body; 0 stands for the constant of this name.
	MaxAnswerBytes int64
}

// Answer is what the service answered, with whatever status.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Leaving reports that the status is 503 and the connection closes: the service takes no new work. It is no proof
	// that the request did not run.
	Leaving bool
}

// Client calls services. It is safe for concurrent use.
type Client struct{ http *targethttp.Client }

// New returns a client. The cleanup closes its idle connections.
func New() (c *Client, cleanup func(), err error) {
	h, cleanup := targethttp.New()
	return &Client{http: h}, cleanup, nil
}

// Do sends the request once to the IP address and port and returns the whole answer. Its errors are or wrap a
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
