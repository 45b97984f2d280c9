package grants

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/internal/waitqueue"
)

// Guards against messages that instances of earlier versions cannot read, or whose work times are lost or made up.
func TestLoadsOfOtherVersions(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	queues := waitqueue.New(waitqueue.Options{Policy: "fair", Now: func() time.Time { return now }})
	g := New(Config{Now: func() time.Time { return now }, Loads: queues})
	var received wireLoads
	c.Assert(json.Unmarshal([]byte(`{"old":[3,10],"new":[4,20,240,30],"later":[5,30,60,40,7]}`), &received), qt.IsNil)
	g.applyLoads(received)
	ago := func(ms int) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	c.Assert(queues.LoadObservations(now), qt.DeepEquals, []waitqueue.LoadObservation{
		{Target: "old", Calls: 3, At: ago(10)},
		{Target: "new", Calls: 4, At: ago(20), WorkTime: 2.4, WorkAt: ago(30)},
		{Target: "later", Calls: 5, At: ago(30), WorkTime: 0.6, WorkAt: ago(40)},
	})
	sent, err := json.Marshal(g.ownLoads())
	c.Assert(err, qt.IsNil)
	c.Assert(string(sent), qt.JSONEquals, map[string][]int{"old": {3, 10, 0, 0}, "new": {4, 20, 240, 30}, "later": {5, 30, 60, 40}})
	var earlier map[string][2]int // as earlier versions read it
	c.Assert(json.Unmarshal(sent, &earlier), qt.IsNil)
	c.Assert(earlier["new"], qt.Equals, [2]int{4, 20})
}
