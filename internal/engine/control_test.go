package engine_test

import (
	"testing"
	"time"

	"github.com/comfreylink/comfreylink/internal/engine"
	"github.com/comfreylink/comfreylink/internal/targethttp"
	"github.com/comfreylink/comfreylink/pkg/ids"
	standin "github.com/comfreylink/comfreylink/standin/engine"
	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

// Guards against cached prefixes of ended programs that cannot be listed or evicted (R4), and against missing cache events,
// without which an index of the caches is incomplete.
func TestCacheIsListedReportedAndEvicted(t *testing.T) {
	c := qt.New(t)
	_, address, client := start(c, standin.Options{})
	ctx := within(c, 10*time.Second)
	a, err := client.Chat(ctx, address, request("a", "one"), nil)
	c.Assert(err, qt.IsNil)

	entries, err := client.Cache(ctx, address)
	c.Assert(err, qt.IsNil)
	c.Assert(entries, qt.HasLen, 1)
	c.Assert(string(entries[0].Program), qt.Equals, "p/1")
	c.Assert(entries[0].Tokens > a.Usage.Prompt, qt.IsTrue)

	kv, err := client.ExportKV(ctx, address, entries[0].ID)
	c.Assert(err, qt.IsNil)
	c.Assert(client.Evict(ctx, address, entries[0].ID), qt.IsNil)
	c.Assert(client.Evict(ctx, address, entries[0].ID), qt.IsNil)
	c.Assert(client.ImportKV(ctx, address, kv), qt.IsNil)
	again, err := client.Chat(ctx, address, request("b", "one", text(c, a.Message), "two"), nil)
	c.Assert(err, qt.IsNil)
	c.Assert(again.Usage.Cached, qt.Equals, entries[0].Tokens)

	page := engine.CacheEventPage{}
	for len(page.Events) < 4 {
		page, err = client.CacheEvents(ctx, address, 0)
		c.Assert(err, qt.IsNil)
		time.Sleep(10 * time.Millisecond)
	}
	c.Assert(page.Events[0].ID, qt.Equals, entries[0].ID)
	c.Assert(page.Next > page.Events[len(page.Events)-1].Number, qt.IsTrue)
}

// Guards against fields of the load report that are not decoded.
func TestLoadReportsLeaving(t *testing.T) {
	c := qt.New(t)
	e, address, client := start(c, standin.Options{CacheTokens: 1000})
	ctx := within(c, 10*time.Second)
	l, err := client.Load(ctx, address)
	c.Assert(err, qt.IsNil)
	c.Assert(l, qt.Equals, engine.Load{CacheFree: 1000})
	e.Drain()
	for !l.Leaving {
		l, err = client.Load(ctx, address)
		c.Assert(err, qt.IsNil)
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against an order with an old fencing number that takes effect after one with a newer number.
func TestOrderWithOldFence(t *testing.T) {
	c := qt.New(t)
	ctx := within(c, 10*time.Second)
	order := func(client *engine.Client, address string, fence ids.Offset) error {
		return client.Order(ctx, address, engine.Order{Fence: fence, Action: engine.SetRole, Model: "prefill"})
	}
	_, checking, client := start(c, standin.Options{})
	c.Assert(order(client, checking, 5), qt.IsNil)
	err := order(client, checking, 4)
	c.Assert(failure(c, err, targethttp.BadStatus).Status, qt.Equals, fasthttp.StatusConflict)

	_, ignoring, client := start(c, standin.Options{IgnoreFencing: true})
	c.Assert(order(client, ignoring, 5), qt.IsNil)
	c.Assert(order(client, ignoring, 4), qt.IsNil)
}
