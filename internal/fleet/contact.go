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
}

// observe takes over the start of the last up-to-date read.
func (c *contact) observe(now, fresh time.Time) {
	if !fresh.After(c.fresh) {
		return
	}
	if fresh.Sub(c.fresh) > contactLostAfter {
		c.regained = now
	}
	c.fresh = fresh
}

// lost reports whether there is no contact.
func (c *contact) lost(now time.Time) bool {
	return c.fresh.IsZero() || now.Sub(c.fresh) > contactLostAfter
}

// delay counts suspicions as read no earlier than contact was regained.
func (c *contact) delay(reads []slot.SuspicionRead) []slot.SuspicionRead {
	for i := range reads {
		if reads[i].Read.Before(c.regained) {
			reads[i].Read = c.regained
		}
	}
	return reads
}
