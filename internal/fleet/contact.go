package fleet

import (
	"time"

	"github.com/comfreylink/comfreylink/pkg/slot"
)

// contactLostAfter is the age of the last up-to-date read of the fleet stream above which contact with the log counts as
// lost. It exceeds the time for which a read waits for new entries.
const contactLostAfter = 3 * time.Second

// contact tracks this instance's contact with the log. Owners without contact keep their slots as long as all peers state
// that they have no contact either. In return, an instance that regains contact restarts the wait before it claims the
// slots of suspected owners.
type contact struct {
	fresh    time.Time // start of the last up-to-date read
	regained time.Time // when contact was last regained
	// declared is set once lost contact has been stated to peers, until contact is regained. A read that began before such
	// a statement may still succeed after it, so the age of reads alone does not show that the wait must restart.
	declared bool
}

// observe records the start of the last up-to-date read.
func (c *contact) observe(now, fresh time.Time) {
	if !fresh.After(c.fresh) {
		return
	}
	if c.declared || fresh.Sub(c.fresh) > contactLostAfter {
		c.regained = now
	}
	c.declared = false
	c.fresh = fresh
}

// declareLost reports whether contact is lost. If it is, declareLost records that this is stated to peers.
func (c *contact) declareLost(now time.Time) (lost bool) {
	lost = c.fresh.IsZero() || now.Sub(c.fresh) > contactLostAfter
	c.declared = c.declared || lost
	return lost
}

// delaySuspicions returns the suspicions with read times no earlier than the time at which contact was regained, or than
// now while contact is declared lost. The wait before a claim therefore restarts when contact is regained.
func (c *contact) delaySuspicions(now time.Time, reads []slot.SuspicionRead) []slot.SuspicionRead {
	from := c.regained
	if c.declared {
		from = now
	}
	for i := range reads {
		if reads[i].Read.Before(from) {
			reads[i].Read = from
		}
	}
	return reads
}
