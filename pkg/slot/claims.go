package slot

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// compareScores compares the rendezvous scores of two candidates. Two runs of one instance are ordered by writer id.
func compareScores(a, b Member, key string) int {
	return cmp.Or(
		cmp.Compare(ids.Rendezvous(string(a.Instance), key), ids.Rendezvous(string(b.Instance), key)),
		cmp.Compare(a.Writer, b.Writer),
	)
}

// claims returns the claims of free slots, and of the slots of owners that have been suspected for a lease. The
// candidates for a slot take turns in the order of preference. Usually only the first one claims, but the slot does not
// stay free if the first one fails to.
func (d *decision) claims() []record.Body {
	if d.view.Stopping {
		return nil
	}
	var claims []*record.Claim
	for i := range d.slots {
		s := ids.Slot(i)
		from, suspectedAt, ok := d.claimable(s)
		if !ok || slices.Contains(d.pendingSlots, s) || !d.turnToClaim(s, from) {
			continue
		}
		claims = addClaim(claims, d.view.Self, suspectedAt, record.SlotEpoch{Slot: s, Epoch: d.slots[i].Epoch + 1})
	}
	bodies := make([]record.Body, 0, len(claims))
	for _, c := range claims {
		bodies = append(bodies, c)
	}
	return bodies
}

// claimable returns the time from which a slot may be claimed, and the position of the suspicion that the claim must name,
// if any; ok is false if the slot cannot be claimed.
func (d *decision) claimable(s ids.Slot) (from time.Time, suspectedAt *ids.Position, ok bool) {
	o := d.slots[s]
	switch {
	case o.Owner == "":
		// The instance needs time to learn of the others that start at the same time.
		return d.view.Started.Add(d.stagger()), nil, true
	case o.Released:
		return d.claimableReleased(s, o)
	default:
		return d.claimableSuspected(o.Owner)
	}
}

// claimableReleased is claimable for a released slot. The successor need not wait.
func (d *decision) claimableReleased(s ids.Slot, o Ownership) (from time.Time, suspectedAt *ids.Position, ok bool) {
	i := slices.IndexFunc(d.view.Releases, func(r ReleaseRead) bool { return r.Slot == s && r.Epoch == o.Epoch })
	if i < 0 {
		return time.Time{}, nil, false
	}
	from = d.view.Releases[i].Read
	if o.Successor != d.view.Self {
		from = from.Add(d.stagger())
	}
	return from, nil, true
}

// claimableSuspected is claimable for the slots of a suspected owner. They may be claimed one lease after this instance
// read the suspicion.
func (d *decision) claimableSuspected(owner ids.WriterID) (from time.Time, suspectedAt *ids.Position, ok bool) {
	suspicion, suspected := d.suspicions[owner]
	if !suspected || owner == d.view.Self {
		return time.Time{}, nil, false
	}
	i := slices.IndexFunc(d.view.Suspicions, func(r SuspicionRead) bool {
		return r.Writer == owner && r.At == suspicion.At
	})
	if i < 0 {
		return time.Time{}, nil, false
	}
	at := suspicion.At
	return d.view.Suspicions[i].Read.Add(d.view.Lease), &at, true
}

// stagger returns the wait for each candidate that is preferred over this instance. It is also the wait after a start or a
// release before the first claim.
func (d *decision) stagger() time.Duration { return d.view.Lease / staggerFraction }

// turnToClaim reports whether it is this instance's turn to claim a slot that may be claimed from the given time on. A
// successor does not wait for others.
func (d *decision) turnToClaim(s ids.Slot, from time.Time) bool {
	rank, ok := d.rank(rendezvousKey(s))
	if !ok {
		return false
	}
	if o := d.slots[s]; o.Released && o.Successor == d.view.Self {
		rank = 0
	}
	return !d.now.Before(from.Add(time.Duration(rank) * d.stagger()))
}

// addClaim adds a slot to a claim with the same suspicion that has space left, or to a new one.
func addClaim(claims []*record.Claim, self ids.WriterID, at *ids.Position, s record.SlotEpoch) []*record.Claim {
	for _, c := range claims {
		if len(c.Slots) < maxSlotsPerRecord && equalPositions(c.SuspectedAt, at) {
			c.Slots = append(c.Slots, s)
			return claims
		}
	}
	return append(claims, &record.Claim{Owner: self, Slots: []record.SlotEpoch{s}, SuspectedAt: at})
}

func equalPositions(a, b *ids.Position) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}
