package pace_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/pkg/pace"
)

// appendsIn simulates instances that append as fast as their paces allow for a time. It counts the appends that are
// accepted and refused by a service that accepts up to limit appends within each second.
func appendsIn(paces []*pace.Pace, d time.Duration, limit int) (accepted, refused int) {
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
			return accepted, refused
		}
		inSecond[now.Unix()]++
		if inSecond[now.Unix()] > limit {
			refused++
			paces[first].Refused()
		} else {
			accepted++
			paces[first].Appended()
		}
		next[first] = now.Add(max(time.Millisecond, paces[first].Take(now)))
	}
}

// Guards against limiting a busy instance to its share while the others are idle. With a share of 20 appends per second
// for each of 24 instances, one instance could run only 10 non-idempotent requests per second.
func TestBusyInstanceUsesWhatOthersLeave(t *testing.T) {
	c := qt.New(t)
	accepted, _ := appendsIn([]*pace.Pace{pace.New(time.Unix(0, 0), 20)}, 20*time.Second, 480)
	c.Assert(accepted > 20*200, qt.IsTrue, qt.Commentf("%d appends in 20 s", accepted))
}

// Guards against busy instances that send so many appends that the service refuses a large part of them.
func TestBusyInstancesShareTheService(t *testing.T) {
	c := qt.New(t)
	var all []*pace.Pace
	for range 24 {
		all = append(all, pace.New(time.Unix(0, 0), 20))
	}
	accepted, refused := appendsIn(all, 60*time.Second, 480)
	c.Assert(accepted > 60*480*6/10, qt.IsTrue, qt.Commentf("%d appends in 60 s", accepted))
	c.Assert(refused < accepted/2, qt.IsTrue, qt.Commentf("%d refused, %d accepted", refused, accepted))
}

// Guards against an instance that keeps a high rate after a time without appends.
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

// Guards against more appends than the rate allows when several callers wait at the same time.
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
