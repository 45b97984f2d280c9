package dispatch

import (
	"slices"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// entry is an item in the queue or at a target.
type entry struct {
	item    Item
	ws      *workspace
	prog    *program
	arrived time.Time
	// est is the service expected, in tokens.
	est float64

	older, newer *entry // all waiting items by arrival
	ahead, after *entry // the program's waiting items by arrival

	deferredSince time.Time
	skipped       uint64 // round in which the item was left waiting for its preferred target

	target  *target
	placed  time.Time
	charged float64
}

func (e *entry) excludes(id ids.TargetID) bool { return slices.Contains(e.item.Excluded, id) }

// workspace is the fair share of one workspace.
type workspace struct {
	id     ids.WorkspaceID
	weight float64
	// served is the virtual time: tokens served divided by weight.
	served   float64
	programs map[ids.ProgramID]*program
	waiting  []*program // with waiting items
	queued   int
	load     float64 // expected tokens of waiting and running items
	running  int
	lastUse  time.Time
}

// program is the attained service of a root program with its sub-agents.
type program struct {
	root         ids.ProgramID
	attained     float64
	oldest, last *entry
	running      int
	lastUse      time.Time
}

func (p *program) push(e *entry) {
	e.ahead, e.after = p.last, nil
	if p.last != nil {
		p.last.after = e
	} else {
		p.oldest = e
	}
	p.last = e
}

func (p *program) remove(e *entry) {
	if e.ahead != nil {
		e.ahead.after = e.after
	} else {
		p.oldest = e.after
	}
	if e.after != nil {
		e.after.ahead = e.ahead
	} else {
		p.last = e.ahead
	}
	e.ahead, e.after = nil, nil
}

func (w *workspace) push(e *entry) {
	if e.prog.oldest == nil {
		w.waiting = append(w.waiting, e.prog)
	}
	e.prog.push(e)
	w.queued++
}

func (w *workspace) remove(e *entry) {
	e.prog.remove(e)
	w.queued--
	if e.prog.oldest != nil {
		return
	}
	i := slices.Index(w.waiting, e.prog)
	last := len(w.waiting) - 1
	w.waiting[i] = w.waiting[last]
	w.waiting[last] = nil
	w.waiting = w.waiting[:last]
}
