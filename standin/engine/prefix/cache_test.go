package prefix_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/comfreylink/comfreylink/standin/engine/prefix"
	qt "github.com/frankban/quicktest"
)

var now = time.Unix(1000, 0)

// chain returns the blocks of user messages with the given texts.
func chain(c *qt.C, texts ...string) []prefix.Block {
	raw := make([]json.RawMessage, len(texts))
	for i, t := range texts {
		raw[i] = json.RawMessage(fmt.Sprintf(`{"role":"user","content":%q}`, t))
	}
	p, err := prefix.NewPrompt("m", raw)
	c.Assert(err, qt.IsNil)
	return p.Blocks
}

func tokens(blocks []prefix.Block) (n int) {
	for _, b := range blocks {
		n += b.Tokens
	}
	return n
}

func key(program string) prefix.Key { return prefix.Key{Workspace: "akwaaba", Program: program} }

// Guards against freeing a shared prefix when one of its programs is removed and others still use it.
func TestSharedPrefixStaysUntilLastProgramIsRemoved(t *testing.T) {
	c := qt.New(t)
	cache := prefix.NewCache(1000)
	a, b := chain(c, "system", "a"), chain(c, "system", "b")
	cache.Insert(key("a"), a, now)
	cache.Insert(key("b"), b, now)
	c.Assert(cache.Used(), qt.Equals, tokens(a)+b[1].Tokens)
	c.Assert(cache.Remove(key("a").ID()), qt.IsTrue)
	c.Assert(cache.Match(a), qt.Equals, a[0].Tokens)
	c.Assert(cache.Match(b), qt.Equals, tokens(b))
	c.Assert(cache.Remove(key("b").ID()), qt.IsTrue)
	c.Assert(cache.Used(), qt.Equals, 0)
}

// Guards against evicting a recently used prefix, and against evicting a message from the middle of a chain.
func TestLeastRecentlyUsedIsEvicted(t *testing.T) {
	c := qt.New(t)
	a, b, d := chain(c, "a", "1"), chain(c, "b", "2"), chain(c, "d", "3")
	cache := prefix.NewCache(tokens(a) + tokens(b))
	cache.Insert(key("a"), a, now)
	cache.Insert(key("b"), b, now)
	cache.Match(a)
	cache.Insert(key("d"), d, now)
	c.Assert(cache.Match(a), qt.Equals, tokens(a))
	c.Assert(cache.Match(b), qt.Equals, 0)
	c.Assert(cache.Match(d), qt.Equals, tokens(d))
}

// Guards against token counts that differ from the blocks in the cache after many inserts, evictions and removals.
func TestTokenCountsMatchCache(t *testing.T) {
	c := qt.New(t)
	const capacity = 300
	cache := prefix.NewCache(capacity)
	r := rand.New(rand.NewPCG(1, 2))
	for range 3000 {
		p := key(fmt.Sprint(r.IntN(12)))
		if r.IntN(10) == 0 {
			cache.Remove(p.ID())
			continue
		}
		texts := make([]string, 1+r.IntN(8))
		for i := range texts {
			texts[i] = fmt.Sprint(r.IntN(3))
		}
		cache.Insert(p, chain(c, texts...), now)
		distinct := make(map[prefix.Digest]int)
		for _, e := range cache.Entries() {
			_, blocks, ok := cache.Chain(e.ID)
			c.Assert(ok, qt.IsTrue)
			c.Assert(e.Tokens, qt.Equals, tokens(blocks))
			for _, b := range blocks {
				distinct[b.Prefix] = b.Tokens
			}
		}
		total := 0
		for _, n := range distinct {
			total += n
		}
		c.Assert(cache.Used(), qt.Equals, total)
		c.Assert(total <= capacity, qt.IsTrue)
	}
}

// Guards against events whose token counts differ from the cache, and checks late, dropped and already read events.
func TestEventsMatchCache(t *testing.T) {
	c := qt.New(t)
	cache, log := prefix.NewCache(1000), prefix.NewEventLog()
	a := chain(c, "a")
	cache.Insert(key("a"), a, now)
	log.Record(cache, now)
	cache.Remove(key("a").ID())
	log.Record(cache, now.Add(time.Second))
	p := log.Page(0, now.Add(time.Second), 0)
	c.Assert(p.Events, qt.HasLen, 2)
	c.Assert(p.Events[0].Tokens, qt.Equals, tokens(a))
	c.Assert(p.Events[1].Tokens, qt.Equals, 0)
	c.Assert(p.Next, qt.Equals, int64(3))
	c.Assert(log.Page(0, now, 0).Events, qt.HasLen, 1)                       // the second event is not visible yet
	c.Assert(log.Page(0, now.Add(time.Second), 2).Events, qt.HasLen, 1)      // event 2 is dropped
	c.Assert(log.Page(3, now.Add(time.Second), 0).Next, qt.Equals, int64(3)) // no new events
}
