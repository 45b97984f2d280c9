package engine

import (
	"container/list"
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// digest identifies a prefix: a message together with all messages before it.
type digest [sha256.Size]byte

// block is one message of a prompt.
type block struct {
	prefix digest
	tokens int
}

// entryKey names the program that cached prefixes are accounted to.
type entryKey struct{ workspace, program string }

// id is the entry's name in the cache's interface.
func (k entryKey) id() string {
	sum := sha256.Sum256([]byte(k.workspace + "\x00" + k.program))
	return hex.EncodeToString(sum[:8])
}

// node is a cached message with its position in the LRU list. Every use of a node moves its ancestors further to the
// front, so that the last node of the list has no descendants.
type node struct {
	block
	depth   int // number of messages before this one
	entries map[string]*entry
	element *list.Element
}

// entry is what the cache holds for one program. Nodes of a common prefix belong to several entries.
type entry struct {
	key      entryKey
	chain    map[digest]*node
	tokens   int
	lastUse  time.Time
	reported int // tokens in the last cache event
}

// prefixCache holds prefixes up to a number of tokens and evicts the least recently used. It is not safe for concurrent
// use.
type prefixCache struct {
	capacity int
	used     int
	nodes    map[digest]*node
	lru      *list.List
	entries  map[string]*entry
	changed  map[string]*entry // entries to report in cache events
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{
		capacity: capacity,
		nodes:    make(map[digest]*node),
		lru:      list.New(),
		entries:  make(map[string]*entry),
		changed:  make(map[string]*entry),
	}
}

// match returns the number of tokens of the longest cached prefix and marks it as used.
func (c *prefixCache) match(blocks []block) (tokens int) {
	n := 0
	for n < len(blocks) && c.nodes[blocks[n].prefix] != nil {
		tokens += blocks[n].tokens
		n++
	}
	c.touch(blocks[:n])
	return tokens
}

func (c *prefixCache) touch(blocks []block) {
	for i := len(blocks) - 1; i >= 0; i-- {
		if n := c.nodes[blocks[i].prefix]; n != nil {
			c.lru.MoveToFront(n.element)
		}
	}
}

// insert adds a prefix for a program, as far as it fits into the cache alone.
func (c *prefixCache) insert(k entryKey, blocks []block, now time.Time) {
	e := c.entries[k.id()]
	if e == nil {
		e = &entry{key: k, chain: make(map[digest]*node)}
		c.entries[k.id()] = e
	}
	e.lastUse = now
	total := 0
	for i, b := range blocks {
		if total += b.tokens; total > c.capacity {
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

func (c *prefixCache) add(e *entry, b block, depth int) {
	n := c.nodes[b.prefix]
	if n == nil {
		n = &node{block: b, depth: depth, entries: make(map[string]*entry)}
		n.element = c.lru.PushFront(n)
		c.nodes[b.prefix] = n
		c.used += b.tokens
	}
	id := e.key.id()
	if n.entries[id] == nil {
		n.entries[id] = e
		e.chain[b.prefix] = n
		e.tokens += b.tokens
		c.changed[id] = e
	}
}

func (c *prefixCache) evictNode(n *node) {
	for id, e := range n.entries {
		delete(e.chain, n.prefix)
		e.tokens -= n.tokens
		c.changed[id] = e
		c.dropIfEmpty(e)
	}
	c.free(n)
}

func (c *prefixCache) free(n *node) {
	c.lru.Remove(n.element)
	delete(c.nodes, n.prefix)
	c.used -= n.tokens
}

// remove drops an entry with the nodes that belong to no other entry.
func (c *prefixCache) remove(id string) bool {
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

func (c *prefixCache) dropIfEmpty(e *entry) {
	if len(e.chain) == 0 {
		delete(c.entries, e.key.id())
	}
}
