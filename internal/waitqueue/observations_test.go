package waitqueue

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Guards against old observations that replace newer ones or are shared forever, and against messages of unlimited size.
func TestLoadObservations(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	queues := New(Options{Policy: "fair", Now: func() time.Time { return now }})
	queues.MergeLoadObservations(now, []LoadObservation{
		{Target: "a", Calls: 1, At: now.Add(-10 * time.Millisecond)},
		{Target: "b", Calls: 2, At: now.Add(-20 * time.Millisecond)},
		{Target: "old", Calls: 3, At: now.Add(-2 * maxObservationAge)},
	})
	queues.MergeLoadObservations(now, []LoadObservation{{Target: "a", Calls: 9, At: now.Add(-30 * time.Millisecond)}})
	c.Assert(queues.LoadObservations(now), qt.DeepEquals, []LoadObservation{
		{Target: "a", Calls: 1, At: now.Add(-10 * time.Millisecond)},
		{Target: "b", Calls: 2, At: now.Add(-20 * time.Millisecond)},
	})
	c.Assert(queues.LoadObservations(now.Add(time.Second)), qt.HasLen, 0)
	for n := range 3 * maxObservations {
		queues.recordLoad(LoadObservation{Target: ids.TargetID(fmt.Sprint(n)), At: now})
	}
	c.Assert(queues.LoadObservations(now), qt.HasLen, maxObservations)
}

// Guards against a count that hides a work time or makes it look newer than it is: an instance counts calls at each placement,
// but gets work times only with answers.
func TestWorkTimeKeepsItsOwnAge(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	ago := func(ms int) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	loads := loadObservations{}
	c.Assert(loads.add(LoadObservation{Target: "a", Calls: 1, At: ago(20), WorkTime: 2.4, WorkAt: ago(20)}), qt.IsTrue)
	c.Assert(loads.add(LoadObservation{Target: "a", Calls: 2, At: ago(10)}), qt.IsTrue)
	c.Assert(loads.add(LoadObservation{Target: "a", Calls: 9, At: ago(30), WorkTime: 9, WorkAt: ago(30)}), qt.IsFalse)
	c.Assert(loads.fresh(now), qt.DeepEquals, []LoadObservation{{Target: "a", Calls: 2, At: ago(10), WorkTime: 2.4, WorkAt: ago(20)}})
	c.Assert(loads.add(LoadObservation{Target: "a", Calls: 1, At: ago(15), WorkTime: 1.2, WorkAt: ago(15)}), qt.IsTrue)
	c.Assert(loads.fresh(now), qt.DeepEquals, []LoadObservation{{Target: "a", Calls: 2, At: ago(10), WorkTime: 1.2, WorkAt: ago(15)}})
}
