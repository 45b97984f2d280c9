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

// Limits of the size of answers other than event streams.
const (
	maxControlBytes = 4 << 20
	// maxKVBytes limits an exported KV cache entry, because it passes through a daemon, which has 32 MB of memory for
	// control.
	maxKVBytes = 8 << 20
)

// Load is an engine's report of its own load. It lags behind the actual load.
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

// CacheEvent reports how many tokens of a program an engine caches from this event on; 0 if it removed the entry.
type CacheEvent struct {
	Number    int64           `json:"number"`
	ID        string          `json:"id"`
	Workspace ids.WorkspaceID `json:"workspace"`
	Program   ids.ProgramID   `json:"program"`
	Tokens    ids.Tokens      `json:"tokens"`
}

// CacheEventPage is a part of the sequence of cache events. A gap in the events' numbers means that events were lost.
type CacheEventPage struct {
	// Oldest is the number of the oldest event that the engine keeps.
	Oldest int64 `json:"oldest"`
	// Next is the number from which to read the next page.
	Next   int64        `json:"next"`
	Events []CacheEvent `json:"events"`
}

// Action is what an order asks an engine to do.
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

// Order instructs an engine to load or unload something, to change its role or to drain. Engines that check fencing
// numbers refuse, with status 409, an order whose number is below the highest that they have seen.
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

// CacheEvents returns the cache events from number from on. It does not wait for new ones.
func (c *Client) CacheEvents(ctx context.Context, address string, from int64) (p CacheEventPage, err error) {
	defer func() { err = oops.In("engine").With("address", address).Wrapf(err, "cache events") }()
	err = c.exchange(ctx, address, get("/v1/cache/events?from="+strconv.FormatInt(from, 10)), &p)
	return p, err
}

// Cache returns the prefixes that the engine caches.
func (c *Client) Cache(ctx context.Context, address string) (l []CacheEntry, err error) {
	defer func() { err = oops.In("engine").With("address", address).Wrapf(err, "list cache") }()
	var answer struct {
		Entries []CacheEntry `json:"entries"`
	}
	err = c.exchange(ctx, address, get("/v1/cache"), &answer)
	return answer.Entries, err
}

// Evict removes the cached prefix with the given id. It returns nil if the engine does not hold it.
func (c *Client) Evict(ctx context.Context, address, id string) (err error) {
	defer func() { err = oops.In("engine").With("address", address).Wrapf(err, "evict") }()
	q := targethttp.Request{Method: fasthttp.MethodDelete, Path: "/v1/cache/" + url.PathEscape(id)}
	return c.exchange(ctx, address, q, nil, fasthttp.StatusNotFound)
}

// ExportKV returns the KV cache of a cache entry in the engine's own encoding.
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

// ImportKV loads into an engine a KV cache entry that another engine of the same model exported.
func (c *Client) ImportKV(ctx context.Context, address string, kv []byte) (err error) {
	defer func() { err = oops.In("engine").With("address", address).Wrapf(err, "import KV cache") }()
	q := targethttp.Request{Method: fasthttp.MethodPost, Path: "/v1/kv/import", ContentType: "application/json", Body: kv}
	return c.exchange(ctx, address, q, nil)
}

// Order sends an order to an engine.
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

// exchange sends a request and decodes the answer into out unless that is nil. Besides 200 and 204 it accepts the statuses
// accepted, whose answers it does not decode.
func (c *Client) exchange(ctx context.Context, address string, q targethttp.Request, out any, accepted ...int) error {
	h, body, err := c.http.Bytes(ctx, address, q, maxControlBytes)
	if err != nil {
		return err
	}
	switch {
	case slices.Contains(accepted, h.Status):
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
