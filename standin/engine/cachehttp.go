package engine

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/comfreylink/comfreylink/standin/engine/costs"
	"github.com/comfreylink/comfreylink/standin/engine/prefix"
	"github.com/comfreylink/comfreylink/standin/serve"
	"github.com/valyala/fasthttp"
)

// CacheEntry is the cached prefix of one program.
type CacheEntry struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Program   string `json:"program"`
	Tokens    int    `json:"tokens"`
	IdleMs    int64  `json:"idleMs"`
}

// Cache is the body of GET /v1/cache.
type Cache struct {
	Entries []CacheEntry `json:"entries"`
}

// kv is the body of a KV cache export or import.
type kv struct {
	Workspace string    `json:"workspace"`
	Program   string    `json:"program"`
	Blocks    []kvBlock `json:"blocks"`
}

// kvBlock is one message of an exported prefix.
type kvBlock struct {
	Prefix []byte `json:"prefix"`
	Tokens int    `json:"tokens"`
}

// listCache serves GET /v1/cache.
func (e *Engine) listCache(ctx *fasthttp.RequestCtx) {
	answer := Cache{Entries: []CacheEntry{}}
	now := time.Now()
	e.batch.WithCache(func(c *prefix.Cache, _ *prefix.EventLog) {
		for _, x := range c.Entries() {
			answer.Entries = append(answer.Entries, CacheEntry{
				ID: x.ID, Workspace: x.Key.Workspace, Program: x.Key.Program,
				Tokens: x.Tokens, IdleMs: now.Sub(x.LastUse).Milliseconds(),
			})
		}
	})
	serve.JSON(ctx, fasthttp.StatusOK, answer)
}

// evict serves DELETE /v1/cache/ID.
func (e *Engine) evict(ctx *fasthttp.RequestCtx, id string) {
	found := false
	e.batch.WithCache(func(c *prefix.Cache, _ *prefix.EventLog) { found = c.Remove(id) })
	if !found {
		serve.Fail(ctx, fasthttp.StatusNotFound, "no such cache entry")
		return
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// cacheEvents serves GET /v1/cache/events. It shows an event only after a delay, to simulate a lagging event stream.
func (e *Engine) cacheEvents(ctx *fasthttp.RequestCtx) {
	from, err := strconv.ParseInt(string(ctx.QueryArgs().Peek("from")), 10, 64)
	if err != nil {
		serve.Fail(ctx, fasthttp.StatusBadRequest, "from is not a number")
		return
	}
	f := e.faults.Get()
	before := time.Now().Add(-costs.EventDelay - time.Duration(f.CacheEventDelayMs)*time.Millisecond)
	var page prefix.Events
	e.batch.WithCache(func(_ *prefix.Cache, l *prefix.EventLog) { page = l.Page(from, before, f.DropCacheEvents) })
	serve.JSON(ctx, fasthttp.StatusOK, page)
}

// exportKV serves POST /v1/kv/export.
func (e *Engine) exportKV(ctx *fasthttp.RequestCtx) {
	var r struct {
		Cache string `json:"cache"`
	}
	if err := json.Unmarshal(ctx.PostBody(), &r); err != nil {
		serve.Fail(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	out := kv{Blocks: []kvBlock{}}
	tokens, found := 0, false
	e.batch.WithCache(func(c *prefix.Cache, _ *prefix.EventLog) {
		var k prefix.Key
		var blocks []prefix.Block
		k, blocks, found = c.Chain(r.Cache)
		out.Workspace, out.Program = k.Workspace, k.Program
		for _, b := range blocks {
			out.Blocks = append(out.Blocks, kvBlock{Prefix: b.Prefix[:], Tokens: b.Tokens})
			tokens += b.Tokens
		}
	})
	if !found {
		serve.Fail(ctx, fasthttp.StatusNotFound, "no such cache entry")
		return
	}
	e.simulateTransfer(tokens)
	serve.JSON(ctx, fasthttp.StatusOK, out)
}

// importKV serves POST /v1/kv/import.
func (e *Engine) importKV(ctx *fasthttp.RequestCtx) {
	var in kv
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil {
		serve.Fail(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	blocks := make([]prefix.Block, len(in.Blocks))
	tokens := 0
	for i, b := range in.Blocks {
		if len(b.Prefix) != len(prefix.Digest{}) || b.Tokens < 1 {
			serve.Fail(ctx, fasthttp.StatusBadRequest, "malformed KV cache")
			return
		}
		blocks[i] = prefix.Block{Prefix: prefix.Digest(b.Prefix), Tokens: b.Tokens}
		tokens += b.Tokens
	}
	e.simulateTransfer(tokens)
	e.batch.WithCache(func(c *prefix.Cache, _ *prefix.EventLog) {
		c.Insert(prefix.Key{Workspace: in.Workspace, Program: in.Program}, blocks, time.Now())
	})
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// simulateTransfer blocks for the time that it takes to transfer the KV cache of the given number of tokens.
func (e *Engine) simulateTransfer(tokens int) {
	serve.Pause(e.batch.Done(), e.scaled(time.Duration(tokens)*costs.TransferPerToken).Milliseconds())
}
