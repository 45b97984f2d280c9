package programs_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/partlog/partlogtest"
	"github.com/comfreylink/comfreylink/internal/programs"
	"github.com/comfreylink/comfreylink/pkg/account"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

var program = account.Key{Workspace: "w", Program: "p"}

func newStore(log partlog.Log) *programs.Store {
	return programs.New(programs.Config{
		Log: log, Programs: partlog.Keyspace{Name: "programs", Topics: 1, Parts: 1},
		Index: partlog.Keyspace{Name: "turns", Topics: 1, Parts: 1}, Now: time.Now, Logger: zap.NewNop(),
	})
}

func reserve(s *programs.Store, turn string, budget, tokens ids.Tokens) (*programs.Reservation, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := s.Reserve(ctx, programs.ReserveRequest{Key: program, Turn: turn, Budget: budget, Tokens: tokens})
	if err != nil {
		return nil, err
	}
	return r, r.Wait(ctx)
}

// Guards against a budget that is granted more than once: by several instances at the same time, or after the log's
// answer to an append was lost although the append took effect.
func TestBudgetIsNeverExceeded(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := qt.New(t)
			random := rand.New(rand.NewPCG(seed, 1))
			log := partlogtest.New()
			log.SetFault(func(int) partlogtest.Fault {
				switch random.IntN(6) {
				case 0:
					return partlogtest.Fault{Err: partlog.ErrOutcomeUnknown, Applied: true}
				case 1:
					return partlogtest.Fault{Err: partlog.ErrOutcomeUnknown}
				case 2:
					return partlogtest.Fault{Err: partlog.ErrNotApplied}
				}
				return partlogtest.Fault{}
			})
			const budget, tokens, instances, turns = 1000, 90, 3, 10
			var mu sync.Mutex
			granted := ids.Tokens(0)
			var tasks sync.WaitGroup
			for d := range instances {
				s := newStore(log)
				tasks.Go(func() {
					for i := range turns {
						if _, err := reserve(s, fmt.Sprintf("%d-%d", d, i), budget, tokens); err == nil {
							mu.Lock()
							granted += tokens
							mu.Unlock()
						}
					}
				})
			}
			tasks.Wait()
			c.Assert(granted <= budget, qt.IsTrue, qt.Commentf("%d granted of %d", granted, budget))
			c.Assert(granted > 0, qt.IsTrue)
		})
	}
}

// Guards against a program that is refused as over budget although an earlier turn has returned unspent tokens.
func TestSettlementFreesUnspentTokens(t *testing.T) {
	c := qt.New(t)
	log := partlogtest.New()
	first, second := newStore(log), newStore(log)
	r, err := reserve(first, "a", 100, 80)
	c.Assert(err, qt.IsNil)
	_, err = reserve(second, "b", 100, 80)
	c.Assert(errors.Is(err, programs.ErrBudgetExceeded), qt.IsTrue)
	r.Settle(10)
	first.Flush(context.Background())
	_, err = reserve(second, "c", 100, 80)
	c.Assert(err, qt.IsNil)
}

// Guards against an instance that keeps calling an unavailable log. The benchmark day scale-2 was aborted because of the
// processor time that such calls used.
func TestUnavailableLogIsNotCalledRepeatedly(t *testing.T) {
	c := qt.New(t)
	log := partlogtest.New()
	s := newStore(log)
	r, err := reserve(s, "a", 1000, 80)
	c.Assert(err, qt.IsNil)
	unavailable := errors.Join(partlog.ErrNotApplied, partlog.ErrUnavailable)
	log.SetFault(func(int) partlogtest.Fault { return partlogtest.Fault{Err: unavailable} })
	r.Settle(10)
	s.Flush(context.Background())
	_, err = reserve(s, "b", 100, 80)
	c.Assert(errors.Is(err, partlog.ErrUnavailable), qt.IsTrue)
	time.Sleep(300 * time.Millisecond)
	c.Assert(log.Calls() < 10, qt.IsTrue, qt.Commentf("%d calls", log.Calls()))
	log.SetFault(nil)
	c.Assert(len(log.Records()), qt.Equals, 1)
	_, err = reserve(s, "c", 1000, 80)
	c.Assert(err, qt.IsNil)
	c.Assert(len(log.Records()), qt.Equals, 3, qt.Commentf("the settlement is written with the next reservation"))
}
