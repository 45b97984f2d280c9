// Package program computes the state of one slot by folding the records of the slot's stream: the message histories and
// token budgets of its programs, and the request keys that make execution at-most-once.
//
// Execution holds the owner's steps for one non-idempotent request; package turn holds those for one model call. Both are
// state machines without sockets, goroutines or clock.
package program

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// Reasons why the fold rejects a record.
var (
	ErrStaleEpoch     = errors.New("epoch is not the current one")
	ErrNotOwner       = errors.New("writer is not the owner of the epoch")
	ErrDuplicateKey   = errors.New("request key is used")
	ErrWrongIndex     = errors.New("turn is not the next one")
	ErrUnknownProgram = errors.New("program does not exist")
	ErrNoIntent       = errors.New("no intent without outcome")
	ErrSpending       = errors.New("settled less than the recorded spending")
	ErrInUse          = errors.New("program was used since the end was decided")
	ErrRecordType     = errors.New("record type does not belong here")
)

// DefaultKeyRetention is longer than any caller repeats a request.
const DefaultKeyRetention = 24 * time.Hour

// Options configure the fold of a slot.
type Options struct {
	// KeyRetention is how long a request key is kept; 0 means DefaultKeyRetention. It takes effect when an open record
	// from NewOpen, which states it, is folded.
	KeyRetention time.Duration
}

// Phase is the progress of the request of a key, as far as the stream shows it.
type Phase string

// Phases of a request key.
const (
	// PhaseIntent: the request may be running at the owner of the current epoch.
	PhaseIntent Phase = "intent"
	// PhaseUndecided: the request may have run; its answer will never be known.
	PhaseUndecided Phase = "undecided"
	// PhaseOutcome: the request ran and its answer is stored.
	PhaseOutcome Phase = "outcome"
	// PhaseTurn: the request completed a turn and its response is stored.
	PhaseTurn Phase = "turn"
)

// KeyState is the recorded state of a request key. Its byte slices are shared and must not be modified.
type KeyState struct {
	Phase Phase `json:"phase"`
	// Epoch is the epoch of the intent or turn.
	Epoch       ids.Epoch       `json:"epoch"`
	Fingerprint ids.Fingerprint `json:"fingerprint"`
	// Target is the target named in the intent.
	Target ids.TargetID `json:"target,omitempty"`
	// Status, ContentType and Body are the answer of an outcome.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Response is the answer of a turn.
	Response json.RawMessage `json:"response,omitempty"`
}

// ProgramState is the state of one program.
type ProgramState struct {
	// Messages is the history in order. Later turns do not change the slice; callers must not modify its elements.
	Messages []record.Message
	// Turns is the number of turns, which is the index of the next one.
	Turns int
	// LastUse is the time of the last record that used the program's root or one of its sub-agents, by the clock of the
	// owner or by the largest time in the stream, whichever is later.
	LastUse time.Time
	// LastAt is the position of that record.
	LastAt ids.Position
}

// Spending is the budget use of a root program with its sub-agents.
type Spending struct {
	// Spent counts the tokens of the recorded turns and all tokens that earlier owners reserved and did not settle.
	Spent ids.Tokens `json:"spent"`
	// Reserved is the limit up to which the owner of the current epoch may spend; never below Spent.
	Reserved ids.Tokens `json:"reserved"`
}
