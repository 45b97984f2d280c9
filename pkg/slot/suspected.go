package slot

import "github.com/comfreylink/comfreylink/pkg/ids"

// RequestSuspected reports whether at least one target died while it ran a request.
func (t *Table) RequestSuspected(ws ids.WorkspaceID, f ids.Fingerprint) bool {
	return t.requests.find(ws, f) >= 0
}

// EverValid reports whether the lease was ever valid.
func (l *Lease) EverValid() bool { return !l.freshAt.IsZero() }
