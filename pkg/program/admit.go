package program

import "github.com/comfreylink/comfreylink/pkg/ids"

// Action says how the owner handles a request.
type Action string

// Actions on a request.
const (
	// ActionRun: start an Execution, or a turn.Call for a model call.
	ActionRun Action = "run"
	// ActionReplay: answer with the stored outcome or turn.
	ActionReplay Action = "replay"
	// ActionWait: wait for the request in progress, then decide again.
	ActionWait Action = "wait"
	// ActionUnknown: answer that it is unknown whether the request ran.
	ActionUnknown Action = "unknown"
	// ActionKeyReused: refuse, because the key belongs to a request with different content.
	ActionKeyReused Action = "keyReused"
	// ActionNotOwner: forward, or refuse as not run, because the epoch is not the current one.
	ActionNotOwner Action = "notOwner"
)

// Request describes a request for Admit.
type Request struct {
	Workspace   ids.WorkspaceID
	Key         ids.RequestKey
	Fingerprint ids.Fingerprint
	// Epoch is the epoch in which the deciding instance owns the slot.
	Epoch ids.Epoch
	// Running is the fingerprint of the request with this key that is in progress at this instance, or nil. A request is
	// in progress from before the append of its first record until the append of its last one has ended. The last record
	// may be a cancel.
	Running *ids.Fingerprint
}

// Decision is the result of Admit.
type Decision struct {
	Action Action
	// State is the stored outcome or turn for ActionReplay.
	State KeyState
}

// Admit decides how the owner handles a request, by the recorded state of its key and the request in progress.
func (s *Slot) Admit(r Request) Decision {
	if r.Epoch == 0 || r.Epoch != s.epoch {
		return Decision{Action: ActionNotOwner}
	}
	state, known := s.Lookup(r.Workspace, r.Key)
	if known && state.Fingerprint != r.Fingerprint {
		return Decision{Action: ActionKeyReused}
	}
	switch {
	case r.Running != nil && *r.Running != r.Fingerprint:
		return Decision{Action: ActionKeyReused}
	case r.Running != nil:
		return Decision{Action: ActionWait}
	case !known:
		return Decision{Action: ActionRun}
	case state.Phase == PhaseOutcome || state.Phase == PhaseTurn:
		return Decision{Action: ActionReplay, State: state}
	default:
		// PhaseIntent without a request in progress: the append of its outcome or cancel failed.
		return Decision{Action: ActionUnknown}
	}
}
