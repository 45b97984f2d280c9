package programs_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/programs"
)

// Guards against a start of all instances in which each of them reads all records, because it does not know the leaders yet:
// the log's bandwidth is too small for that, so no turn and no budget is available for a long time.
func TestOnlyLeadersReadAfterStartOfAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances, turns = 5 * simZones, 300
		s := newSimulation(t, 1, instances, 0)
		defer s.stop()
		time.Sleep(2 * time.Second)
		for i := range turns {
			s.put(i%instances, call.ID(fmt.Sprint("t", i)))
		}
		for i := range instances {
			s.kill(i)
		}
		for i := range instances {
			s.start(i)
		}
		s.log.SetFault(nil) // counts from here
		found := make(chan error)
		for i := range instances {
			go func() {
				_, err := s.chain(i, call.ID(fmt.Sprint("t", i)))
				found <- err
			}()
		}
		for range instances {
			s.Check(<-found, qt.IsNil)
		}
		// Each partition is read by its leader, in pages, and for each search once more.
		most := turns/pageRecords + simPartitions*(2+instances)
		s.Check(s.log.Calls() <= most, qt.IsTrue, qt.Commentf("%d calls, want at most %d", s.log.Calls(), most))
	})
}

// Guards against a turn that was generated and is not kept because the partition's leader has just started: its first read of
// the partition takes longer than a write may, and only reservations need it.
func TestTurnsDoNotWaitForTheFirstRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const turns = 10 * pageRecords
		s := newSimulation(t, 1, simZones, 0)
		defer s.stop()
		time.Sleep(2 * time.Second)
		for i := range turns {
			s.put(s.programLeader(), call.ID(fmt.Sprint("t", i)))
		}
		for i := range simZones {
			s.kill(i)
		}
		s.set(func() { s.logLatency = 60 * usualLatency })
		for i := range simZones {
			s.start(i)
		}
		time.Sleep(reportDelay)
		ctx, cancel := context.WithTimeout(context.Background(), putTime)
		defer cancel()
		leader := s.programLeader()
		began := time.Now()
		reserved := make(chan error)
		go func() {
			_, err := s.store(leader).Reserve(ctx, programs.ReserveRequest{Key: program, Turn: "r", Budget: 100, Tokens: 40})
			reserved <- err
		}()
		time.Sleep(time.Millisecond)
		s.Check(s.store(leader).Put(ctx, programs.Turn{ID: "new", Program: program}), qt.IsNil)
		s.Check(time.Since(began) < time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
		<-reserved
	})
}

// programLeader returns the instance that leads the partition of the program, which is in its own zone.
func (s *simulation) programLeader() int {
	parts := partlog.Keyspace{Name: "records", Topics: 1, Parts: simPartitions}
	return parts.PartitionFor(string(program.Workspace) + "/" + string(program.Program)).Part
}
