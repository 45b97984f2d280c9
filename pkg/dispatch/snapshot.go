package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Snapshot is a queue's state for dumps.
type Snapshot struct {
	Policy     string              `json:"policy"`
	Queued     int                 `json:"queued"`
	Placed     int                 `json:"placed"`
	Prefixes   int                 `json:"prefixes"`
	ServiceMs  int64               `json:"serviceMs"`
	Workspaces []WorkspaceSnapshot `json:"workspaces"`
	Targets    []TargetSnapshot    `json:"targets"`
}

// WorkspaceSnapshot is the share of one workspace.
type WorkspaceSnapshot struct {
	ID       ids.WorkspaceID `json:"id"`
	Weight   float64         `json:"weight"`
	Queued   int             `json:"queued"`
	Running  int             `json:"running"`
	Programs int             `json:"programs"`
	// Ahead is the service by weight, in tokens, beyond that of the workspace served last; negative if behind.
	Ahead float64 `json:"ahead"`
	// OldestMs is the longest present wait.
	OldestMs int64 `json:"oldestMs"`
}

// TargetSnapshot is what the queue believes of one target.
type TargetSnapshot struct {
	ID      ids.TargetID `json:"id"`
	Zone    ids.Zone     `json:"zone"`
	Usable  bool         `json:"usable"`
	Own     int          `json:"own"`
	Foreign int          `json:"foreign"`
	Allowed int          `json:"allowed"`
	// Slow is the measured over the predicted duration of calls.
	Slow float64 `json:"slow"`
}

// Snapshot returns the state, ordered by id.
func (q *Queue) Snapshot(now time.Time) Snapshot {
	s := Snapshot{
		Policy: q.policy.Name(), Queued: q.queued, Placed: len(q.entries) - q.queued,
		Prefixes: len(q.hints), ServiceMs: int64(q.service * 1000),
	}
	for _, w := range q.workspaces {
		s.Workspaces = append(s.Workspaces, w.snapshot(now, q))
	}
	slices.SortFunc(s.Workspaces, func(a, b WorkspaceSnapshot) int { return cmp.Compare(a.ID, b.ID) })
	for _, t := range q.order {
		s.Targets = append(s.Targets, TargetSnapshot{
			ID: t.id, Zone: t.zone, Usable: t.usable(now, q), Own: t.own, Foreign: t.foreign,
			Allowed: t.allowed(now, q), Slow: t.slow,
		})
	}
	return s
}

func (w *workspace) snapshot(now time.Time, q *Queue) WorkspaceSnapshot {
	s := WorkspaceSnapshot{
		ID: w.id, Weight: w.weight, Queued: w.queued, Running: w.running, Programs: len(w.programs),
		Ahead: w.served - q.virtual,
	}
	for _, p := range w.waiting {
		s.OldestMs = max(s.OldestMs, ids.Millis(now.Sub(p.oldest.arrived)))
	}
	return s
}
