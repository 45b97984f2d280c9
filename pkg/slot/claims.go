package slot

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// compareScores compares the rendezvous scores of two candidates. The writer decides between two runs of an instance.
func compareScores(a, b Member, key string) int {
	return cmp.Or(
		cmp.Compare(ids.Rendezvous(string(a.Instance), key), ids.Rendezvous(string(b.Instance), key)),
		cmp.Compare(a.Writer, b.Writer),
	)
}

// claims returns the claims of free slots, and of the slots of owners that have been suspected for a lease. For each
// slot the candidates wait for each other in the order of preference, so that usually one of them claims, but a slot
// does not stay free if the first does not.
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

// claimable returns the time from which a slot may be claimed, and the suspicion that the claim rests on.
func (d *decision) claimable(s ids.Slot) (from time.Time, suspectedAt *ids.Position, ok bool) {
	o := d.slots[s]
	switch {
	case o.Owner == "":
		// The instance needs time to learn of the others that start with it.
		return d.view.Started.Add(d.stagger()), nil, true
	case o.Released:
		return d.releaseRead(s, o)
	default:
		return d.suspicionRead(o.Owner)
	}
}

func (d *decision) releaseRead(s ids.Slot, o Ownership) (from time.Time, suspectedAt *ids.Position, ok bool) {
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

func (d *decision) suspicionRead(owner ids.WriterID) (from time.Time, suspectedAt *ids.Position, ok bool) {
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

func (d *decision) stagger() time.Duration { return d.view.Lease / staggerFraction }

// turnToClaim reports whether this instance's turn to claim a slot has come. A successor does not wait for others.
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
