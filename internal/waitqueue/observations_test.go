package waitqueue

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Guards against old sightings that replace newer ones or travel on for ever, and against messages without bound.
func TestSightings(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	lines := New(Options{Policy: "fair", Now: func() time.Time { return now }})
	lines.MergeLoadObservations(now, []LoadObservation{
		{Target: "a", Calls: 1, At: now.Add(-10 * time.Millisecond)},
		{Target: "b", Calls: 2, At: now.Add(-20 * time.Millisecond)},
		{Target: "old", Calls: 3, At: now.Add(-2 * sightingAge)},
	})
	lines.MergeLoadObservations(now, []LoadObservation{{Target: "a", Calls: 9, At: now.Add(-30 * time.Millisecond)}})
	c.Assert(lines.LoadObservations(now), qt.DeepEquals, []LoadObservation{
		{Target: "a", Calls: 1, At: now.Add(-10 * time.Millisecond)},
		{Target: "b", Calls: 2, At: now.Add(-20 * time.Millisecond)},
	})
	c.Assert(lines.LoadObservations(now.Add(time.Second)), qt.HasLen, 0)
	for n := range 3 * mostSightings {
		lines.saw(LoadObservation{Target: ids.TargetID(fmt.Sprint(n)), At: now})
	}
	c.Assert(lines.LoadObservations(now), qt.HasLen, mostSightings)
}
