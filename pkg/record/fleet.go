package record

import (
	"errors"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Claim asks for the ownership of slots.
type Claim struct {
	Owner ids.WriterID `json:"owner"`
	Slots []SlotEpoch  `json:"slots"`
	// SuspectedAt is the position of the suspicion of the current owner that justifies the claim; nil if the slots have no
	// owner or were released.
	SuspectedAt *ids.Position `json:"suspectedAt,omitempty"`
}

// SlotEpoch is a slot and the epoch that a claim or release refers to.
type SlotEpoch struct {
	Slot  ids.Slot  `json:"slot"`
	Epoch ids.Epoch `json:"epoch"`
}

// Release gives up slots.
type Release struct {
	Owner ids.WriterID `json:"owner"`
	Slots []SlotEpoch  `json:"slots"`
	// Successor is the run that should claim the slots at once. Other runs wait for a short time first.
	Successor ids.WriterID `json:"successor,omitempty"`
}

// Suspect states that the run Writer of an instance does not answer; By is the run that states it.
type Suspect struct {
	By     ids.WriterID `json:"by"`
	Writer ids.WriterID `json:"writer"`
}

// Alive withdraws every earlier suspicion of the run that appends it.
type Alive struct {
	Writer ids.WriterID `json:"writer"`
}

// SuspectRequest states that a target died while it ran a request.
type SuspectRequest struct {
	Workspace   ids.WorkspaceID `json:"workspace"`
	Fingerprint ids.Fingerprint `json:"fingerprint"`
	Target      ids.TargetID    `json:"target"`
}

// ClearRequest states that a suspected request finished at a target.
type ClearRequest struct {
	Workspace   ids.WorkspaceID `json:"workspace"`
	Fingerprint ids.Fingerprint `json:"fingerprint"`
}

// Snapshot is one part of a stream's folded state.
type Snapshot struct {
	// Covers is the last offset that the state includes.
	Covers ids.Offset `json:"covers"`
	Part   int        `json:"part"`
	Parts  int        `json:"parts"`
	// Data is this part of the encoded state, which is all parts joined in order.
	Data []byte `json:"data"`
}

// Type implements Body.
func (*Claim) Type() Type { return TypeClaim }

// Type implements Body.
func (*Release) Type() Type { return TypeRelease }

// Type implements Body.
func (*Suspect) Type() Type { return TypeSuspect }

// Type implements Body.
func (*Alive) Type() Type { return TypeAlive }

// Type implements Body.
func (*SuspectRequest) Type() Type { return TypeSuspectRequest }

// Type implements Body.
func (*ClearRequest) Type() Type { return TypeClearRequest }

// Type implements Body.
func (*Snapshot) Type() Type { return TypeSnapshot }

var (
	errNoWriter      = errors.New("no writer")
	errNoSlots       = errors.New("no slots")
	errNoFingerprint = errors.New("no fingerprint")
	errParts         = errors.New("part out of range")
)

// Validate implements Body.
func (c *Claim) Validate() error { return validateSlots(c.Owner, c.Slots) }

// Validate implements Body.
func (r *Release) Validate() error { return validateSlots(r.Owner, r.Slots) }

// Validate implements Body.
func (s *Suspect) Validate() error {
	if s.Writer == "" || s.By == "" {
		return errNoWriter
	}
	return nil
}

// Validate implements Body.
func (a *Alive) Validate() error {
	if a.Writer == "" {
		return errNoWriter
	}
	return nil
}

// Validate implements Body.
func (s *SuspectRequest) Validate() error {
	if s.Fingerprint == "" {
		return errNoFingerprint
	}
	return nil
}

// Validate implements Body.
func (c *ClearRequest) Validate() error {
	if c.Fingerprint == "" {
		return errNoFingerprint
	}
	return nil
}

// Validate implements Body.
func (s *Snapshot) Validate() error {
	if s.Parts < 1 || s.Part < 0 || s.Part >= s.Parts {
		return errParts
	}
	return nil
}

func validateSlots(w ids.WriterID, slots []SlotEpoch) error {
	if w == "" {
		return errNoWriter
	}
	if len(slots) == 0 {
		return errNoSlots
	}
	for _, s := range slots {
		if s.Slot < 0 || s.Epoch < 1 {
			return errors.New("slot below 0 or epoch below 1")
		}
	}
	return nil
}
