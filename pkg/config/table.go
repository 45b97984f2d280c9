package config

import "maps"

// shardCount bounds the copying that one change causes: with 3,200 workspaces a shard has about 50 entries.
const shardCount = 64

// table is a map that is copied on write, one shard at a time, so that a change is cheap and readers need no lock.
type table[V any] struct {
	shards [shardCount]map[string]V
}

func (t *table[V]) get(key string) (V, bool) {
	v, ok := t.shards[shardOf(key)][key]
	return v, ok
}

// set must not be called on a table that readers can see.
func (t *table[V]) set(key string, v V) {
	shard := t.own(key)
	shard[key] = v
}

// remove must not be called on a table that readers can see.
func (t *table[V]) remove(key string) {
	if _, ok := t.get(key); ok {
		delete(t.own(key), key)
	}
}

func (t *table[V]) own(key string) map[string]V {
	shard := maps.Clone(t.shards[shardOf(key)])
	if shard == nil {
		shard = map[string]V{}
	}
	t.shards[shardOf(key)] = shard
	return shard
}

// all yields every entry in no particular order.
func (t *table[V]) all(yield func(string, V) bool) {
	for _, shard := range t.shards {
		for k, v := range shard {
			if !yield(k, v) {
				return
			}
		}
	}
}
