package slot

import (
	"fmt"
	"slices"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

const (
	// quarantineDeaths is the number of distinct targets that must die while they run a request before it is refused.
	quarantineDeaths = 2
	// maxRequests bounds the suspected requests in memory; the oldest is evicted first.
	maxRequests = 4096
)

// suspectedRequest is a request with the targets that died while they ran it.
type suspectedRequest struct {
	Workspace   ids.WorkspaceID `json:"workspace"`
	Fingerprint ids.Fingerprint `json:"fingerprint"`
	Targets     []ids.TargetID  `json:"targets"`
}

// requests holds the suspected requests in the order of their first suspicion.
type requests []suspectedRequest

func (r requests) find(ws ids.WorkspaceID, f ids.Fingerprint) int {
	return slices.IndexFunc(r, func(q suspectedRequest) bool { return q.Workspace == ws && q.Fingerprint == f })
}

func (r *requests) suspect(s *record.SuspectRequest) error {
	i := r.find(s.Workspace, s.Fingerprint)
	if i < 0 {
		if len(*r) == maxRequests {
			*r = slices.Delete(*r, 0, 1)
		}
		*r = append(*r, suspectedRequest{s.Workspace, s.Fingerprint, []ids.TargetID{s.Target}})
		return nil
	}
	q := &(*r)[i]
	if slices.Contains(q.Targets, s.Target) || len(q.Targets) == quarantineDeaths {
		return fmt.Errorf("%w: %s", ErrKnownDeath, s.Target)
	}
	q.Targets = append(q.Targets, s.Target)
	return nil
}

func (r *requests) clear(c *record.ClearRequest) error {
	i := r.find(c.Workspace, c.Fingerprint)
	if i < 0 || len((*r)[i].Targets) >= quarantineDeaths {
		return fmt.Errorf("%w: %s", ErrNoSuspicion, c.Fingerprint)
	}
	*r = slices.Delete(*r, i, i+1)
	return nil
}

// Quarantined reports whether a request must be refused because two distinct targets died while they ran it.
func (t *Table) Quarantined(ws ids.WorkspaceID, f ids.Fingerprint) bool {
	i := t.requests.find(ws, f)
	return i >= 0 && len(t.requests[i].Targets) >= quarantineDeaths
}
