package quota

import (
	"slices"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

const (
	// joinDelay is how long an instance must have been reporting before it grants. By that time all others have read its
	// first report, so they switch to it at the same time.
	joinDelay = 2500 * time.Millisecond
	// leaveDelay is how long a leaving instance still grants after it announced that it leaves, for the same reason.
	leaveDelay = 1200 * time.Millisecond
	// memberTimeout is how long an instance counts as a member after its last report.
	memberTimeout = 4 * time.Second
)

// Member is what an instance's reports say about its membership.
type Member struct {
	// First and Last are the times of its first and its last report, by its own clock.
	First, Last time.Time
	// Leaving is when it announced that it leaves; zero if it has not.
	Leaving time.Time
}

// Members is the set of the instances that report. It is not safe for concurrent use.
type Members struct {
	members map[ids.InstanceID]Member
}

// NewMembers returns an empty set.
func NewMembers() *Members { return &Members{members: make(map[ids.InstanceID]Member)} }

// Report applies an instance's report that was written at the time at by the instance's clock and read now. Clocks
// differ, so a report that is not older than memberTimeout counts as written now. The first report of a run counts by
// the writer's clock, so that all readers agree on its time, but not as later than now.
func (m *Members) Report(now, at time.Time, id ids.InstanceID, newRun, leaving bool) {
	e, known := m.members[id]
	if !known || newRun {
		e = Member{First: at}
		if at.After(now) {
			e.First = now
		}
	}
	if age := now.Sub(at); age < memberTimeout {
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

// DropOld drops instances whose last report is older than memberTimeout.
func (m *Members) DropOld(now time.Time) {
	for id, e := range m.members {
		if now.Sub(e.Last) > memberTimeout {
			delete(m.members, id)
		}
	}
}

// Granters returns up to limit instances that may grant a workspace's requests. Callers use the first one, and the others
// in order if it does not answer. Instances that have just joined or are leaving are included only if there are no others.
func (m *Members) Granters(now time.Time, ws ids.WorkspaceID, limit int) (l []ids.InstanceID) {
	for _, established := range []bool{true, false} {
		for id, e := range m.members {
			if e.established(now) == established {
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
	return l[:min(len(l), limit)]
}

func (e Member) established(now time.Time) bool {
	if now.Sub(e.Last) > memberTimeout || now.Sub(e.First) < joinDelay {
		return false
	}
	return e.Leaving.IsZero() || now.Sub(e.Leaving) < leaveDelay
}
