package batch

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/comfreylink/comfreylink/standin/engine/costs"
	"github.com/comfreylink/comfreylink/standin/engine/prefix"
	qt "github.com/frankban/quicktest"
)

func generation(c *qt.C, id string, promptTokens, limit int) *Generation {
	m := fmt.Sprintf(`{"role":"user","content":%q}`, id+strings.Repeat("x", promptTokens*costs.BytesPerToken))
	p, err := prefix.NewPrompt("m", []json.RawMessage{json.RawMessage(m)})
	c.Assert(err, qt.IsNil)
	return NewGeneration(id, "m", p, limit, prefix.Key{Program: id}, time.Time{})
}

// Guards against an engine whose steps cost the same whatever it runs, which would make every placement equally good.
func TestStepsCostPrefillAndBatch(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := idle(2, 1_000_000, 1, func() string { return "" })
	step := func() time.Duration {
		d, busy := b.plan(now)
		c.Assert(busy, qt.IsTrue)
		b.complete(now)
		return d
	}
	chunk := costs.DecodeBase + costs.PrefillChunk*costs.PrefillPerToken
	decode := func(n int) time.Duration { return costs.DecodeBase + time.Duration(n)*costs.DecodePerSequence }

	b.Add(generation(c, "a", 1500, 3))
	c.Assert(step(), qt.Equals, chunk)
	c.Assert(step() < chunk, qt.IsTrue) // the rest of the prompt, which yields the first token
	c.Assert(step(), qt.Equals, decode(1))

	b.Add(generation(c, "b", 10, 9))
	b.Add(generation(c, "c", 10, 9))
	c.Assert(step() > decode(1), qt.IsTrue) // a's last token together with b's prefill; c waits for a slot
	running, waiting := b.Counts()
	c.Assert([]int{running, waiting}, qt.DeepEquals, []int{2, 1})
	step()
	c.Assert(step(), qt.Equals, decode(2))

	repeated := generation(c, "a", 1500, 1) // its prompt is cached
	b.Add(repeated)
	for !repeated.over() {
		c.Assert(step() < chunk, qt.IsTrue)
	}
	c.Assert(repeated.Record().CachedTokens, qt.Equals, repeated.Record().PromptTokens)
}

// Guards against a cancelled answer that keeps its slot.
func TestCancelFreesSlot(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := idle(1, 1_000_000, 1, func() string { return "" })
	a, next := generation(c, "a", 10, 1000), generation(c, "b", 10, 1000)
	b.Add(a)
	b.Add(next)
	b.plan(now)
	b.complete(now)
	a.Cancel(now)
	b.plan(now)
	b.complete(now)
	events, _, _ := next.Read(0)
	c.Assert(events, qt.HasLen, 1)
}
