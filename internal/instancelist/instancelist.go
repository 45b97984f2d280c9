// Package instancelist is the adapter of the platform's list of live and leaving instances. The list lags: an instance
// that it shows may be gone, and a new one may be missing.
package instancelist

import (
	"context"
	"encoding/json"
	"fmt"
	"net"

	"github.com/comfreylink/comfreylink/internal/targethttp"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/samber/oops"
	"github.com/valyala/fasthttp"
)

// maxListBytes has room for 5,000 instances of 200 bytes, five times the largest fleet in the design.
const maxListBytes = 1 << 20

// Kind tells daemons from targets.
type Kind string

// Kinds of instances.
const (
	Daemon Kind = "daemon"
	Target Kind = "target"
)

// State tells whether an instance takes new work.
type State string

// States of instances.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Instance is one entry of the list.
type Instance struct {
	ID   string     `json:"id"`
	Kind Kind       `json:"kind"`
	Pool ids.PoolID `json:"pool"`
	Zone ids.Zone   `json:"zone"`
	// Address is the IP address and port.
	Address string `json:"address"`
	State   State  `json:"state"`
}

// Client reads the list. It is safe for concurrent use.
type Client struct {
	address string
	http    *targethttp.Client
}

// New returns a client of the list at an IP address and port. The cleanup closes its idle connections.
func New(address string) (c *Client, cleanup func(), err error) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return nil, nil, oops.In("instancelist").Wrapf(err, "address")
	}
	h, cleanup := targethttp.New()
	return &Client{address: address, http: h}, cleanup, nil
}

// List returns the instances. Entries without id or address, of unknown kind, and repeated ids are left out; an unknown
// state counts as leaving, because new work must not go to an instance that may be going away.
func (c *Client) List(ctx context.Context) (l []Instance, err error) {
	defer func() { err = oops.In("instancelist").Wrapf(err, "list instances") }()
	r := targethttp.Request{Method: fasthttp.MethodGet, Path: "/v1/instances"}
	h, body, err := c.http.Bytes(ctx, c.address, r, maxListBytes)
	if err != nil {
		return nil, err
	}
	if h.Status != fasthttp.StatusOK {
		return nil, targethttp.Refusal(c.address, h, body)
	}
	var answer struct {
		Instances []Instance `json:"instances"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return nil, targethttp.Failure(targethttp.Malformed, c.address, h, fmt.Errorf("parse list: %w", err))
	}
	return valid(answer.Instances), nil
}

func valid(all []Instance) []Instance {
	seen := make(map[string]bool, len(all))
	kept := make([]Instance, 0, len(all))
	for _, i := range all {
		if i.ID == "" || i.Address == "" || seen[i.ID] || (i.Kind != Daemon && i.Kind != Target) {
			continue
		}
		seen[i.ID] = true
		if i.State != Live {
			i.State = Leaving
		}
		kept = append(kept, i)
	}
	return kept
}
