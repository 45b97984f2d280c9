package rate

import (
	"errors"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// ErrNotOwner means that the workspace's slot is not open at this instance.
var ErrNotOwner = errors.New("the slot of the workspace is not owned here")

// Buckets holds the token buckets of the workspaces whose slots one instance owns.
type Buckets struct {
	slotCount int
	grantMax  time.Duration
	slots     map[ids.Slot]*slotBuckets
}

type slotBuckets struct {
	epoch   ids.Epoch
	opened  time.Time
	buckets map[ids.WorkspaceID]*Bucket
}

// NewBuckets returns a Buckets without open slots.
func NewBuckets(slotCount int, grantMax time.Duration) *Buckets {
	return &Buckets{slotCount: slotCount, grantMax: grantMax, slots: make(map[ids.Slot]*slotBuckets)}
}

// Open opens a slot for an epoch in which this instance owns it. The earlier owner must have stopped granting before
// now. A repeated call for the open epoch changes nothing.
func (k *Buckets) Open(now time.Time, s ids.Slot, e ids.Epoch) {
	if open := k.slots[s]; open != nil && open.epoch == e {
		return
	}
	k.slots[s] = &slotBuckets{epoch: e, opened: now, buckets: make(map[ids.WorkspaceID]*Bucket)}
}

// Close drops the buckets of a slot that another instance owns now.
func (k *Buckets) Close(s ids.Slot) { delete(k.slots, s) }

// Epoch returns the epoch of an open slot.
func (k *Buckets) Epoch(s ids.Slot) (e ids.Epoch, ok bool) {
	open := k.slots[s]
	if open == nil {
		return 0, false
	}
	return open.epoch, true
}

// Bucket returns the workspace's bucket, after setting its limit to l. The caller must have checked at now that the
// instance's lease is valid.
func (k *Buckets) Bucket(now time.Time, ws ids.WorkspaceID, l Limit) (b *Bucket, err error) {
	open := k.slots[ids.SlotOfWorkspace(ws, k.slotCount)]
	if open == nil {
		return nil, ErrNotOwner
	}
	if err := l.Validate(); err != nil {
		return nil, err
	}
	b = open.buckets[ws]
	if b == nil {
		// The workspace may have had a bucket that DropIdle dropped, which was full then. The new bucket is refilled as if
		// it had been empty when the slot was opened, and so never holds more than the dropped one would.
		b = New(open.opened, l, true, k.grantMax)
		b.seedIDs(now)
		open.buckets[ws] = b
	}
	if b.limit != l {
		b.Reconfigure(now, l)
	}
	b.advance(now)
	return b, nil
}

// Change replaces a workspace's limit as soon as the owner learns of the new one. Otherwise the bucket would refill at
// the earlier rate until its next use.
func (k *Buckets) Change(now time.Time, ws ids.WorkspaceID, before, after Limit) {
	if b, err := k.Bucket(now, ws, before); err == nil && after.Validate() == nil {
		b.Reconfigure(now, after)
	}
}

// DropIdle drops full buckets, so that memory is bounded by the workspaces in use.
func (k *Buckets) DropIdle(now time.Time) (dropped int) {
	for _, open := range k.slots {
		for ws, b := range open.buckets {
			if b.Idle(now) {
				delete(open.buckets, ws)
				dropped++
			}
		}
	}
	return dropped
}

// Len returns the number of buckets.
func (k *Buckets) Len() (n int) {
	for _, open := range k.slots {
		n += len(open.buckets)
	}
	return n
}
