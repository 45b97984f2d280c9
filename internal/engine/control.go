package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
	"strconv"

	"github.com/comfreylink/comfreylink/internal/targethttp"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/samber/oops"
	"github.com/valyala/fasthttp"
)

// Limits of the answers that are no streams.
const (
	maxControlBytes = 4 << 20
	// maxKVBytes limits an exported KV cache entry that passes through a daemon, whose control memory is 32 MB.
	maxKVBytes = 8 << 20
)

// Load is an engine's report about itself; it lags.
type Load struct {
	Running   int        `json:"running"`
	Waiting   int        `json:"waiting"`
	CacheUsed ids.Tokens `json:"cacheTokensUsed"`
	CacheFree ids.Tokens `json:"cacheTokensFree"`
	Leaving   bool       `json:"leaving"`
}

// CacheEntry is the cached prefix of one program.
type CacheEntry struct {
	ID        string          `json:"id"`
	Workspace ids.WorkspaceID `json:"workspace"`
	Program   ids.ProgramID   `json:"program"`
	Tokens    ids.Tokens      `json:"tokens"`
	// IdleMs is the time since the entry's last use in milliseconds.
	IdleMs int64 `json:"idleMs"`
}

// CacheEvent says how many tokens of a program an engine holds since the event; 0 after its removal.
type CacheEvent struct {
	Number    int64           `json:"number"`
	ID        string          `json:"id"`
	Workspace ids.WorkspaceID `json:"workspace"`
	Program   ids.ProgramID   `json:"program"`
	Tokens    ids.Tokens      `json:"tokens"`
}

// CacheEventPage is a part of the event sequence. Events can be missing: number is then not the one before plus one.
type CacheEventPage struct {
	// Oldest is the number of the oldest event that the engine keeps.
	Oldest int64 `json:"oldest"`
	// Next is the number to read from next.
	Next   int64        `json:"next"`
	Events []CacheEvent `json:"events"`
}

// Action names what an order asks for.
type Action string

// Actions of orders.
const (
	LoadModel   Action = "loadModel"
	UnloadModel Action = "unloadModel"
	LoadAdapter Action = "loadAdapter"
	LoadVersion Action = "loadVersion"
	SetRole     Action = "setRole"
	Drain       Action = "drain"
)

// Order tells an engine to load something or to change its role. Engines that check fencing numbers refuse one below
// the highest that they have seen, with status 409.
type Order struct {
	Fence  ids.Offset `json:"fence"`
	Action Action     `json:"action"`
	// Model is the model, adapter, version or role that the action is about.
	Model string `json:"model"`
}

// Load returns the engine's load report.
func (c *Client) Load(ctx context.Context, address string) (l Load, err error) {
	defer func() { err = oops.In("engine").With("address", address).Wrapf(err, "load report") }()
	err = c.exchange(ctx, address, get("/v1/load"), &l)
	return l, err
}

// CacheEvents returns the events from a number on, without waiting for new ones.
func (c *Client) CacheEvents(ctx context.Context, address string, from int64) (p CacheEventPage, err error) {
	defer func() { err = oops.In("engine").With("address", address).Wrapf(err, "cache events") }()
	err = c.exchange(ctx, address, get("/v1/cache/events?from="+strconv.FormatInt(from, 10)), &p)
	return p, err
}

// Cache returns the cached prefixes.
func (c *Client) Cache(ctx context.Context, address string) (l []CacheEntry, err error) {
	defer func() { err = oops.In("engine").With("address", address).Wrapf(err, "list cache") }()
	var answer struct {
		Entries []CacheEntry `json:"entries"`
	}
	err = c.exchange(ctx, address, get("/v1/cache"), &answer)
	return answer.Entries, err
}

// Evict removes a cached prefix. An entry that the engine does not hold is no error.
func (c *Client) Evict(ctx context.Context, address, id string) (err error) {
	defer func() { err = oops.In("engine").With("address", address).Wrapf(err, "evict") }()
	q := targethttp.Request{Method: fasthttp.MethodDelete, Path: "/v1/cache/" + url.PathEscape(id)}
	return c.exchange(ctx, address, q, nil, fasthttp.StatusNotFound)
}

// ExportKV returns the KV cache of an entry in the engine's own encoding.
func (c *Client) ExportKV(ctx context.Context, address, id string) (kv []byte, err error) {
	defer func() { err = oops.In("engine").With("address", address).Wrapf(err, "export KV cache") }()
	q, err := post("/v1/kv/export", struct {
		Cache string `json:"cache"`
	}{id})
	if err != nil {
		return nil, err
	}
	h, kv, err := c.http.Bytes(ctx, address, q, maxKVBytes)
	if err != nil {
		return nil, err
	}
	if h.Status != fasthttp.StatusOK {
		return nil, targethttp.Refusal(address, h, kv)
	}
	return kv, nil
}

// ImportKV gives an engine the KV cache that another of the same model exported.
func (c *Client) ImportKV(ctx context.Context, address string, kv []byte) (err error) {
	defer func() { err = oops.In("engine").With("address", address).Wrapf(err, "import KV cache") }()
	q := targethttp.Request{Method: fasthttp.MethodPost, Path: "/v1/kv/import", ContentType: "application/json", Body: kv}
	return c.exchange(ctx, address, q, nil)
}

// Order sends an order.
func (c *Client) Order(ctx context.Context, address string, o Order) (err error) {
	defer func() { err = oops.In("engine").With("address", address).Wrapf(err, "order") }()
	q, err := post("/v1/orders", o)
	if err != nil {
		return err
	}
	return c.exchange(ctx, address, q, nil)
}

func get(path string) targethttp.Request {
	return targethttp.Request{Method: fasthttp.MethodGet, Path: path}
}

func post(path string, v any) (q targethttp.Request, err error) {
	body, err := json.Marshal(v)
	return targethttp.Request{Method: fasthttp.MethodPost, Path: path, ContentType: "application/json", Body: body}, err
}

// exchange parses the answer into out, if that is not nil, and takes the statuses of also as success.
func (c *Client) exchange(ctx context.Context, address string, q targethttp.Request, out any, also ...int) error {
	h, body, err := c.http.Bytes(ctx, address, q, maxControlBytes)
	if err != nil {
		return err
	}
	switch {
	case slices.Contains(also, h.Status):
		return nil
	case h.Status != fasthttp.StatusOK && h.Status != fasthttp.StatusNoContent:
		return targethttp.Refusal(address, h, body)
	case out == nil:
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return targethttp.Failure(targethttp.Malformed, address, h, fmt.Errorf("parse answer: %w", err))
	}
	return nil
}
