package engine

import (
	"encoding/json"
	"maps"
	"slices"
	"sort"
	"strconv"
	"time"

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

// kv is an exported KV cache entry.
type kv struct {
	Workspace string    `json:"workspace"`
	Program   string    `json:"program"`
	Blocks    []kvBlock `json:"blocks"`
}

type kvBlock struct {
	Prefix []byte `json:"prefix"`
	Tokens int    `json:"tokens"`
}

func (e *Engine) listCache(ctx *fasthttp.RequestCtx) {
	answer := Cache{Entries: []CacheEntry{}}
	now := time.Now()
	e.batch.withCache(func(c *prefixCache) {
		for id, x := range c.entries {
			answer.Entries = append(answer.Entries, CacheEntry{
				ID: id, Workspace: x.key.workspace, Program: x.key.program,
				Tokens: x.tokens, IdleMs: now.Sub(x.lastUse).Milliseconds(),
			})
		}
	})
	sort.Slice(answer.Entries, func(i, j int) bool { return answer.Entries[i].ID < answer.Entries[j].ID })
	serve.JSON(ctx, fasthttp.StatusOK, answer)
}

func (e *Engine) evict(ctx *fasthttp.RequestCtx, id string) {
	found := false
	e.batch.withCache(func(c *prefixCache) { found = c.remove(id) })
	if !found {
		serve.Fail(ctx, fasthttp.StatusNotFound, "no such cache entry")
		return
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

func (e *Engine) cacheEvents(ctx *fasthttp.RequestCtx) {
	from, err := strconv.ParseInt(string(ctx.QueryArgs().Peek("from")), 10, 64)
	if err != nil {
		serve.Fail(ctx, fasthttp.StatusBadRequest, "from is not a number")
		return
	}
	f := e.faults.Get()
	before := time.Now().Add(-eventDelay - time.Duration(f.CacheEventDelayMs)*time.Millisecond)
	var page CacheEvents
	e.batch.withCache(func(*prefixCache) { page = e.batch.log.page(from, before, f.DropCacheEvents) })
	serve.JSON(ctx, fasthttp.StatusOK, page)
}

func (e *Engine) exportKV(ctx *fasthttp.RequestCtx) {
	var r struct {
		Cache string `json:"cache"`
	}
	if err := json.Unmarshal(ctx.PostBody(), &r); err != nil {
		serve.Fail(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	var out *kv
	tokens := 0
	e.batch.withCache(func(c *prefixCache) {
		if x := c.entries[r.Cache]; x != nil {
			out, tokens = export(x), x.tokens
		}
	})
	if out == nil {
		serve.Fail(ctx, fasthttp.StatusNotFound, "no such cache entry")
		return
	}
	e.transfer(tokens)
	serve.JSON(ctx, fasthttp.StatusOK, out)
}

func export(x *entry) *kv {
	out := &kv{Workspace: x.key.workspace, Program: x.key.program, Blocks: []kvBlock{}}
	nodes := slices.Collect(maps.Values(x.chain))
	slices.SortFunc(nodes, func(a, b *node) int { return a.depth - b.depth })
	for _, n := range nodes {
		out.Blocks = append(out.Blocks, kvBlock{Prefix: n.prefix[:], Tokens: n.tokens})
	}
	return out
}

func (e *Engine) importKV(ctx *fasthttp.RequestCtx) {
	var in kv
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil {
		serve.Fail(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	blocks := make([]block, len(in.Blocks))
	tokens := 0
	for i, b := range in.Blocks {
		if len(b.Prefix) != len(digest{}) || b.Tokens < 1 {
			serve.Fail(ctx, fasthttp.StatusBadRequest, "malformed KV cache")
			return
		}
		blocks[i] = block{prefix: digest(b.Prefix), tokens: b.Tokens}
		tokens += b.Tokens
	}
	e.transfer(tokens)
	e.batch.withCache(func(c *prefixCache) {
		c.insert(entryKey{workspace: in.Workspace, program: in.Program}, blocks, time.Now())
	})
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// transfer takes the time of moving the KV cache of a number of tokens.
func (e *Engine) transfer(tokens int) {
	serve.Pause(e.batch.done, e.scaled(time.Duration(tokens)*transferPerToken).Milliseconds())
}
