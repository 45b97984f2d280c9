package slot

import (
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// leaseMarginFraction is the part of a lease that the owner gives up at its end. The owner and the claimant measure one
// lease with different clocks; a twentieth covers clocks that differ in rate by up to 5%, while virtual machines that
// slew their clock stay below 0.1%.
const leaseMarginFraction = 20

// LeaseValid reports whether an owner may consider its lease valid. freshAt is the start of the last read of the fleet
// stream that showed it up to date and this owner not suspected.
//
// A suspicion that the owner has not seen was appended after freshAt, so the claimant, who waits one lease after it read
// the suspicion, claims later than one lease after freshAt.
func LeaseValid(now, freshAt time.Time, lease time.Duration) bool {
	return !freshAt.IsZero() && now.Sub(freshAt) < lease-lease/leaseMarginFraction
}

// Lease notes the read that an owner's lease counts from. The zero value is not valid.
type Lease struct {
	freshAt time.Time
}

// Observe notes the start of a read that showed the table up to date. It does not count while the writer is suspected,
// because the claimants are waiting for the end of the lease by then.
func (l *Lease) Observe(t *Table, w ids.WriterID, freshAt time.Time) {
	if _, suspected := t.Suspicion(w); !suspected && freshAt.After(l.freshAt) {
		l.freshAt = freshAt
	}
}

// Valid reports whether the lease is valid.
func (l *Lease) Valid(now time.Time, lease time.Duration) bool {
	return LeaseValid(now, l.freshAt, lease)
}
