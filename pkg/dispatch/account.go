package dispatch

import (
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// estimate returns the service that an item is expected to take, in tokens, without regard to caches.
func (q *Queue) estimate(it Item) float64 {
	if it.Output > 0 {
		return float64(it.Prompt + it.Output)
	}
	return float64(it.Prompt) + max(q.output, 1)
}

func (q *Queue) workspace(now time.Time, it Item) *workspace {
	w := q.workspaces[it.Workspace]
	if w == nil {
		w = &workspace{id: it.Workspace, served: q.virtual, programs: make(map[ids.ProgramID]*program)}
		q.workspaces[it.Workspace] = w
	}
	w.weight = it.Weight
	w.lastUse = now
	return w
}

func (w *workspace) program(now time.Time, it Item) *program {
	root := it.Program.Root()
	p := w.programs[root]
	if p == nil {
		p = &program{root: root}
		w.programs[root] = p
	}
	p.lastUse = now
	return p
}

// resume bounds what a workspace that was idle is ahead or behind of the others.
func (q *Queue) resume(w *workspace) {
	w.served = max(w.served, q.virtual-float64(q.opt.Credit)/w.weight)
	w.served = min(w.served, q.virtual+float64(q.opt.Debt)/w.weight)
}

// charge counts expected service when an item is placed.
func (q *Queue) charge(e *entry, tokens float64) {
	q.virtual = max(q.virtual, e.ws.served)
	e.charged = tokens
	e.ws.served += tokens / e.ws.weight
	e.prog.attained += tokens
}

// settle replaces the expected by the actual service when an item ends.
func (q *Queue) settle(now time.Time, e *entry, served float64) {
	e.ws.served += (served - e.charged) / e.ws.weight
	e.ws.load -= e.est
	e.ws.running--
	e.ws.lastUse = now
	e.prog.attained += served - e.charged
	e.prog.running--
	e.prog.lastUse = now
}

// dropIdle forgets programs without calls for some time, and workspaces that have neither programs nor debt.
func (q *Queue) dropIdle(now time.Time) {
	for id, w := range q.workspaces {
		for root, p := range w.programs {
			if p.oldest == nil && p.running == 0 && now.Sub(p.lastUse) > q.opt.ProgramIdle {
				delete(w.programs, root)
			}
		}
		if len(w.programs) == 0 && now.Sub(w.lastUse) > q.opt.ProgramIdle {
			delete(q.workspaces, id)
		}
	}
}
