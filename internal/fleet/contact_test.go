package fleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/pkg/slot"
)

// Guards against a claim less than a lease after this instance stated to peers that it has no contact with the log. Owners
// rely on that statement. The read that regains contact may have begun before it.
func TestStatementDelaysClaims(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1_800_000_000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	read := func(ct *contact, now time.Time) time.Time {
		return ct.delaySuspicions(now, []slot.SuspicionRead{{Writer: "a#1", Read: start}})[0].Read
	}
	var ct contact
	ct.observe(at(0), at(0))
	ct.observe(at(2*time.Second), at(time.Second))
	c.Assert(ct.declareLost(at(2*time.Second)), qt.IsFalse)
	regained := ct.regained
	c.Assert(ct.declareLost(at(4200*time.Millisecond)), qt.IsTrue)
	c.Assert(read(&ct, at(9*time.Second)), qt.Equals, at(9*time.Second), qt.Commentf("the wait passes without contact"))
	ct.observe(at(9500*time.Millisecond), at(3900*time.Millisecond)) // a slow answer
	c.Assert(ct.regained, qt.Not(qt.Equals), regained)
	c.Assert(read(&ct, at(30*time.Second)), qt.Equals, at(9500*time.Millisecond))
	ct.observe(at(10*time.Second), at(6500*time.Millisecond))
	c.Assert(read(&ct, at(30*time.Second)), qt.Equals, at(9500*time.Millisecond))
}
