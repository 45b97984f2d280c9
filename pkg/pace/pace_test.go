package pace_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/pkg/pace"
)

// appendsIn counts the appends that instances get through in a time, against a service that refuses above its own limit
// within each second.
func appendsIn(paces []*pace.Pace, d time.Duration, limit int) (taken, refused int) {
	start := time.Unix(0, 0)
	next := make([]time.Time, len(paces))
	for i := range next {
		next[i] = start
	}
	inSecond := map[int64]int{}
	for {
		first := 0
		for i := range next {
			if next[i].Before(next[first]) {
				first = i
			}
		}
		now := next[first]
		if now.Sub(start) >= d {
			return taken, refused
		}
		inSecond[now.Unix()]++
		if inSecond[now.Unix()] > limit {
			refused++
			paces[first].Refused()
		} else {
			taken++
			paces[first].Appended()
		}
		next[first] = now.Add(max(time.Millisecond, paces[first].Take(now)))
	}
}

// Guards against a busy instance being held to its share while the others are idle: 24 instances with 20 appends a second
// each left one with 10 non-idempotent requests a second.
func TestBusyInstanceUsesWhatOthersLeave(t *testing.T) {
	c := qt.New(t)
	taken, _ := appendsIn([]*pace.Pace{pace.New(time.Unix(0, 0), 20)}, 20*time.Second, 480)
	c.Assert(taken > 20*200, qt.IsTrue, qt.Commentf("%d appends in 20 s", taken))
}

// Guards against busy instances pushing the service into refusing a large part of the appends.
func TestBusyInstancesShareTheService(t *testing.T) {
	c := qt.New(t)
	var all []*pace.Pace
	for range 24 {
		all = append(all, pace.New(time.Unix(0, 0), 20))
	}
	taken, refused := appendsIn(all, 60*time.Second, 480)
	c.Assert(taken > 60*480*6/10, qt.IsTrue, qt.Commentf("%d appends in 60 s", taken))
	c.Assert(refused < taken/2, qt.IsTrue, qt.Commentf("%d refused, %d taken", refused, taken))
}

// Guards against an instance keeping a high rate that it needed long ago.
func TestRateReturnsToTheShare(t *testing.T) {
	c := qt.New(t)
	p := pace.New(time.Unix(0, 0), 20)
	now := time.Unix(0, 0)
	for range 1000 {
		now = now.Add(p.Take(now))
		p.Appended()
	}
	c.Assert(p.Rate() > 20, qt.IsTrue)
	p.Take(now.Add(time.Minute))
	c.Assert(p.Rate(), qt.Equals, 20.0)
}

// Guards against more appends than the rate, whoever waits for them.
func TestTakeSpacesAppends(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	p := pace.New(now, 10)
	for range 40 {
		c.Assert(p.Take(now), qt.Equals, time.Duration(0))
	}
	c.Assert(p.Take(now), qt.Equals, 100*time.Millisecond)
	c.Assert(p.Take(now), qt.Equals, 200*time.Millisecond)
	c.Assert(p.Take(now.Add(300*time.Millisecond)), qt.Equals, time.Duration(0))
	later := now.Add(time.Hour)
	for range 40 {
		c.Assert(p.Take(later), qt.Equals, time.Duration(0))
	}
	c.Assert(p.Take(later), qt.Equals, 100*time.Millisecond)
}
