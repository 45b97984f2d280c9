package programs_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
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

// Guards against a turn that is refused although the budget allows it: the settlement of the turn before it reaches the
// leader with the new reservation.
func TestSettlementMakesRoomForReservation(t *testing.T) {
	c := qt.New(t)
	f := newFleet(2)
	for i := range 3 {
		r, err := reserve(f.stores[1], fmt.Sprint("t", i), 100, 40)
		c.Assert(err, qt.IsNil, qt.Commentf("turn %d", i))
		r.Settle(30)
	}
	_, err := reserve(f.stores[1], "t3", 100, 40)
	c.Assert(err, qt.ErrorIs, programs.ErrBudgetExceeded)
}

// Guards against a budget that stays reserved: a leader wrote the reservation, its answer was lost, and the next leader
// refused the reservation without an effect.
func TestReservationOfLostAnswerIsSettled(t *testing.T) {
	c := qt.New(t)
	f := newFleet(2)
	f.setLeader(func(int) (int, bool) { return 0, true })
	f.log.SetFault(func(call int) partlogtest.Fault {
		if call < 2 { // the read and the append of the first leader
			return partlogtest.Fault{}
		}
		return partlogtest.Fault{Err: unavailable}
	})
	_, err := reserve(f.stores[1], "t0", 100, 60)
	c.Assert(err, qt.IsNotNil)
	f.setLeader(func(int) (int, bool) { return 0, false })
	f.log.SetFault(nil)
	var granted bool
	for end := time.Now().Add(3 * time.Second); !granted && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := reserve(f.stores[1], fmt.Sprint("t", time.Now().UnixNano()), 100, 60)
		if granted = err == nil; granted {
			r.Settle(0)
		}
	}
	c.Assert(granted, qt.IsTrue)
}

// Guards against a planned stop that gives up settlements after their first write has failed.
func TestFlushRepeatsSettlements(t *testing.T) {
	c := qt.New(t)
	f := newFleet(2)
	r, err := reserve(f.stores[1], "t0", 100, 60)
	c.Assert(err, qt.IsNil)
	r.Settle(10)
	f.log.SetFault(func(call int) partlogtest.Fault {
		if call == 0 {
			return partlogtest.Fault{Err: unavailable}
		}
		return partlogtest.Fault{}
	})
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	f.stores[1].Flush(ctx)
	settled := false
	for _, record := range f.log.Records() {
		settled = settled || strings.Contains(string(record), `"settled":true`)
	}
	c.Assert(settled, qt.IsTrue)
	c.Assert(f.log.Calls() < 20, qt.IsTrue, qt.Commentf("%d calls", f.log.Calls()))
	c.Assert(ctx.Err(), qt.IsNil)
}

// Guards against records of another instance that this one counts and the readers of the log skip or count as something
// else, so that their ledgers differ.
func TestInvalidRecordsAreRefused(t *testing.T) {
	for _, params := range []string{
		`"settlements":[{"workspace":"w","program":"p","turn":"t","tokens":-50,"settled":true}]`,
		`"settlements":[{"workspace":"w","program":"","turn":"t","tokens":1,"settled":true}]`,
		`"settlements":[{"workspace":"w","program":"p","turn":"t","tokens":1}]`,
		`"reservations":[{"workspace":"w","program":"p","turn":"","tokens":1,"least":1,"budget":10}]`,
		`"reservations":[{"workspace":"w","program":"p","turn":"t","tokens":9223372036854775807,"least":1,"budget":10}]`,
		`"turns":["e30="]`,     // {}: no line end, so readers take it for a reservation
		`"turns":["eyJ9Cg=="]`, // malformed first line
	} {
		c := qt.New(t)
		s := newFleet(1).stores[0]
		_, err := s.Methods()["record"](context.Background(), json.RawMessage(`{"partition":{"Topic":"records-00","Part":0},"timeoutMs":900,`+params+`}`))
		c.Check(err, qt.ErrorMatches, ".*invalid record.*", qt.Commentf("%s", params))
	}
}

// slowFirstPage is a log whose reads from the beginning of a partition don't return while blocked is open.
type slowFirstPage struct {
	*partlogtest.Log
	began   chan struct{}
	blocked chan struct{}
}

// Read implements partlog.Log.
func (l slowFirstPage) Read(ctx context.Context, p partlog.Partition, from ids.Offset, wait time.Duration) (partlog.Page, error) {
	if from == 0 && strings.HasPrefix(p.Topic, "programs") {
		select {
		case l.began <- struct{}{}:
			<-l.blocked
		default:
		}
	}
	return l.Log.Read(ctx, p, from, wait)
}

// Guards against a search for an old turn, which reads a partition from its beginning, that stops the writes to the
// partition meanwhile.
func TestSearchDoesNotStopWrites(t *testing.T) {
	c := qt.New(t)
	log := slowFirstPage{Log: partlogtest.New(), began: make(chan struct{}), blocked: make(chan struct{})}
	s, other := newStore(log), newStore(log.Log)
	ctx, cancel := oneSecond()
	defer cancel()
	c.Assert(s.Put(ctx, programs.Turn{ID: "t", Program: program}), qt.IsNil)
	_, err := reserve(s, "r0", 100, 10)
	c.Assert(err, qt.IsNil)
	s.DropOld(time.Now().Add(time.Hour), time.Minute)
	searched := make(chan error)
	go func() {
		_, err := s.Chain(ctx, time.Now(), program, "unknown")
		searched <- err
	}()
	<-log.began
	_, err = reserve(other, "r1", 100, 10) // the next append of s conflicts
	c.Check(err, qt.IsNil)
	began := time.Now()
	_, err = reserve(s, "r2", 100, 40)
	c.Check(err, qt.IsNil)
	c.Check(time.Since(began) < 500*time.Millisecond, qt.IsTrue)
	close(log.blocked)
	c.Assert(<-searched, qt.ErrorIs, programs.ErrTurnNotFound)
}

// smallAppends is a log that takes at most 2 MiB in one append, as the platform's does.
type smallAppends struct{ *partlogtest.Log }

// Append implements partlog.Log.
func (l smallAppends) Append(ctx context.Context, p partlog.Partition, at ids.Offset, records ...[]byte) (ids.Offset, error) {
	size := 0
	for _, r := range records {
		size += len(r)
	}
	if size > 2<<20 {
		return 0, errors.New("the append is too large")
	}
	return l.Log.Append(ctx, p, at, records...)
}

// Guards against reservations and settlements that together exceed what the log takes at once, for instance after an
// outage, and are refused for ever.
func TestManyReservationsFitIntoAppends(t *testing.T) {
	c := qt.New(t)
	f := newFleet(2)
	for i := range f.stores {
		f.stores[i] = programs.New(programs.Config{
			Log: smallAppends{f.log}, Programs: partlog.Keyspace{Name: "records", Topics: 1, Parts: 1}, Leaders: member{f, i},
			WriteInterval: 20 * time.Millisecond, Now: time.Now, Logger: zap.NewNop(),
		})
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	const count = 600
	var tasks sync.WaitGroup
	for i := range count {
		tasks.Go(func() {
			key := account.Key{Workspace: "w", Program: ids.ProgramID(fmt.Sprint(i, strings.Repeat("p", 4000)))}
			r, err := f.stores[1].Reserve(ctx, programs.ReserveRequest{Key: key, Turn: fmt.Sprint("t", i), Budget: 100, Tokens: 10})
			if c.Check(err, qt.IsNil) {
				r.Settle(1)
			}
		})
	}
	tasks.Wait()
	f.stores[1].Flush(ctx)
	c.Assert(len(f.log.Records()), qt.Equals, 2*count)
}

// unavailable is the error of a call that was not sent because the log is unavailable.
var unavailable = errors.Join(partlog.ErrNotApplied, partlog.ErrUnavailable)
