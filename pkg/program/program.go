// Package program folds the stream of one slot: the programs' histories and budgets, and the request keys of
// at-most-once execution. It also holds the owner's procedure for a non-idempotent request and for spending tokens as
// state machines without sockets, goroutines or clock.
package program

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// Reasons why a record does not count.
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

// DefaultKeyRetention is longer than any caller retries.
const DefaultKeyRetention = 24 * time.Hour

// Options configure the fold of a slot.
type Options struct {
	// KeyRetention is how long the owner keeps a request key; 0 for DefaultKeyRetention. It takes effect with the open
	// record of the owner.
	KeyRetention time.Duration
}

// Phase says what is known about a request key.
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

// KeyState is what the stream says about a request key. Its byte slices are shared and must not be modified.
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
	// Spent counts the tokens of the recorded turns and everything that earlier owners reserved and did not settle.
	Spent ids.Tokens `json:"spent"`
	// Reserved is the limit up to which the owner of the current epoch may spend; never below Spent.
	Reserved ids.Tokens `json:"reserved"`
}
