// Package prefix models the prefix cache of an engine: prompts as chains of messages, the cached chains with eviction
// of the least recently used, and numbered events about them.
package prefix

import (
	"container/list"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"strings"
	"time"
)

// Digest identifies a prefix: a message together with all messages before it.
type Digest [sha256.Size]byte

// Block is one message of a prompt.
type Block struct {
	Prefix Digest
	Tokens int
}

// Key names the program that cached prefixes are accounted to.
type Key struct{ Workspace, Program string }

// ID is the entry's name in the cache's interface.
func (k Key) ID() string {
	sum := sha256.Sum256([]byte(k.Workspace + "\x00" + k.Program))
	return hex.EncodeToString(sum[:8])
}

// node is a cached message with its position in the LRU list. Every use of a node moves its ancestors further to the
// front, so that the last node of the list has no descendants.
type node struct {
	Block
	depth   int // number of messages before this one
	entries map[string]*entry
	element *list.Element
}

// entry is what the cache holds for one program. Nodes of a common prefix belong to several entries.
type entry struct {
	key      Key
	chain    map[Digest]*node
	tokens   int
	lastUse  time.Time
	reported int // tokens in the last cache event
}

// Cache holds prefixes up to a number of tokens and evicts the least recently used. It is not safe for concurrent
// use.
type Cache struct {
	capacity int
	used     int
	nodes    map[Digest]*node
	lru      *list.List
	entries  map[string]*entry
	changed  map[string]*entry // entries to report in cache events
}

// NewCache returns an empty cache for a number of tokens.
func NewCache(capacity int) *Cache {
	return &Cache{
		capacity: capacity,
		nodes:    make(map[Digest]*node),
		lru:      list.New(),
		entries:  make(map[string]*entry),
		changed:  make(map[string]*entry),
	}
}

// Match returns the number of tokens of the longest cached prefix and marks it as used.
func (c *Cache) Match(blocks []Block) (tokens int) {
	n := 0
	for n < len(blocks) && c.nodes[blocks[n].Prefix] != nil {
		tokens += blocks[n].Tokens
		n++
	}
	c.touch(blocks[:n])
	return tokens
}

func (c *Cache) touch(blocks []Block) {
	for i := len(blocks) - 1; i >= 0; i-- {
		if n := c.nodes[blocks[i].Prefix]; n != nil {
			c.lru.MoveToFront(n.element)
		}
	}
}

// Insert adds a prefix for a program, as far as it fits into the cache alone.
func (c *Cache) Insert(k Key, blocks []Block, now time.Time) {
	e := c.entries[k.ID()]
	if e == nil {
		e = &entry{key: k, chain: make(map[Digest]*node)}
		c.entries[k.ID()] = e
	}
	e.lastUse = now
	total := 0
	for i, b := range blocks {
		if total += b.Tokens; total > c.capacity {
			blocks = blocks[:i]
			break
		}
		c.add(e, b, i)
	}
	c.touch(blocks)
	for c.used > c.capacity {
		c.evictNode(c.lru.Back().Value.(*node))
	}
	c.dropIfEmpty(e)
}

func (c *Cache) add(e *entry, b Block, depth int) {
	n := c.nodes[b.Prefix]
	if n == nil {
		n = &node{Block: b, depth: depth, entries: make(map[string]*entry)}
		n.element = c.lru.PushFront(n)
		c.nodes[b.Prefix] = n
		c.used += b.Tokens
	}
	id := e.key.ID()
	if n.entries[id] == nil {
		n.entries[id] = e
		e.chain[b.Prefix] = n
		e.tokens += b.Tokens
		c.changed[id] = e
	}
}

func (c *Cache) evictNode(n *node) {
	for id, e := range n.entries {
		delete(e.chain, n.Prefix)
		e.tokens -= n.Tokens
		c.changed[id] = e
		c.dropIfEmpty(e)
	}
	c.free(n)
}

func (c *Cache) free(n *node) {
	c.lru.Remove(n.element)
	delete(c.nodes, n.Prefix)
	c.used -= n.Tokens
}

// Remove drops an entry with the nodes that belong to no other entry.
func (c *Cache) Remove(id string) bool {
	e := c.entries[id]
	if e == nil {
		return false
	}
	for _, n := range e.chain {
		if delete(n.entries, id); len(n.entries) == 0 {
			c.free(n)
		}
	}
	e.tokens = 0
	c.changed[id] = e
	delete(c.entries, id)
	return true
}

func (c *Cache) dropIfEmpty(e *entry) {
	if len(e.chain) == 0 {
		delete(c.entries, e.key.ID())
	}
}

// Used returns the number of cached tokens.
func (c *Cache) Used() int { return c.used }

// Free returns the number of tokens that fit in without eviction.
func (c *Cache) Free() int { return c.capacity - c.used }

// Entry is what the cache holds for one program.
type Entry struct {
	ID      string
	Key     Key
	Tokens  int
	LastUse time.Time
}

// Entries returns all entries in the order of their ids.
func (c *Cache) Entries() []Entry {
	all := make([]Entry, 0, len(c.entries))
	for id, e := range c.entries {
		all = append(all, Entry{ID: id, Key: e.key, Tokens: e.tokens, LastUse: e.lastUse})
	}
	slices.SortFunc(all, func(a, b Entry) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// Chain returns the key and the messages of an entry, first to last.
func (c *Cache) Chain(id string) (k Key, blocks []Block, ok bool) {
	e := c.entries[id]
	if e == nil {
		return Key{}, nil, false
	}
	nodes := slices.SortedFunc(maps.Values(e.chain), func(a, b *node) int { return a.depth - b.depth })
	for _, n := range nodes {
		blocks = append(blocks, n.Block)
	}
	return e.key, blocks, true
}
