package program_test

import (
	"bytes"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/program"
	"github.com/comfreylink/comfreylink/pkg/turn"
)

const owners = 3

// schedule runs random steps of three owners. The start steps bring requests; the others are
// common to all tests.
func schedule(t *rapid.T, start ...func(*rapid.T, *owner)) *world {
	w := newWorld(owners)
	w.owners[0].takeOver()
	w.owners[0].sync(t)
	// The owner that was the last to take over gets half of the steps, so that requests come to an end.
	some := func(t *rapid.T) *owner {
		if rapid.Bool().Draw(t, "any") {
			return w.owners[uniform(t, "owner", owners)]
		}
		return slices.MaxFunc(w.owners, func(a, b *owner) int { return int(a.epoch - b.epoch) })
	}
	common := []func(*rapid.T, *owner){
		func(t *rapid.T, o *owner) { o.advance(t) },
		func(t *rapid.T, o *owner) { o.advance(t) },
		func(t *rapid.T, o *owner) { o.advance(t) },
		func(t *rapid.T, o *owner) { o.advance(t) },
		func(t *rapid.T, o *owner) { o.hurry(t) },
		func(t *rapid.T, o *owner) { o.hurry(t) },
		func(t *rapid.T, o *owner) { o.sync(t) },
		func(t *rapid.T, o *owner) { o.land() },
		func(t *rapid.T, o *owner) { o.fold(t) },
		func(t *rapid.T, _ *owner) { w.arrive(t) },
		func(t *rapid.T, _ *owner) { w.change(t) },
	}
	steps := slices.Concat(common, start, start)
	t.Repeat(map[string]func(*rapid.T){"step": func(t *rapid.T) {
		steps[uniform(t, "step", len(steps))](t, some(t))
	}})
	return w
}

// hurry takes several steps of an owner without another one in between.
func (o *owner) hurry(t *rapid.T) {
	for range uniform(t, "steps", 8) {
		o.sync(t)
		o.advance(t)
		o.world.arrive(t)
	}
}

// seldom leaves out most of the times that a step is chosen.
func seldom(step func(*rapid.T, *owner)) func(*rapid.T, *owner) {
	return func(t *rapid.T, o *owner) {
		if uniform(t, "seldom", 8) == 7 {
			step(t, o)
		}
	}
}

// change lets an owner take over or crash, in a quarter of the cases.
func (w *world) change(t *rapid.T) {
	i := uniform(t, "change", 8*owners)
	switch {
	case i < owners:
		w.owners[i].takeOver()
		if rapid.Bool().Draw(t, "open") {
			w.owners[i].sync(t)
		}
	case i < 2*owners:
		w.crash(t, i-owners)
	}
}

// Guards against a request that runs twice (R9), or runs after its caller was told that it did not (R8). The checks are
// in world.arrive and owner.finish.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		schedule(t, func(t *rapid.T, o *owner) { o.execute(t) })
	})
}

// Guards against spending above the budget when owners crash or overlap (R3). The check is in world.arrive.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		schedule(t,
			func(t *rapid.T, o *owner) { o.converse(t) },
			seldom(func(_ *rapid.T, o *owner) { o.settle() }),
			seldom(func(_ *rapid.T, o *owner) { o.forget() }),
		)
	})
}

// settle is what an owner does before a planned hand-over, for the budgets without calls in progress.
func (o *owner) settle() {
	for _, root := range slices.Sorted(maps.Keys(o.ledgers)) {
		if spent, ok := o.ledgers[root].Close(); ok && o.serves() {
			o.append(settlement(o.epoch, root, spent))
		}
	}
}

// forget drops the ledgers without calls in progress, as an owner does that keeps few in memory.
func (o *owner) forget() {
	maps.DeleteFunc(o.ledgers, func(root ids.ProgramID, _ *turn.Ledger) bool {
		return o.running(func(r *request) bool { return r.call != nil && r.program.Root() == root }) == nil
	})
}

// Guards against lost, reordered or mixed turns (R2), and against readers that disagree.
func TestHistoryIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := schedule(t,
			func(t *rapid.T, o *owner) { o.converse(t) },
			func(t *rapid.T, o *owner) { o.execute(t) },
			seldom(func(t *rapid.T, o *owner) { o.restore(t) }),
		)
		reader := w.newOwner(owners)
		reader.sync(t)
		w.checkHistories(t, reader.slot)
		want, err := reader.slot.Snapshot()
		noError(t, err)
		for _, o := range w.owners {
			o.queue = nil
			o.sync(t)
			got, err := o.slot.Snapshot()
			noError(t, err)
			if !bytes.Equal(got, want) {
				t.Fatalf("R2: %s folded\n%s\nanother reader\n%s", o.id, got, want)
			}
		}
	})
}

// restore replaces the owner's state by its own snapshot.
func (o *owner) restore(t *rapid.T) {
	data, err := o.slot.Snapshot()
	noError(t, err)
	o.slot = program.New(program.Options{})
	noError(t, o.slot.Restore(data))
}

func (w *world) checkHistories(t *rapid.T, s *program.Slot) {
	folded := make(map[ids.ProgramID][]string)
	for _, p := range []ids.ProgramID{"a", "a/x", "a/y", "b"} {
		state, _ := s.Program(workspace, p)
		folded[p] = markers(t, state.Messages)
		for _, m := range folded[p] {
			if !strings.HasPrefix(m, string(p)+":") {
				t.Fatalf("R2: history of %s contains %s", p, m)
			}
		}
	}
	for _, c := range w.confirmed {
		got := folded[c.program]
		if len(got) < len(c.turns) || !slices.Equal(got[:len(c.turns)], c.turns) {
			t.Fatalf("R2: confirmed history %v of %s, folded %v", c.turns, c.program, got)
		}
	}
}
