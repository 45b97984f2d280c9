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

// Silence says since when a run does not answer.
type Silence struct {
	Writer ids.WriterID
	Since  time.Time
}

// SuspicionRead says when the deciding instance read a suspicion.
type SuspicionRead struct {
	Writer ids.WriterID
	At     ids.Position
	Read   time.Time
}

// ReleaseRead says when the deciding instance read that an epoch of a slot was released.
type ReleaseRead struct {
	Slot  ids.Slot
	Epoch ids.Epoch
	Read  time.Time
}

// View is what the deciding instance knows apart from the fleet stream.
type View struct {
	// Self is the deciding run.
	Self ids.WriterID
	// Live are the live runs, from probes and the instance list, without the leaving ones. They include Self.
	Live []Member
	// Silent are the runs that do not answer. They include owners that this instance knows only from the fleet stream,
	// since the time at which it first tried to reach them.
	Silent []Silence
	// Suspicions and Releases are when this instance read them; Reads collects both.
	Suspicions []SuspicionRead
	Releases   []ReleaseRead
	// Lease is the lease time.
	Lease time.Duration
	// SuspectAfter is how long an owner does not answer before it is suspected.
	SuspectAfter time.Duration
	// Stopping says that this instance is in a planned stop.
	Stopping bool
	// Drained are the slots whose calls have finished and whose budgets are settled, so that they can be released.
	// Decide releases no others.
	Drained []ids.Slot
	// Started is when this instance had read the fleet stream up to date and knew the instance list for the first time.
	Started time.Time
	// LastRebalance is when this instance last handed over a slot for rebalancing, or Started.
	LastRebalance time.Time
	// Pending are the records that this instance has submitted and not seen folded.
	Pending []record.Body
}

// InstanceOf returns the instance of a run.
func InstanceOf(w ids.WriterID) ids.InstanceID {
	id, _, _ := strings.Cut(string(w), "#")
	return ids.InstanceID(id)
}
