package programs

import (
	"errors"
	"time"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/pkg/account"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Names of methods.
const (
	methodRecord = "record"
	methodTurns  = "turns"
)

// recordParams are the records that a caller has for a partition.
type recordParams struct {
	Partition    partlog.Partition `json:"partition"`
	Reservations []wireReservation `json:"reservations,omitempty"`
	Settlements  []wireAccount     `json:"settlements,omitempty"`
	// Turns are encoded as in the log.
	Turns [][]byte `json:"turns,omitempty"`
	// TimeoutMs is how long the caller waits.
	TimeoutMs int64 `json:"timeoutMs"`
}

type wireReservation struct {
	Workspace ids.WorkspaceID `json:"workspace"`
	Program   ids.ProgramID   `json:"program"`
	Turn      string          `json:"turn"`
	Budget    ids.Tokens      `json:"budget"`
	Tokens    ids.Tokens      `json:"tokens"`
	Least     ids.Tokens      `json:"least"`
}

// recordResult has what was granted of each reservation, in their order.
type recordResult struct {
	Granted []grant `json:"granted,omitempty"`
	Failure failure `json:"failure,omitempty"`
}

// turnsParams ask for turns and the turns before them.
type turnsParams struct {
	Partition partlog.Partition `json:"partition"`
	Turns     []call.ID         `json:"turns"`
	// MemoryOnly asks for turns in the leader's memory, without a read of the partition.
	MemoryOnly bool `json:"memoryOnly,omitempty"`
}

// ChangesNothing implements leaders.Query.
func (turnsParams) ChangesNothing() bool { return true }

// turnsResult has the turns that were asked for and are known, with the turns before them, encoded as in the log.
type turnsResult struct {
	Turns [][]byte `json:"turns,omitempty"`
	// Read says how far the partition was read; it is empty if only the memory was asked for.
	Read partitionRead `json:"read,omitzero"`
}

// partitionRead says which instance has read a partition up to which offset.
type partitionRead struct {
	Part   int            `json:"part"`
	Reader ids.InstanceID `json:"reader"`
	Next   ids.Offset     `json:"next"`
}

// maxWireTokens bounds the tokens in a message, so that sums of them don't overflow.
const maxWireTokens ids.Tokens = 1 << 50

// newRecordParams returns the message with a batch for a partition.
func newRecordParams(p partlog.Partition, b batch, timeout time.Duration) recordParams {
	params := recordParams{Partition: p, Turns: b.turns, TimeoutMs: ids.Millis(timeout)}
	for _, r := range b.reservations {
		params.Reservations = append(params.Reservations, wireReservation{
			Workspace: r.key.Workspace, Program: r.key.Program, Turn: r.turn, Budget: r.budget, Tokens: r.tokens, Least: r.least,
		})
	}
	for _, r := range b.settlements {
		params.Settlements = append(params.Settlements, toWireAccount(r))
	}
	return params
}

// batch returns the records of a message. It refuses records that the readers of the log would skip or take for something
// else, because the ledgers of instances would differ from then on.
func (a recordParams) batch() (b batch, err error) {
	for _, r := range a.Reservations {
		if r.Turn == "" || r.Program == "" || r.Least < 0 || r.Tokens < r.Least || max(r.Tokens, r.Budget) > maxWireTokens {
			return b, errors.New("reservation without turn or program, or with invalid tokens")
		}
		b.reservations = append(b.reservations, reservation{
			key:  account.Key{Workspace: r.Workspace, Program: r.Program},
			turn: r.Turn, budget: r.Budget, tokens: r.Tokens, least: r.Least,
		})
	}
	for _, w := range a.Settlements {
		if err := w.check(); err != nil {
			return b, err
		}
		if !w.Settled || w.Tokens > maxWireTokens {
			return b, errors.New("settlement that does not settle, or with invalid tokens")
		}
		b.settlements = append(b.settlements, w.record())
	}
	for _, t := range a.Turns {
		if !isTurn(t) {
			return b, errors.New("turn without a first line")
		}
		if _, err := decodeTurn(t); err != nil {
			return b, err
		}
	}
	b.turns = a.Turns
	return b, nil
}

func encodeTurns(turns []*Turn) (encoded [][]byte) {
	for _, t := range turns {
		encoded = append(encoded, encodeTurn(*t))
	}
	return encoded
}
