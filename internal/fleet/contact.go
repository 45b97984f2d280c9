package fleet

import (
	"time"

	"github.com/comfreylink/comfreylink/pkg/slot"
)

// contactLostAfter is the age of the last up-to-date read of the fleet stream at which contact with the log counts as
// lost. It is above the time that a read waits for new entries.
const contactLostAfter = 3 * time.Second

// contact follows this instance's contact with the log. Owners without contact carry on as long as all their peers say
// that they have lost contact too; in return an instance that regains contact counts the wait before a claim anew.
type contact struct {
	fresh    time.Time
	regained time.Time
	// stated says that peers were told of lost contact and none was regained since. A read that began before such a
	// statement may still succeed after it, so the age of reads alone does not show that the wait must be counted anew.
	stated bool
}

// observe takes over the start of the last up-to-date read.
func (c *contact) observe(now, fresh time.Time) {
	if !fresh.After(c.fresh) {
		return
	}
	if c.stated || fresh.Sub(c.fresh) > contactLostAfter {
		c.regained = now
	}
	c.stated = false
	c.fresh = fresh
}

// state reports whether there is no contact, for a statement to peers.
func (c *contact) state(now time.Time) (lost bool) {
	lost = c.fresh.IsZero() || now.Sub(c.fresh) > contactLostAfter
	c.stated = c.stated || lost
	return lost
}

// delay counts suspicions as read no earlier than contact was regained. While it is lost, the wait does not pass.
func (c *contact) delay(now time.Time, reads []slot.SuspicionRead) []slot.SuspicionRead {
	from := c.regained
	if c.stated {
		from = now
	}
	for i := range reads {
		if reads[i].Read.Before(from) {
			reads[i].Read = from
		}
	}
	return reads
}
