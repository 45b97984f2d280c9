package logstore_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/standin/logstore"
)

// Guards against retention that keeps too much or too little, and against offsets that start again after it.
func TestRetention(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	s := logstore.NewStore(logstore.Options{Retention: 10 * time.Second, MaxEntries: 3})
	for i := range 5 {
		s.Append(start.Add(time.Duration(i)*time.Second), "s", []byte{byte(i)})
	}
	p, _ := s.Read(start.Add(4*time.Second), "s", 0, 100)
	c.Assert([]int64{p.Oldest, p.Next, int64(len(p.Entries))}, qt.DeepEquals, []int64{2, 5, 3})
	p, _ = s.Read(start.Add(13*time.Second), "s", 0, 100)
	c.Assert([]int64{p.Oldest, p.Next}, qt.DeepEquals, []int64{3, 5})
	p, _ = s.Read(start.Add(time.Hour), "s", 0, 100)
	c.Assert([]int64{p.Oldest, p.Next}, qt.DeepEquals, []int64{5, 5})
	offset, _ := s.Append(start.Add(time.Hour), "s", nil)
	c.Assert(offset, qt.Equals, int64(5))
}

// Guards against a rate limit that lets more appends through than it says, or none after a pause.
func TestAppendRate(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := logstore.NewStore(logstore.Options{AppendsPerSecond: 2})
	accepted := 0
	for i := range 30 { // three seconds after the first second's worth
		if _, ok := s.Append(now.Add(time.Duration(i)*100*time.Millisecond), "s", nil); ok {
			accepted++
		}
	}
	c.Assert(accepted, qt.Equals, 7)
}
