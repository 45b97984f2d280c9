// Package instancelist is a client of the platform's list of live and leaving instances. The list may be out of date: it
// may contain an instance that no longer exists, and lack a new one.
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

// maxListBytes bounds the size of the list. It is enough for 5,000 instances of 200 bytes, five times the largest fleet
// in the design.
const maxListBytes = 1 << 20

// Kind is the kind of an instance: a daemon or a target.
type Kind string

// Kinds of instances.
const (
	Daemon Kind = "daemon"
	Target Kind = "target"
)

// State says whether an instance accepts new work.
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

// Client requests the list. It is safe for concurrent use.
type Client struct {
	address string
	http    *targethttp.Client
}

// New returns a client of the list at an IP address and port. The cleanup closes its idle connections.
func New(address string) (c *Client, cleanup func(), err error) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return nil, nil, oops.In("instancelist").Wrapf(err, "address of the instance list")
	}
	h, cleanup := targethttp.New()
	return &Client{address: address, http: h}, cleanup, nil
}

// List returns the instances. It omits entries without an id or address, entries of an unknown kind, and all but the
// first entry with the same id. It returns an unknown state as Leaving, because new work must not go to an instance that
// may be leaving.
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

// valid returns the valid entries of a list, as described at List.
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
