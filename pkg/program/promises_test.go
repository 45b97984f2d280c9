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

// schedule runs random steps of three owners. The start steps start requests; the other steps are the same for all tests.
func schedule(t *rapid.T, start ...func(*rapid.T, *owner)) *world {
	w := newWorld(owners)
	w.owners[0].takeOver()
	w.owners[0].sync(t)
	// Half of the steps go to the owner with the latest epoch, so that requests finish.
	pickOwner := func(t *rapid.T) *owner {
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
		func(t *rapid.T, o *owner) { o.runSteps(t) },
		func(t *rapid.T, o *owner) { o.runSteps(t) },
		func(t *rapid.T, o *owner) { o.sync(t) },
		func(t *rapid.T, o *owner) { o.flushOne() },
		func(t *rapid.T, o *owner) { o.fold(t) },
		func(t *rapid.T, _ *owner) { w.deliver(t) },
		func(t *rapid.T, _ *owner) { w.replaceOwner(t) },
	}
	steps := slices.Concat(common, start, start)
	t.Repeat(map[string]func(*rapid.T){"step": func(t *rapid.T) {
		steps[uniform(t, "step", len(steps))](t, pickOwner(t))
	}})
	return w
}

// runSteps takes several steps of one owner without steps of other owners in between.
func (o *owner) runSteps(t *rapid.T) {
	for range uniform(t, "steps", 8) {
		o.sync(t)
		o.advance(t)
		o.world.deliver(t)
	}
}

// rarely returns a step that does nothing seven out of eight times.
func rarely(step func(*rapid.T, *owner)) func(*rapid.T, *owner) {
	return func(t *rapid.T, o *owner) {
		if uniform(t, "rarely", 8) == 7 {
			step(t, o)
		}
	}
}

// replaceOwner lets an owner take over or crash. In three quarters of the cases it does nothing.
func (w *world) replaceOwner(t *rapid.T) {
	i := uniform(t, "replaceOwner", 8*owners)
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

// Guards against a request that runs twice (R9), or that runs although it was reported to its caller as not run (R8). The
// checks are in world.deliver and owner.finish.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		schedule(t, func(t *rapid.T, o *owner) { o.startExecution(t) })
	})
}

// Guards against spending above the budget when owners crash or overlap (R3). The check is in world.deliver.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		schedule(t,
			func(t *rapid.T, o *owner) { o.startTurn(t) },
			rarely(func(_ *rapid.T, o *owner) { o.settle() }),
			rarely(func(_ *rapid.T, o *owner) { o.dropLedgers() }),
		)
	})
}

// settle closes the ledgers without calls in progress and appends their settlements, as before a planned handover.
func (o *owner) settle() {
	for _, root := range slices.Sorted(maps.Keys(o.ledgers)) {
		if spent, ok := o.ledgers[root].Close(); ok && o.serves() {
			o.append(settlement(o.epoch, root, spent))
		}
	}
}

// dropLedgers drops the ledgers without calls in progress, as an owner does that keeps few in memory.
func (o *owner) dropLedgers() {
	maps.DeleteFunc(o.ledgers, func(root ids.ProgramID, _ *turn.Ledger) bool {
		return o.running(func(r *request) bool { return r.call != nil && r.program.Root() == root }) == nil
	})
}

// Guards against turns that are lost, reordered or added to another program (R2), and against readers that fold the same
// log to different states.
func TestHistoryIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := schedule(t,
			func(t *rapid.T, o *owner) { o.startTurn(t) },
			func(t *rapid.T, o *owner) { o.startExecution(t) },
			rarely(func(t *rapid.T, o *owner) { o.restore(t) }),
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

// checkHistories fails if a folded history has turns of another program or does not begin with a confirmed history of its
// program.
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
