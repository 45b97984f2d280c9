// Package share orders the waiting calls of a pool. Between workspaces it uses weighted fair queuing by tokens served.
// Within a workspace, the root program with the least attained service goes first, with aging.
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
	// Expected is the estimated service that the call will take, in tokens.
	Expected float64
	// Skip is the number of a round in which First leaves the entry out.
	Skip uint64

	ws         *workspace
	prog       *program
	prev, next *Entry // neighbors in the list of the program's waiting entries, which is ordered by arrival
	charged    float64
}

type workspace struct {
	id     ids.WorkspaceID
	weight float64
	// served is the workspace's virtual time: tokens served divided by weight.
	served   float64
	programs map[ids.ProgramID]*program
	waiting  []*program // programs with waiting entries
	queued   int
	running  int
	backlog  float64 // expected tokens of waiting entries
	load     float64 // expected tokens of waiting and running entries
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
		p.last.next = e
	}
	e.prev, p.last = p.last, e
	w.queued++
	w.backlog += e.Expected
}

func (w *workspace) remove(e *Entry) {
	p := e.prog
	if e.prev != nil {
		e.prev.next = e.next
	} else {
		p.oldest = e.next
	}
	if e.next != nil {
		e.next.prev = e.prev
	} else {
		p.last = e.prev
	}
	e.prev, e.next = nil, nil
	w.queued--
	w.backlog -= e.Expected
	if w.queued == 0 {
		w.backlog = 0 // drop accumulated rounding errors
	}
	if p.oldest == nil {
		w.removeWaiting(p)
	}
}

// removeWaiting removes a program from those with waiting entries.
func (w *workspace) removeWaiting(p *program) {
	i, last := slices.Index(w.waiting, p), len(w.waiting)-1
	w.waiting[i], w.waiting[last] = w.waiting[last], nil
	w.waiting = w.waiting[:last]
}

// newest returns the waiting entry that arrived last.
func (w *workspace) newest() (e *Entry) {
	for _, p := range w.waiting {
		if e == nil || p.last.arrivedAfter(e) {
			e = p.last
		}
	}
	return e
}

// arrivedAfter reports whether e arrived after o. Entries that arrived at the same time are ordered by ticket.
func (e *Entry) arrivedAfter(o *Entry) bool {
	if !e.Arrived.Equal(o.Arrived) {
		return e.Arrived.After(o.Arrived)
	}
	return e.Ticket > o.Ticket
}

// servedLess reports whether w got less service by weight than o. Workspaces with equal service are ordered by id.
func (w *workspace) servedLess(o *workspace) bool {
	if w.served != o.served {
		return w.served < o.served
	}
	return w.id < o.id
}
