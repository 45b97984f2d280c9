package programs

import (
	"context"
	"time"

	"github.com/comfreylink/comfreylink/pkg/account"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/logpace"
)

// reservation asks for tokens of a program's budget.
type reservation struct {
	key    account.Key
	turn   string // names the reservation in the log
	budget ids.Tokens
	// tokens is how much is asked for, least how much is enough if the budget has no more.
	tokens, least ids.Tokens
}

// batch is a set of records that are written together.
type batch struct {
	reservations []reservation
	settlements  []account.Record
	turns        [][]byte // encoded turns
}

// accountRecordBytes is more than the size of a reservation or a settlement in the log without the names in it.
const accountRecordBytes = 160

// accountSize returns about the size of a reservation or a settlement in the log.
func accountSize(k account.Key, turn string) int {
	return accountRecordBytes + len(k.Workspace) + len(k.Program) + len(turn)
}

// size returns about the size of the batch's records in the log.
func (b batch) size() (bytes int) {
	for _, r := range b.reservations {
		bytes += accountSize(r.key, r.turn)
	}
	for _, r := range b.settlements {
		bytes += accountSize(r.Key, r.Turn)
	}
	for _, t := range b.turns {
		bytes += len(t)
	}
	return bytes
}

func (b batch) empty() bool {
	return len(b.reservations) == 0 && len(b.settlements) == 0 && len(b.turns) == 0
}

// kindOf returns the kind of an append with the batches, which is that of the most urgent one.
func kindOf(batches []*submission) logpace.Kind {
	kind := logpace.Background
	for _, s := range batches {
		switch {
		case len(s.turns) > 0:
			return logpace.TurnEnd
		case len(s.reservations) > 0:
			kind = logpace.Reservation
		}
	}
	return kind
}

// submission is a batch that waits for a partition's writer. The other fields are set before done is closed.
type submission struct {
	batch
	at      time.Time       // when it was submitted
	ctx     context.Context // ends when nobody waits for the result
	done    chan struct{}
	granted []grant // of each reservation
	err     error
}

// grant is the result of a reservation.
type grant struct {
	// Tokens is 0 if the reservation exceeds the budget.
	Tokens ids.Tokens `json:"tokens"`
	// Committed is what the program has spent and reserved, this reservation included.
	Committed ids.Tokens `json:"committed"`
	// uncertain means that another append of the reservation, whose outcome is unknown, may reserve tokens all the same.
	uncertain bool
}

func markUncertain(granted []grant) {
	for i := range granted {
		granted[i].uncertain = true
	}
}
