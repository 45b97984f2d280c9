// Package weightstore is a client of the platform's weight store, which limits the rate of downloads.
package weightstore

import (
	"context"
	"io"
	"net"
	"net/url"

	"github.com/comfreylink/comfreylink/internal/targethttp"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/samber/oops"
	"github.com/valyala/fasthttp"
)

// Client downloads model weights. It is safe for concurrent use.
type Client struct {
	address string
	http    *targethttp.Client
}

// New returns a client of the store at an IP address and port. The cleanup closes its idle connections.
func New(address string) (c *Client, cleanup func(), err error) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return nil, nil, oops.In("weightstore").Wrapf(err, "address of the weight store")
	}
	h, cleanup := targethttp.New()
	return &Client{address: address, http: h}, cleanup, nil
}

// Get writes the weights of a model to w and returns the number of bytes written. It fails if the weights have more than
// limit bytes. If the store's rate limit is exceeded, the error is a *targethttp.Error with status 429, whose RetryAfter
// is the time to wait.
func (c *Client) Get(ctx context.Context, model ids.ModelID, limit int64, w io.Writer) (n int64, err error) {
	defer func() { err = oops.In("weightstore").With("model", model).Wrapf(err, "get weights") }()
	q := targethttp.Request{Method: fasthttp.MethodGet, Path: "/v1/weights/" + url.PathEscape(string(model))}
	err = c.http.Do(ctx, c.address, q, limit, func(h targethttp.Head, body io.Reader) (err error) {
		if h.Status != fasthttp.StatusOK {
			return targethttp.ReadRefusal(c.address, h, body)
		}
		n, err = io.Copy(w, body)
		return err
	})
	return n, err
}
