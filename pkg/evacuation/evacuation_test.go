package evacuation_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/pkg/evacuation"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

var start = time.Unix(1000, 0)

// Guards against an evacuation that is announced again with each read, one that ends by itself, and a complete list that
// leaves a zone evacuated whose key was deleted.
func TestEvacuationLastsUntilRevoked(t *testing.T) {
	c := qt.New(t)
	z := evacuation.New()
	c.Assert(z.Seen(), qt.IsFalse)
	c.Assert(z.Evacuate("a"), qt.IsTrue)
	c.Assert(z.Evacuate("a"), qt.IsFalse)
	c.Assert(z.Evacuate("b"), qt.IsTrue)
	c.Assert(z.Missing([]ids.Zone{"b"}), qt.DeepEquals, []ids.Zone{"a"})
	c.Assert(z.Revoke(start, "a"), qt.IsTrue)
	c.Assert(z.Revoke(start, "a"), qt.IsFalse)
	c.Assert(z.Evacuated("a"), qt.IsFalse)
	c.Assert(z.Evacuated("b"), qt.IsTrue)
	c.Assert(z.All(), qt.DeepEquals, []ids.Zone{"b"})
}

// Guards against all instances sending to a target at the moment when the evacuation of its zone is revoked, and against
// instances that never use it again.
func TestInstancesReturnOneByOne(t *testing.T) {
	c := qt.New(t)
	const instances = 100
	sets := make([]*evacuation.Zones, instances)
	for i := range sets {
		sets[i] = evacuation.New()
		sets[i].Evacuate("a")
		sets[i].Revoke(start, "a")
	}
	using := func(after time.Duration) (n int) {
		for i, z := range sets {
			if !z.Returning(start.Add(after), "a", ids.InstanceID(fmt.Sprint("g", i)), "t") {
				n++
			}
		}
		return n
	}
	last := using(0)
	c.Assert(last <= 2, qt.IsTrue, qt.Commentf("%d at once", last))
	for after := evacuation.ReturnSpread / 10; after < evacuation.ReturnSpread; after += evacuation.ReturnSpread / 10 {
		n := using(after)
		c.Assert(n-last <= instances/4, qt.IsTrue, qt.Commentf("%d more at %s", n-last, after))
		last = n
	}
	c.Assert(using(evacuation.ReturnSpread), qt.Equals, instances)
}

// Guards against a new evacuation after a revocation that is mixed up with the return of targets.
func TestSecondEvacuation(t *testing.T) {
	c := qt.New(t)
	z := evacuation.New()
	z.Evacuate("a")
	z.Revoke(start, "a")
	c.Assert(z.Evacuate("a"), qt.IsTrue)
	c.Assert(z.Evacuated("a"), qt.IsTrue)
	c.Assert(z.Returning(start, "a", "g", "t"), qt.IsFalse, qt.Commentf("it is evacuated"))
}
