package slot

import (
	"strings"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// Member is a run of an instance that is live in the view of the deciding instance.
type Member struct {
	Writer   ids.WriterID
	Instance ids.InstanceID
}

// UnresponsiveRun is a run that has not answered since the given time.
type UnresponsiveRun struct {
	Writer ids.WriterID
	Since  time.Time
}

// SuspicionRead is the time at which the deciding instance read a suspicion.
type SuspicionRead struct {
	Writer ids.WriterID
	At     ids.Position
	Read   time.Time
}

// ReleaseRead is the time at which the deciding instance read that an epoch of a slot was released.
type ReleaseRead struct {
	Slot  ids.Slot
	Epoch ids.Epoch
	Read  time.Time
}

// View is what the deciding instance knows besides the fleet stream.
type View struct {
	// Self is the deciding run.
	Self ids.WriterID
	// Live holds the live runs, from probes and the instance list, without the leaving ones. It includes Self.
	Live []Member
	// Unresponsive holds the runs that do not answer. It includes owners that this instance knows only from the fleet
	// stream, with the time at which it first found that they do not answer.
	Unresponsive []UnresponsiveRun
	// Suspicions and Releases hold the times at which this instance read them; Reads collects both.
	Suspicions []SuspicionRead
	Releases   []ReleaseRead
	// Lease is the lease time.
	Lease time.Duration
	// SuspectAfter is how long an owner must be unresponsive before it is suspected.
	SuspectAfter time.Duration
	// Stopping reports that this instance is in a planned stop.
	Stopping bool
	// Drained holds the slots whose calls have finished and whose budgets are settled, so that they can be released.
	// Decide releases no others.
	Drained []ids.Slot
	// Started is when this instance had first read the fleet stream to its end and knew the instance list.
	Started time.Time
	// LastRebalance is when this instance last chose a slot to hand over for rebalancing; Started if it never did.
	LastRebalance time.Time
	// Pending holds the records that this instance has submitted and not yet folded.
	Pending []record.Body
}

// InstanceOf returns the instance of a run.
func InstanceOf(w ids.WriterID) ids.InstanceID {
	id, _, _ := strings.Cut(string(w), "#")
	return ids.InstanceID(id)
}
