package programs_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/programs"
)

// Guards against a turn that is refused in each try while one leader cannot tell, although another one has it.
func TestTurnOfOneLeaderIsEnough(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 1, 2*simZones, 0)
		defer s.stop()
		time.Sleep(2 * time.Second)
		s.put(1, "t0")
		for _, i := range []int{1, 4} {
			s.kill(i)
			s.start(i)
		}
		time.Sleep(reportDelay)
		s.set(func() { s.logFails[0] = true }) // leads another partition
		for range 5 {
			turns, err := s.chain(2, "t0")
			s.Check(err, qt.IsNil)
			s.Check(turns, qt.HasLen, 1)
		}
		// One that reaches the log could rightly say that there is no such turn.
		s.set(func() {
			for i := range s.instances {
				s.logFails[i] = true
			}
		})
		_, err := s.chain(2, "never")
		s.Check(err, qt.IsNotNil)
		s.Check(errors.Is(err, programs.ErrTurnNotFound), qt.IsFalse)
	})
}

// Guards against a turn that is refused, or found only after others' silence was noticed, because leaders without power are
// asked too.
func TestSilentLeadersDoNotDelayTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 1, 2*simZones, 0)
		defer s.stop()
		time.Sleep(2 * time.Second)
		s.put(1, "t0")
		s.set(func() { s.instances[0].silent, s.instances[3].silent = true, true })
		began := time.Now()
		turns, err := s.chain(2, "t0")
		s.Check(err, qt.IsNil)
		s.Check(turns, qt.HasLen, 1)
		s.Check(time.Since(began) < 50*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
	})
}

// Guards against a turn that is found only after its leader's silence was noticed, by each instance anew, or never while two
// leaders of its partition are silent.
func TestTurnOfSilentLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 1, 3*simZones, 0)
		defer s.stop()
		time.Sleep(2 * time.Second)
		s.put(0, "t0")
		time.Sleep(2 * time.Second)
		s.set(func() { s.instances[0].silent = true })
		for _, i := range []int{1, 2, 4, 5} {
			began := time.Now()
			turns, err := s.chain(i, "t0")
			s.Check(err, qt.IsNil)
			s.Check(turns, qt.HasLen, 1)
			s.Check(time.Since(began) < 200*time.Millisecond, qt.IsTrue, qt.Commentf("instance %d: %v", i, time.Since(began)))
		}
		s.set(func() { s.instances[3].silent = true })
		tries := 0
		for err := errors.New("not tried"); err != nil && tries < 5; tries++ {
			_, err = s.chain(8, "t0")
		}
		s.Check(tries <= 2, qt.IsTrue, qt.Commentf("%d tries", tries))
	})
}

// Guards against a turn that is refused while its leader is refused by the log, although the next one could read it.
func TestTurnOfLeaderWithoutLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 1, 2*simZones, 0)
		defer s.stop()
		time.Sleep(2 * time.Second)
		s.put(0, "t0")
		for _, i := range []int{0, 3} {
			s.kill(i)
			s.start(i)
		}
		time.Sleep(reportDelay)
		s.set(func() { s.logFails[0], s.refused = true, true })
		turns, err := s.chain(5, "t0")
		s.Check(err, qt.IsNil)
		s.Check(turns, qt.HasLen, 1)
		_, err = s.chain(5, "never")
		s.Check(err, qt.ErrorIs, programs.ErrTurnNotFound)
		s.set(func() {
			for i := range s.instances {
				s.logFails[i] = true
			}
		})
		_, err = s.chain(5, "never")
		s.Check(err, qt.ErrorIs, partlog.ErrUnavailable)
		s.Check(errors.Is(err, programs.ErrTurnNotFound), qt.IsFalse)
	})
}
