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
