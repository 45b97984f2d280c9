package breaker_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/pkg/breaker"
)

// Guards against sending every call to a dependency that is unavailable, and against never trying it again.
func TestBreaker(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var b breaker.Breaker
	c.Assert(b.Failed(now), qt.IsFalse)
	c.Assert(b.Allow(now), qt.IsTrue, qt.Commentf("one failure must not open the breaker"))
	c.Assert(b.Failed(now), qt.IsTrue)
	allowed := 0
	for i := range 1000 {
		if b.Allow(now.Add(time.Duration(i) * time.Millisecond)) {
			allowed++
		}
	}
	c.Assert(allowed, qt.Equals, 3)
	c.Assert(b.Succeeded(), qt.IsTrue)
	c.Assert(b.Allow(now), qt.IsTrue)
	c.Assert(b.Succeeded(), qt.IsFalse)
}
