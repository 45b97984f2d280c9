package programs_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/programs"
)

// put writes a turn at an instance.
func (s *simulation) put(instance int, id call.ID, chain ...call.ID) {
	s.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	turn := programs.Turn{ID: id, Program: program, Chain: chain, Input: []byte(id), Output: []byte("answer\n")}
	s.Assert(s.store(instance).Put(ctx, turn), qt.IsNil)
}

// chain returns the chain of a turn at an instance.
func (s *simulation) chain(instance int, id call.ID) ([]*programs.Turn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
	defer cancel()
	return s.store(instance).Chain(ctx, time.Now().Add(s.instances[instance].offset), program, id)
}

// Guards against a turn that is reported missing because its leader has got it from another leader once more, dropped it from
// memory and does not read its own partition again.
func TestTurnFetchedFromAnotherLeaderIsReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 1, 2*simZones, 0)
		defer s.stop()
		time.Sleep(2 * time.Second)
		s.put(0, "t0")
		s.kill(0)
		s.start(0)
		time.Sleep(2 * time.Second)
		_, err := s.chain(1, "t0")
		s.Assert(err, qt.IsNil)
		s.put(1, "t1", "t0")
		time.Sleep(2 * time.Second)
		turns, err := s.chain(0, "t1") // from the leader in zone 1, which has both
		s.Assert(err, qt.IsNil)
		s.Assert(turns, qt.HasLen, 2)
		s.store(0).DropOld(time.Now().Add(time.Hour), turnRetention)
		for _, i := range []int{1, 3} { // the others that know t0
			s.kill(i)
			s.start(i)
		}
		turns, err = s.chain(5, "t1")
		s.Assert(err, qt.IsNil)
		s.Assert(turns, qt.HasLen, 2)
	})
}

// Guards against a turn that is reported missing because it was dropped from memory while it was looked up or read again.
func TestTurnDroppedDuringLookup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 1, 2*simZones, 0)
		defer s.stop()
		time.Sleep(2 * time.Second)
		for i := range 3 * pageRecords { // several pages
			s.put(0, call.ID(fmt.Sprint("t", i)))
		}
		leader := s.store(0)
		leader.DropOld(time.Now().Add(time.Hour), turnRetention)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for range 100 {
				time.Sleep(usualLatency / 4)
				leader.DropOld(time.Now().Add(time.Hour), turnRetention)
			}
		}()
		for range 3 {
			_, err := s.chain(5, "t0")
			s.Check(err, qt.IsNil)
		}
		<-ended
	})
}

// Guards against a turn that is refused in each try, because the second reading of its partition takes longer than a request
// waits, and begins anew each time.
func TestSlowSecondReadingGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 1, simZones, 0)
		defer s.stop()
		time.Sleep(2 * time.Second)
		for i := range 10 * pageRecords {
			s.put(0, call.ID(fmt.Sprint("t", i)))
		}
		for i := range simZones {
			s.store(i).DropOld(time.Now().Add(time.Hour), turnRetention)
		}
		s.set(func() { s.logLatency = 60 * usualLatency })
		late, tries := call.ID(fmt.Sprint("t", 9*pageRecords)), 0
		for err := errors.New("not tried"); err != nil && tries < 10; tries++ {
			_, err = s.chain(0, late)
		}
		s.Check(tries <= 5, qt.IsTrue, qt.Commentf("%d tries", tries))
	})
}
