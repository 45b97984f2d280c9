package share

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Options are a pool's settings.
type Options struct {
	// Credit bounds the service that an idle workspace can catch up on later, in tokens at weight 1.
	Credit ids.Tokens
	// Debt bounds the service, in tokens at weight 1, for which a workspace has to wait because it got more than its share
	// while others were idle.
	Debt ids.Tokens
	// AgingRate is how many tokens of attained service one second of waiting offsets within a workspace.
	AgingRate float64
	// AttainedMax caps the attained service that counts, and thereby the time for which new programs are served before an
	// old one.
	AttainedMax ids.Tokens
	// ProgramIdle is how long a program's attained service is kept after its last call.
	ProgramIdle time.Duration
}

// Queue holds the shares of a pool's workspaces and their waiting entries.
type Queue struct {
	opt        Options
	workspaces map[ids.WorkspaceID]*workspace
	virtual    float64 // virtual time: the highest value of workspace.served at which a call has started
}

// New returns an empty queue.
func New(o Options) *Queue {
	return &Queue{opt: o, workspaces: make(map[ids.WorkspaceID]*workspace)}
}

// Push adds a waiting entry.
func (q *Queue) Push(now time.Time, e *Entry) {
	w := q.workspaces[e.Workspace]
	if w == nil {
		w = &workspace{id: e.Workspace, served: q.virtual, programs: make(map[ids.ProgramID]*program)}
		q.workspaces[e.Workspace] = w
	}
	w.weight, w.lastUse = e.Weight, now
	if w.queued == 0 {
		q.boundLag(w)
	}
	e.ws, e.prog = w, w.program(e.Root)
	e.prog.lastUse = now
	w.push(e)
	w.load += e.Expected
}

// boundLag limits how far a workspace that had nothing waiting is ahead of or behind the virtual time.
func (q *Queue) boundLag(w *workspace) {
	w.served = max(w.served, q.virtual-float64(q.opt.Credit)/w.weight)
	w.served = min(w.served, q.virtual+float64(q.opt.Debt)/w.weight)
}

// Remove removes a waiting entry.
func (q *Queue) Remove(e *Entry) {
	e.ws.remove(e)
	e.ws.load -= e.Expected
}

// Start turns a waiting entry into a running one and charges the given service, in tokens, to its workspace and program.
func (q *Queue) Start(e *Entry, tokens float64) {
	q.virtual = max(q.virtual, e.ws.served)
	e.ws.remove(e)
	e.ws.running++
	e.prog.running++
	e.charged = tokens
	e.ws.served += tokens / e.ws.weight
	e.prog.attained += tokens
}

// End removes a running entry and replaces the service that Start charged by the actual one.
func (q *Queue) End(now time.Time, e *Entry, tokens float64) {
	e.ws.running--
	e.prog.running--
	e.ws.load -= e.Expected
	e.ws.lastUse, e.prog.lastUse = now, now
	e.ws.served += (tokens - e.charged) / e.ws.weight
	e.prog.attained += tokens - e.charged
}

// Charged returns the service that Start charged.
func (e *Entry) Charged() float64 { return e.charged }

// First returns the entry to be served next, leaving out those skipped in this round; nil if there is none.
func (q *Queue) First(now time.Time, round uint64) (best *Entry) {
	for _, w := range q.workspaces {
		if w.queued == 0 || (best != nil && !w.servedLess(best.ws)) {
			continue
		}
		if e := q.firstOf(now, w, round); e != nil {
			best = e
		}
	}
	return best
}

// firstOf returns the workspace's entry with the least attained service of its program, reduced by AgingRate for the time
// that the entry has waited.
func (q *Queue) firstOf(now time.Time, w *workspace, round uint64) (best *Entry) {
	var least float64
	for _, p := range w.waiting {
		e := p.oldest
		for e != nil && e.Skip == round {
			e = e.next
		}
		if e == nil {
			continue
		}
		score := min(p.attained, float64(q.opt.AttainedMax)) - q.opt.AgingRate*now.Sub(e.Arrived).Seconds()
		if best == nil || score < least || (score == least && best.arrivedAfter(e)) {
			best, least = e, score
		}
	}
	return best
}

// Victim returns the entry to refuse when not all can wait: the newest waiting entry of the workspace whose load exceeds
// its share by the largest factor, or e itself if its own workspace exceeds its share or no other one does.
func (q *Queue) Victim(e *Entry) *Entry {
	load, weight := 0.0, 0.0
	for _, w := range q.workspaces {
		if w.queued > 0 || w.running > 0 {
			load += w.load
			weight += w.weight
		}
	}
	exceedsShare := func(w *workspace) bool { return w.load*weight > load*w.weight*(1+shareTolerance) }
	if exceedsShare(e.ws) {
		return e
	}
	var most *workspace
	for _, w := range q.workspaces {
		if w.queued == 0 || !exceedsShare(w) {
			continue
		}
		if most == nil || w.load/w.weight > most.load/most.weight {
			most = w
		}
	}
	if most == nil {
		return e
	}
	return most.newest()
}

// shareTolerance keeps rounding errors from making the only workspace exceed its share.
const shareTolerance = 1e-6

// Ahead estimates the tokens to be served before an entry that just arrived. It returns own, the tokens of all entries
// that wait in the entry's workspace, and all, which adds the service that the other workspaces get in the meantime.
func (q *Queue) Ahead(e *Entry) (own, all float64) {
	own = e.ws.backlog - e.Expected
	start := e.ws.served + own/e.ws.weight
	all = own
	for _, w := range q.workspaces {
		if w != e.ws && w.queued > 0 {
			all += min(w.backlog, max(start-w.served, 0)*w.weight)
		}
	}
	return own, all
}

// Backlog returns the expected tokens of all waiting entries.
func (q *Queue) Backlog() (tokens float64) {
	for _, w := range q.workspaces {
		tokens += w.backlog
	}
	return tokens
}

// EndProgram discards the attained service of a root program, unless it has waiting or running calls.
func (q *Queue) EndProgram(ws ids.WorkspaceID, root ids.ProgramID) {
	w := q.workspaces[ws]
	if w == nil {
		return
	}
	if p := w.programs[root]; p != nil && p.oldest == nil && p.running == 0 {
		delete(w.programs, root)
	}
}

// DropIdle removes the programs and workspaces that had no calls for ProgramIdle.
func (q *Queue) DropIdle(now time.Time) {
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

// Snapshot is the share of one workspace, for dumps.
type Snapshot struct {
	ID       ids.WorkspaceID `json:"id"`
	Weight   float64         `json:"weight"`
	Queued   int             `json:"queued"`
	Running  int             `json:"running"`
	Programs int             `json:"programs"`
	// Ahead is how much more service by weight, in tokens, the workspace got than the one served last; negative if less.
	Ahead float64 `json:"ahead"`
	// Load is the expected service of waiting and running calls, in tokens.
	Load float64 `json:"load"`
	// OldestMs is how long the oldest waiting call has waited, in milliseconds.
	OldestMs int64 `json:"oldestMs"`
}

// Snapshot returns the shares of all workspaces, ordered by id.
func (q *Queue) Snapshot(now time.Time) (l []Snapshot) {
	for _, w := range q.workspaces {
		s := Snapshot{
			ID: w.id, Weight: w.weight, Queued: w.queued, Running: w.running, Programs: len(w.programs),
			Ahead: w.served - q.virtual, Load: w.load,
		}
		for _, p := range w.waiting {
			s.OldestMs = max(s.OldestMs, ids.Millis(now.Sub(p.oldest.Arrived)))
		}
		l = append(l, s)
	}
	slices.SortFunc(l, func(a, b Snapshot) int { return cmp.Compare(a.ID, b.ID) })
	return l
}
