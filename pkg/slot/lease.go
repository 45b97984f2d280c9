package slot

import (
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// leaseMarginFraction is the part of a lease by which the owner stops earlier. The owner and the claimant measure the
// lease with different clocks. A twentieth covers clock rates that differ by up to 5%; those of virtual machines that slew
// their clocks differ by less than 0.1%.
const leaseMarginFraction = 20

// LeaseValid reports whether an owner may consider its lease valid. freshAt is the start of the last read that reached the
// end of the fleet stream and found this owner not suspected.
//
// A suspicion that the owner has not seen was appended after freshAt. The claimant waits one lease after it has read the
// suspicion, so it claims later than one lease after freshAt.
func LeaseValid(now, freshAt time.Time, lease time.Duration) bool {
	return !freshAt.IsZero() && now.Sub(freshAt) < lease-lease/leaseMarginFraction
}

// Lease records the read from which an owner's lease counts. The zero value is not valid.
type Lease struct {
	freshAt time.Time
}

// Observe records the start of a read that showed the table to be up to date. A read does not extend the lease while the
// writer is suspected, because claimants are already waiting for the lease to expire.
func (l *Lease) Observe(t *Table, w ids.WriterID, freshAt time.Time) {
	if _, suspected := t.Suspicion(w); !suspected && freshAt.After(l.freshAt) {
		l.freshAt = freshAt
	}
}

// Valid reports whether the lease is valid.
func (l *Lease) Valid(now time.Time, lease time.Duration) bool {
	return LeaseValid(now, l.freshAt, lease)
}
