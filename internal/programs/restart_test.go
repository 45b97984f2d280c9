package programs_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/internal/call"
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
