package programs_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/partlog/partlogtest"
	"github.com/comfreylink/comfreylink/internal/programs"
	"github.com/comfreylink/comfreylink/pkg/account"
)

func oneSecond() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), time.Second)
}

// Guards against a turn that is lost or out of order after calls to the log failed or their answers were lost, and
// against a chain that another store cannot read.
func TestChain(t *testing.T) {
	c := qt.New(t)
	log := partlogtest.New()
	log.SetFault(func(call int) partlogtest.Fault {
		switch call % 3 {
		case 0:
			return partlogtest.Fault{Err: partlog.ErrOutcomeUnknown, Applied: true}
		case 1:
			return partlogtest.Fault{Err: partlog.ErrNotApplied}
		}
		return partlogtest.Fault{}
	})
	writer, reader := newStore(log), newStore(log)
	ctx, cancel := oneSecond()
	defer cancel()
	var chain []call.ID
	for i := range 5 {
		id := call.ID(fmt.Sprintf("t%d", i))
		turn := programs.Turn{ID: id, Program: program, Chain: append([]call.ID(nil), chain...), Input: []byte{'a' + byte(i)}, Output: []byte("\n")}
		c.Assert(writer.Put(ctx, turn), qt.IsNil)
		chain = append(chain, id)
	}
	for _, s := range []*programs.Store{writer, reader} {
		turns, err := s.Chain(ctx, time.Now(), program, "t4")
		c.Assert(err, qt.IsNil)
		text := ""
		for _, turn := range turns {
			text += string(turn.Input) + string(turn.Output)
		}
		c.Assert(text, qt.Equals, "a\nb\nc\nd\ne\n")
	}
}

// Guards against a turn that is reported missing although the log was not read after the request came, and against
// returning another workspace's turn.
func TestNoSuchTurn(t *testing.T) {
	c := qt.New(t)
	log := partlogtest.New()
	s, other := newStore(log), newStore(log)
	ctx, cancel := oneSecond()
	defer cancel()
	_, err := s.Chain(ctx, time.Now(), program, "t")
	c.Assert(errors.Is(err, programs.ErrTurnNotFound), qt.IsTrue)
	c.Assert(other.Put(ctx, programs.Turn{ID: "t", Program: program}), qt.IsNil)
	_, err = s.Chain(ctx, time.Now(), program, "t")
	c.Assert(err, qt.IsNil, qt.Commentf("the turn was written before it was requested again"))
	_, err = s.Chain(ctx, time.Now(), account.Key{Workspace: "v", Program: "p"}, "t")
	c.Assert(errors.Is(err, programs.ErrTurnNotFound), qt.IsTrue)
	log.SetFault(func(int) partlogtest.Fault {
		return partlogtest.Fault{Err: errors.Join(partlog.ErrNotApplied, partlog.ErrUnavailable)}
	})
	_, err = s.Chain(ctx, time.Now(), program, "unknown")
	c.Assert(err, qt.IsNotNil)
	c.Assert(errors.Is(err, programs.ErrTurnNotFound), qt.IsFalse)
}
