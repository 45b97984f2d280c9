package programs_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/partlog/partlogtest"
	"github.com/comfreylink/comfreylink/internal/programs"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

const (
	turnRetention = time.Minute
	logRetention  = 5 * time.Minute
)

// conversation is a program whose turns follow each other at the given pause, by the clock that its stores read.
type conversation struct {
	*qt.C
	log   *partlogtest.Log
	mu    sync.Mutex // held while now changes, and by timers of the stores that read it
	now   time.Time
	chain []call.ID
}

func newConversation(t *testing.T) *conversation {
	return &conversation{C: qt.New(t), log: partlogtest.New(), now: time.Unix(1_800_000_000, 0)}
}

// advance moves the clock forward.
func (v *conversation) advance(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.now = v.now.Add(d)
}

// newStore returns a store whose clock is that of the conversation plus an offset.
func (v *conversation) newStore(offset time.Duration) *programs.Store {
	return programs.New(programs.Config{
		Log: v.log, LogRetention: logRetention, Programs: partlog.Keyspace{Name: "programs", Topics: 1, Parts: 1},
		Index: partlog.Keyspace{Name: "turns", Topics: 1, Parts: 1},
		Now: func() time.Time {
			v.mu.Lock()
			defer v.mu.Unlock()
			return v.now.Add(offset).Add(time.Nanosecond)
		},
		Logger: zap.NewNop(),
	})
}

// add puts the next turn of the conversation.
func (v *conversation) add(s *programs.Store) {
	v.Helper()
	ctx, cancel := oneSecond()
	defer cancel()
	id := call.ID(fmt.Sprint("t", len(v.chain)))
	turn := programs.Turn{ID: id, Program: program, Chain: append([]call.ID(nil), v.chain...), Input: []byte(id)}
	v.Assert(s.Put(ctx, turn), qt.IsNil)
	v.chain = append(v.chain, id)
}

// checkChain checks that a store returns the whole conversation.
func (v *conversation) checkChain(s *programs.Store) {
	v.Helper()
	ctx, cancel := oneSecond()
	defer cancel()
	turns, err := s.Chain(ctx, v.now, program, v.chain[len(v.chain)-1])
	v.Assert(err, qt.IsNil, qt.Commentf("%d turns, at %v", len(v.chain), v.now))
	v.Assert(turns, qt.HasLen, len(v.chain))
}

// Guards against a conversation that cannot go on after twice the retention of turns, at instances that have seen all of
// it: a turn is kept for its retention together with its chain.
func TestLongConversation(t *testing.T) {
	v := newConversation(t)
	stores := []*programs.Store{v.newStore(0), v.newStore(0)}
	for i := range 10 {
		v.add(stores[i%2])
		for range 4 {
			v.advance(5 * time.Second)
			for _, s := range stores {
				s.DropOld(v.now, turnRetention)
			}
		}
		for _, s := range stores {
			v.checkChain(s)
		}
	}
}

// Guards against turns that stay in memory after their last use.
func TestEndedConversationIsDropped(t *testing.T) {
	v := newConversation(t)
	s := v.newStore(0)
	for range 3 {
		v.add(s)
	}
	s.DropOld(v.now.Add(turnRetention), turnRetention)
	v.Assert(s.Turns(), qt.Equals, 3)
	s.DropOld(v.now.Add(3*turnRetention), turnRetention)
	v.Assert(s.Turns(), qt.Equals, 0)
}

// Guards against a turn that is reported missing because it was dropped from memory, here by an instance whose clock is far
// ahead of that of the turn's writer, although the log has it.
func TestDroppedTurnIsReadAgain(t *testing.T) {
	v := newConversation(t)
	behind, reader := v.newStore(-10*time.Minute), v.newStore(0)
	for range 3 {
		v.add(behind)
	}
	for range 2 {
		v.checkChain(reader)
		reader.DropOld(v.now, turnRetention)
		v.Assert(reader.Turns(), qt.Equals, 0)
	}
}

// Guards against a log that is read from its beginning for each request that names a turn that never was.
func TestUnknownTurnIsSoughtOnce(t *testing.T) {
	v := newConversation(t)
	s := v.newStore(0)
	v.add(s)
	s.DropOld(v.now.Add(3*turnRetention), turnRetention)
	ctx, cancel := oneSecond()
	defer cancel()
	_, err := s.Chain(ctx, v.now, program, "never")
	v.Assert(errors.Is(err, programs.ErrTurnNotFound), qt.IsTrue)
	calls := v.log.Calls()
	for range 5 {
		_, err := s.Chain(ctx, v.now, program, "never")
		v.Assert(errors.Is(err, programs.ErrTurnNotFound), qt.IsTrue)
	}
	v.Assert(v.log.Calls()-calls <= 10, qt.IsTrue, qt.Commentf("%d calls", v.log.Calls()-calls))
}

// parts are the partitions with the records of the conversation.
var parts = []partlog.Partition{{Topic: "programs-00"}, {Topic: "turns-00"}}

// expiringConversation is a conversation whose log deletes records that are older than its retention.
type expiringConversation struct {
	*conversation
	history []checkpoint
}

// checkpoint says where the partitions ended at a time.
type checkpoint struct {
	at  time.Time
	end map[partlog.Partition]ids.Offset
}

// pass moves the clock forward and deletes the records that are older than the retention of the log.
func (v *expiringConversation) pass(d time.Duration) {
	end := make(map[partlog.Partition]ids.Offset)
	for _, p := range parts {
		end[p] = v.log.End(p)
	}
	v.history = append(v.history, checkpoint{v.now, end})
	v.advance(d)
	for v.now.Sub(v.history[0].at) >= logRetention {
		for _, p := range parts {
			v.log.ForgetBefore(p, v.history[0].end[p])
		}
		v.history = v.history[1:]
	}
}

// Guards against a conversation that cannot go on at an instance that has not seen it, because its first turns are older than
// the retention of the log.
func TestConversationLongerThanLogRetention(t *testing.T) {
	v := &expiringConversation{conversation: newConversation(t)}
	s := v.newStore(0)
	for range 40 {
		v.add(s)
		v.pass(20 * time.Second)
		s.DropOld(v.now, turnRetention)
		v.checkChain(v.newStore(0))
	}
	v.Assert(len(v.log.Records()) < 40*4, qt.IsTrue, qt.Commentf("%d records for 40 turns", len(v.log.Records())))
}

// Guards against a conversation with long pauses that cannot go on although its last turn is within its retention, because
// that is not much shorter than the retention of the log.
func TestTurnRetentionNearLogRetention(t *testing.T) {
	const retention = logRetention * 9 / 10
	v := &expiringConversation{conversation: newConversation(t)}
	s := v.newStore(0)
	for _, pause := range []time.Duration{logRetention / 5, retention - time.Second} {
		s.DropOld(v.now, retention)
		v.add(s)
		v.pass(pause)
	}
	v.checkChain(v.newStore(0))
}

// Guards against a program that gets tokens beyond its budget from instances that have not seen it, because the records of
// its first turns are older than the retention of the log.
func TestBudgetOfProgramLongerThanLogRetention(t *testing.T) {
	const budget, tokens, turns = 200, 10, 40
	v := &expiringConversation{conversation: newConversation(t)}
	granted := ids.Tokens(0)
	for i := range turns {
		s := v.newStore(0)
		r, err := reserve(s, fmt.Sprint("t", i), budget, tokens)
		if err == nil {
			granted += tokens
			r.Settle(tokens)
			s.Flush(context.Background())
		}
		v.pass(20 * time.Second)
	}
	v.Assert(granted <= budget, qt.IsTrue, qt.Commentf("%d of %d", granted, budget))
}

// Guards against a program that gets its budget once more after a pause, because its instance has dropped what it had spent
// while the log still has it.
func TestPauseDoesNotRenewTheBudget(t *testing.T) {
	v := newConversation(t)
	s := v.newStore(0)
	r, err := reserve(s, "a", 100, 80)
	v.Assert(err, qt.IsNil)
	r.Settle(80)
	s.Flush(context.Background())
	for range 58 {
		v.advance(5 * time.Second)
		s.DropOld(v.now, turnRetention)
	}
	_, err = reserve(s, "b", 100, 80)
	v.Assert(errors.Is(err, programs.ErrBudgetExceeded), qt.IsTrue, qt.Commentf("%v", err))
}
