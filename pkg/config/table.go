package config

import "maps"

// shardCount bounds the cost of a change, which copies one shard. With 3,200 workspaces a shard has about 50 entries.
const shardCount = 64

// table is a sharded copy-on-write map. A change copies only one shard, and readers need no lock.
type table[V any] struct {
	shards [shardCount]map[string]V
}

func (t *table[V]) get(key string) (V, bool) {
	v, ok := t.shards[shardOf(key)][key]
	return v, ok
}

// set sets the value of a key. It must not be called on a table that readers can see.
func (t *table[V]) set(key string, v V) {
	shard := t.copyShard(key)
	shard[key] = v
}

// remove deletes a key. It must not be called on a table that readers can see.
func (t *table[V]) remove(key string) {
	if _, ok := t.get(key); ok {
		delete(t.copyShard(key), key)
	}
}

// copyShard replaces the shard of a key by a copy, which may be modified, and returns it.
func (t *table[V]) copyShard(key string) map[string]V {
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
