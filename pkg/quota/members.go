package quota

import (
	"slices"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

const (
	// joinDelay is how long an instance must have been reporting before it grants: until then all others have read its
	// first report, so that they change to it at the same time.
	joinDelay = 2500 * time.Millisecond
	// leaveDelay is how long after its notice an instance that leaves still grants, for the same reason.
	leaveDelay = 1200 * time.Millisecond
	// keepMember is how long an instance without reports is counted.
	keepMember = 4 * time.Second
)

// Member is an instance by its reports.
type Member struct {
	// First and Last are the times of its first and its last report, by its own clock.
	First, Last time.Time
	// Leaving is when it said that it leaves; zero if it did not.
	Leaving time.Time
}

// Members are the instances that report. It is not safe for concurrent use.
type Members struct {
	members map[ids.InstanceID]Member
}

// NewMembers returns an empty set.
func NewMembers() *Members { return &Members{members: make(map[ids.InstanceID]Member)} }

// Report takes over a report that was written at the time at by its instance's clock and read now. Clocks differ, so that
// a report that may be of the present counts as such; the first one counts by its writer's clock, as it does for all
// other readers.
func (m *Members) Report(now, at time.Time, id ids.InstanceID, newRun, leaving bool) {
	e, known := m.members[id]
	if !known || newRun {
		e = Member{First: at}
		if at.After(now) {
			e.First = now
		}
	}
	if age := now.Sub(at); age < keepMember {
		at = now
	}
	if at.After(e.Last) {
		e.Last = at
	}
	if leaving && e.Leaving.IsZero() {
		e.Leaving = at
	}
	m.members[id] = e
}

// Len returns the number of instances.
func (m *Members) Len() int { return len(m.members) }

// DropOld forgets instances that have not reported for long.
func (m *Members) DropOld(now time.Time) {
	for id, e := range m.members {
		if now.Sub(e.Last) > keepMember {
			delete(m.members, id)
		}
	}
}

// Granters returns the instances that may grant a workspace's requests: the first is to be asked, the others in order if
// it does not answer. Instances that have just begun or are leaving come in only if there are no others.
func (m *Members) Granters(now time.Time, ws ids.WorkspaceID, most int) (l []ids.InstanceID) {
	for _, settled := range []bool{true, false} {
		for id, e := range m.members {
			if e.settled(now) == settled {
				l = append(l, id)
			}
		}
		if len(l) > 0 {
			break
		}
	}
	slices.SortFunc(l, func(a, b ids.InstanceID) int {
		x, y := ids.Rendezvous(string(a), string(ws)), ids.Rendezvous(string(b), string(ws))
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	return l[:min(len(l), most)]
}

func (e Member) settled(now time.Time) bool {
	if now.Sub(e.Last) > keepMember || now.Sub(e.First) < joinDelay {
		return false
	}
	return e.Leaving.IsZero() || now.Sub(e.Leaving) < leaveDelay
}
