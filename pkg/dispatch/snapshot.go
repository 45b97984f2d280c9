package dispatch

import (
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/share"
)

// Snapshot is a queue's state for dumps.
type Snapshot struct {
	Policy string `json:"policy"`
	// Queued is the number of waiting items, Placed that of items at targets.
	Queued int `json:"queued"`
	Placed int `json:"placed"`
	// Prefixes is the number of prefixes that are expected to be cached at a target.
	Prefixes int `json:"prefixes"`
	// ServiceMs is the mean duration of a call in milliseconds; 0 before the first completion.
	ServiceMs  int64            `json:"serviceMs"`
	Workspaces []share.Snapshot `json:"workspaces"`
	Targets    []TargetSnapshot `json:"targets"`
}

// TargetSnapshot is the queue's view of one target, for dumps.
type TargetSnapshot struct {
	ID   ids.TargetID `json:"id"`
	Zone ids.Zone     `json:"zone"`
	// Usable is whether the target may get new calls at all.
	Usable bool `json:"usable"`
	// Own is the number of this queue's calls at the target, Others that of other dispatchers' calls as last reported.
	Own    int `json:"own"`
	Others int `json:"others"`
	// Allowed is how many calls may be at the target now.
	Allowed int `json:"allowed"`
	// Slow is the ratio of the measured to the predicted duration of calls.
	Slow float64 `json:"slow"`
	// WorkTime is how long work is expected to take now by the target's reports, as a multiple of the usual time.
	WorkTime float64 `json:"workTime"`
}

// Snapshot returns the state, with workspaces and targets ordered by id.
func (q *Queue) Snapshot(now time.Time) Snapshot {
	s := Snapshot{
		Policy: q.policy.Name(), Queued: q.queued, Placed: len(q.entries) - q.queued,
		Prefixes: q.targets.Prefixes(), ServiceMs: int64(q.meanSeconds * 1000), Workspaces: q.shares.Snapshot(now),
	}
	for _, t := range q.targets.All() {
		s.Targets = append(s.Targets, TargetSnapshot{
			ID: t.ID(), Zone: t.Zone(), Usable: t.Usable(now), Own: t.Own(), Others: t.InFlight() - t.Own(),
			Allowed: t.Allowed(now), Slow: t.Slow(), WorkTime: t.WorkTime(now),
		})
	}
	return s
}
