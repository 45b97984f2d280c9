// Package prefix models the prefix cache of an engine. It splits prompts into chains of messages, caches the chains with LRU
// eviction, and records changes of the cache as numbered events.
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

// Key identifies the program that a cache entry belongs to.
type Key struct{ Workspace, Program string }

// ID returns the id of the program's cache entry in the engine's HTTP interface.
func (k Key) ID() string {
	sum := sha256.Sum256([]byte(k.Workspace + "\x00" + k.Program))
	return hex.EncodeToString(sum[:8])
}

// node is a cached message. Using a node moves its ancestors in front of it in the LRU list, so the last node of the list
// never has descendants.
type node struct {
	Block
	depth   int // number of messages before this one
	entries map[string]*entry
	element *list.Element
}

// entry lists the cached messages of one program. The nodes of a shared prefix belong to several entries.
type entry struct {
	key      Key
	chain    map[Digest]*node
	tokens   int // sum over chain
	lastUse  time.Time
	reported int // tokens in the last cache event
}

// Cache holds prefixes up to a total number of tokens and evicts the least recently used. It is not safe for concurrent
// use.
type Cache struct {
	capacity int
	used     int
	nodes    map[Digest]*node
	lru      *list.List
	entries  map[string]*entry
	changed  map[string]*entry // entries changed since the last EventLog.Record
}

// NewCache returns an empty cache that holds up to capacity tokens.
func NewCache(capacity int) *Cache {
	return &Cache{
		capacity: capacity,
		nodes:    make(map[Digest]*node),
		lru:      list.New(),
		entries:  make(map[string]*entry),
		changed:  make(map[string]*entry),
	}
}

// Match returns the number of tokens in the longest cached prefix of blocks and marks that prefix as used.
func (c *Cache) Match(blocks []Block) (tokens int) {
	n := 0
	for n < len(blocks) && c.nodes[blocks[n].Prefix] != nil {
		tokens += blocks[n].Tokens
		n++
	}
	c.touch(blocks[:n])
	return tokens
}

// touch marks the blocks as used. It goes from the last block to the first, which leaves ancestors in front of their
// descendants in the LRU list.
func (c *Cache) touch(blocks []Block) {
	for i := len(blocks) - 1; i >= 0; i-- {
		if n := c.nodes[blocks[i].Prefix]; n != nil {
			c.lru.MoveToFront(n.element)
		}
	}
}

// Insert adds a prefix to a program's entry and evicts others if the cache is full. Blocks from the first one that exceeds
// the capacity of the whole cache are left out.
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
		c.addBlock(e, b, i)
	}
	c.touch(blocks)
	for c.used > c.capacity {
		c.evictNode(c.lru.Back().Value.(*node))
	}
	c.dropIfEmpty(e)
}

// addBlock adds a block to the cache and to the entry, unless it is there already.
func (c *Cache) addBlock(e *entry, b Block, depth int) {
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

// evictNode removes a node from the cache and from its entries.
func (c *Cache) evictNode(n *node) {
	for id, e := range n.entries {
		delete(e.chain, n.Prefix)
		e.tokens -= n.Tokens
		c.changed[id] = e
		c.dropIfEmpty(e)
	}
	c.freeNode(n)
}

// freeNode removes a node from the cache but not from its entries.
func (c *Cache) freeNode(n *node) {
	c.lru.Remove(n.element)
	delete(c.nodes, n.Prefix)
	c.used -= n.Tokens
}

// Remove deletes an entry and the nodes that belong to no other entry. It reports whether the entry existed.
func (c *Cache) Remove(id string) bool {
	e := c.entries[id]
	if e == nil {
		return false
	}
	for _, n := range e.chain {
		if delete(n.entries, id); len(n.entries) == 0 {
			c.freeNode(n)
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

// Free returns the number of tokens that can be added without eviction.
func (c *Cache) Free() int { return c.capacity - c.used }

// Entry describes the cached prefix of one program.
type Entry struct {
	ID      string
	Key     Key
	Tokens  int
	LastUse time.Time
}

// Entries returns all entries sorted by id.
func (c *Cache) Entries() []Entry {
	all := make([]Entry, 0, len(c.entries))
	for id, e := range c.entries {
		all = append(all, Entry{ID: id, Key: e.key, Tokens: e.tokens, LastUse: e.lastUse})
	}
	slices.SortFunc(all, func(a, b Entry) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// Chain returns the key of an entry and its messages from first to last. It reports whether the entry exists.
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
