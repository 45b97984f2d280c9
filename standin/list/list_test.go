package list

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a list that does not lag. Tests with it could not show how daemons handle outdated entries.
func TestAnswersShowEarlierState(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	l, cleanup := New(time.Second, func() time.Time { return now })
	defer cleanup()
	l.change("a", &Instance{ID: "a", State: "live"})
	c.Assert(l.at(now.Add(-l.lag)), qt.HasLen, 0)
	now = now.Add(time.Second)
	l.change("a", &Instance{ID: "a", State: "leaving"})
	c.Assert(l.at(now.Add(-l.lag))[0].State, qt.Equals, "live")
	now = now.Add(time.Second)
	l.change("a", nil)
	c.Assert(l.at(now.Add(-l.lag))[0].State, qt.Equals, "leaving")
	c.Assert(l.at(now), qt.HasLen, 0)
}
