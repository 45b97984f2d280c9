// Package slot folds the fleet stream into its state: which run of an instance owns which slot, which owners are suspected,
// and which requests are quarantined. It also decides which records an instance appends to that stream. It has no sockets,
// goroutines or clock.
//
// An instance claims a free slot with the slot's next epoch. It takes a slot from another owner by first appending a
// suspicion and then, one lease after it has read the suspicion back, a claim that names the suspicion's position. The
// owner keeps the slot if it contradicts the suspicion before that.
package slot

import (
	"errors"
	"fmt"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// Reasons for which Apply rejects a record.
var (
	ErrWrongEpoch   = errors.New("epoch is not the next one")
	ErrOwned        = errors.New("slot is owned")
	ErrNotSuspected = errors.New("owner is not suspected at the named position")
	ErrSuspected    = errors.New("writer is suspected already")
	ErrNotOwner     = errors.New("writer does not own a slot")
	ErrNotWriter    = errors.New("record is in the name of another writer")
	ErrUnknownSlot  = errors.New("slot does not exist")
	ErrNoSuspicion  = errors.New("request is not suspected")
	ErrKnownDeath   = errors.New("target's death is counted already")
	ErrRecordType   = errors.New("unexpected record type")
)

// Ownership is the state of one slot.
type Ownership struct {
	// Owner is the run that owns the slot or owned it last; empty before the first claim.
	Owner ids.WriterID `json:"owner,omitempty"`
	// Epoch is the epoch of the last accepted claim; 0 before the first.
	Epoch ids.Epoch `json:"epoch"`
	// At is the position of that claim. Its offset is the fencing number of the owner's orders to targets.
	At ids.Position `json:"at"`
	// Released reports that Owner has released the slot.
	Released bool `json:"released,omitempty"`
	// Successor is the run that should claim a released slot without waiting for others; empty for none.
	Successor ids.WriterID `json:"successor,omitempty"`
}

// HeldBy reports whether a writer owns the slot in an epoch.
func (o Ownership) HeldBy(w ids.WriterID, e ids.Epoch) bool {
	return o.Owner == w && o.Epoch == e && !o.Released
}

// Suspicion is the suspicion of an owner that has not contradicted it. At is the position of its record.
type Suspicion struct {
	Writer ids.WriterID `json:"writer"`
	By     ids.WriterID `json:"by"`
	At     ids.Position `json:"at"`
}

// Table is the folded state of the fleet stream. It is not safe for concurrent use.
type Table struct {
	slots      []Ownership
	owned      map[ids.WriterID]int
	suspicions map[ids.WriterID]Suspicion
	requests   requests
}

// New returns the state before the first record, for slots 0 to count-1.
func New(count int) *Table {
	return &Table{
		slots:      make([]Ownership, count),
		owned:      make(map[ids.WriterID]int),
		suspicions: make(map[ids.WriterID]Suspicion),
	}
}

// Count returns the number of slots.
func (t *Table) Count() int { return len(t.slots) }

// Owner returns the state of a slot.
func (t *Table) Owner(s ids.Slot) Ownership {
	if s < 0 || int(s) >= len(t.slots) {
		return Ownership{}
	}
	return t.slots[s]
}

// Slots returns the slots that a writer owns, with their epochs, in ascending order.
func (t *Table) Slots(w ids.WriterID) []record.SlotEpoch {
	var owned []record.SlotEpoch
	for s, o := range t.slots {
		if o.HeldBy(w, o.Epoch) && w != "" {
			owned = append(owned, record.SlotEpoch{Slot: ids.Slot(s), Epoch: o.Epoch})
		}
	}
	return owned
}

// AcceptedSlots returns the slots of a claim that the claimant holds in the claimed epoch. Called right after the claim was
// folded, it returns the slots for which the claim was accepted.
func (t *Table) AcceptedSlots(c *record.Claim) []record.SlotEpoch {
	var accepted []record.SlotEpoch
	for _, s := range c.Slots {
		if t.Owner(s.Slot).HeldBy(c.Owner, s.Epoch) {
			accepted = append(accepted, s)
		}
	}
	return accepted
}

// Suspicion returns the suspicion of a writer, if there is one that the writer has not contradicted.
func (t *Table) Suspicion(w ids.WriterID) (Suspicion, bool) {
	s, ok := t.suspicions[w]
	return s, ok
}

// Apply folds one record of a writer. It returns an error that says why if it rejects the record, which then changes
// nothing. The slots of a claim or release are accepted or rejected one by one; the record is only rejected if all are.
func (t *Table) Apply(at ids.Position, w ids.WriterID, b record.Body) error {
	switch b := b.(type) {
	case *record.Claim:
		return t.applyClaim(at, w, b)
	case *record.Release:
		return t.applyRelease(w, b)
	case *record.Suspect:
		return t.applySuspect(at, w, b)
	case *record.Alive:
		return t.applyAlive(w, b)
	case *record.SuspectRequest:
		return t.requests.suspect(b)
	case *record.ClearRequest:
		return t.requests.clear(b)
	default:
		return fmt.Errorf("%w: %s in the fleet stream", ErrRecordType, b.Type())
	}
}

func (t *Table) applyClaim(at ids.Position, w ids.WriterID, c *record.Claim) error {
	if w != c.Owner {
		return fmt.Errorf("%w: claim for %s", ErrNotWriter, c.Owner)
	}
	return t.forEachSlot(c.Slots, func(s record.SlotEpoch) error {
		if err := t.checkClaim(s, c); err != nil {
			return err
		}
		t.setOwner(s.Slot, Ownership{Owner: w, Epoch: s.Epoch, At: at})
		return nil
	})
}

// forEachSlot calls apply for the slots of a record. It returns nil if one call succeeds, and otherwise all errors.
func (t *Table) forEachSlot(slots []record.SlotEpoch, apply func(record.SlotEpoch) error) error {
	var reasons []error
	for _, s := range slots {
		if s.Slot < 0 || int(s.Slot) >= len(t.slots) {
			reasons = append(reasons, fmt.Errorf("slot %d: %w", s.Slot, ErrUnknownSlot))
			continue
		}
		if err := apply(s); err != nil {
			reasons = append(reasons, fmt.Errorf("slot %d: %w", s.Slot, err))
		}
	}
	if len(reasons) < len(slots) {
		return nil
	}
	return errors.Join(reasons...)
}

func (t *Table) checkClaim(s record.SlotEpoch, c *record.Claim) error {
	o := t.slots[s.Slot]
	if s.Epoch != o.Epoch+1 {
		return fmt.Errorf("%w: %d after %d", ErrWrongEpoch, s.Epoch, o.Epoch)
	}
	if o.Owner == "" || o.Released {
		return nil
	}
	if c.SuspectedAt == nil {
		return fmt.Errorf("%w by %s", ErrOwned, o.Owner)
	}
	if suspicion, ok := t.suspicions[o.Owner]; !ok || suspicion.At != *c.SuspectedAt {
		return fmt.Errorf("%w: %s", ErrNotSuspected, o.Owner)
	}
	return nil
}

// setOwner replaces the state of a slot. The suspicion of a writer is deleted when the writer loses its last slot.
func (t *Table) setOwner(s ids.Slot, o Ownership) {
	before := t.slots[s]
	t.slots[s] = o
	if !o.Released {
		t.owned[o.Owner]++
	}
	if before.Owner == "" || before.Released {
		return
	}
	t.owned[before.Owner]--
	if t.owned[before.Owner] == 0 {
		delete(t.owned, before.Owner)
		delete(t.suspicions, before.Owner)
	}
}

func (t *Table) applyRelease(w ids.WriterID, r *record.Release) error {
	if w != r.Owner {
		return fmt.Errorf("%w: release for %s", ErrNotWriter, r.Owner)
	}
	return t.forEachSlot(r.Slots, func(s record.SlotEpoch) error {
		o := t.slots[s.Slot]
		if !o.HeldBy(w, s.Epoch) {
			return fmt.Errorf("%w: epoch %d", ErrNotOwner, s.Epoch)
		}
		o.Released, o.Successor = true, r.Successor
		t.setOwner(s.Slot, o)
		return nil
	})
}

func (t *Table) applySuspect(at ids.Position, w ids.WriterID, s *record.Suspect) error {
	if w != s.By {
		return fmt.Errorf("%w: suspicion by %s", ErrNotWriter, s.By)
	}
	if t.owned[s.Writer] == 0 {
		return fmt.Errorf("%w: %s", ErrNotOwner, s.Writer)
	}
	if earlier, ok := t.suspicions[s.Writer]; ok {
		return fmt.Errorf("%w: %s at offset %d", ErrSuspected, s.Writer, earlier.At.Offset)
	}
	t.suspicions[s.Writer] = Suspicion{Writer: s.Writer, By: s.By, At: at}
	return nil
}

func (t *Table) applyAlive(w ids.WriterID, a *record.Alive) error {
	if w != a.Writer {
		return fmt.Errorf("%w: alive of %s", ErrNotWriter, a.Writer)
	}
	if _, ok := t.suspicions[w]; !ok {
		return fmt.Errorf("%w: %s", ErrNotSuspected, w)
	}
	delete(t.suspicions, w)
	return nil
}
