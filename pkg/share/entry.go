// Package share divides a pool's service: weighted fair queuing between workspaces by tokens served, and within a
// workspace least attained service of the whole program, with aging.
//
// Sources: Goyal, Vin and Cheng, "Start-time fair queueing", 1996; Nuyens and Wierman, "The foreground-background
// queue", 2008.
package share

import (
	"slices"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Entry is one call that waits or runs. The exported fields are set before Push.
type Entry struct {
	Ticket    uint64
	Workspace ids.WorkspaceID
	// Weight is the workspace's share relative to others.
	Weight float64
	// Root is the program at the top of the call's chain of sub-agents.
	Root    ids.ProgramID
	Arrived time.Time
	// Expected is the service that the call will take, in tokens.
	Expected float64
	// Skip leaves the entry out of First for the round of that number.
	Skip uint64

	ws           *workspace
	prog         *program
	ahead, after *Entry // the program's waiting entries by arrival
	charged      float64
}

type workspace struct {
	id     ids.WorkspaceID
	weight float64
	// served is the virtual time: tokens served divided by weight.
	served   float64
	programs map[ids.ProgramID]*program
	waiting  []*program // with waiting entries
	queued   int
	running  int
	backlog  float64 // expected tokens of waiting entries
	load     float64 // and of running ones
	lastUse  time.Time
}

type program struct {
	attained     float64
	oldest, last *Entry
	running      int
	lastUse      time.Time
}

func (w *workspace) program(root ids.ProgramID) *program {
	p := w.programs[root]
	if p == nil {
		p = &program{}
		w.programs[root] = p
	}
	return p
}

func (w *workspace) push(e *Entry) {
	p := e.prog
	if p.oldest == nil {
		w.waiting = append(w.waiting, p)
		p.oldest = e
	} else {
		p.last.after = e
	}
	e.ahead, p.last = p.last, e
	w.queued++
	w.backlog += e.Expected
}

func (w *workspace) remove(e *Entry) {
	p := e.prog
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
	w.queued--
	w.backlog -= e.Expected
	if w.queued == 0 {
		w.backlog = 0 // without what rounding left
	}
	if p.oldest == nil {
		w.drop(p)
	}
}

func (w *workspace) drop(p *program) {
	i, last := slices.Index(w.waiting, p), len(w.waiting)-1
	w.waiting[i], w.waiting[last] = w.waiting[last], nil
	w.waiting = w.waiting[:last]
}

// newest returns the waiting entry that arrived last.
func (w *workspace) newest() (e *Entry) {
	for _, p := range w.waiting {
		if e == nil || p.last.later(e) {
			e = p.last
		}
	}
	return e
}

func (e *Entry) later(o *Entry) bool {
	if !e.Arrived.Equal(o.Arrived) {
		return e.Arrived.After(o.Arrived)
	}
	return e.Ticket > o.Ticket
}

func (w *workspace) before(o *workspace) bool {
	if w.served != o.served {
		return w.served < o.served
	}
	return w.id < o.id
}
