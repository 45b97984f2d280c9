package quota

import (
	"slices"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

const (
	// complaintTTL is how long after an instance's last report its complaints count. An instance repeats them in each report.
	complaintTTL = 4 * time.Second
	// answeredTTL is how long an instance that the owner has answered counts against complaints.
	answeredTTL = 2 * time.Second
	// minComplaints is the number of instances that must complain of an owner. One alone may be cut off itself.
	minComplaints = 2
	// slowTime is how long an instance must complain whose calls arrive. The owner is overloaded then, as the next one might be.
	slowTime = 4 * time.Second
	// answeredWeight is how many complaints one answered instance outweighs.
	answeredWeight = 2
	// minHold is how long a run keeps a shard that it has claimed, so that an overload does not move a shard faster than an owner
	// that has died.
	minHold = LeaseTime
	// yieldTime is how long a run that has released a shard because of complaints leaves it to others.
	yieldTime = LeaseTime
)

// Complaint says that a run's calls to the owner of a shard were not answered, also not through another instance.
type Complaint struct {
	Shard Shard
	// Claimed is the offset of the owner's claim. A complaint says nothing about later owners.
	Claimed ids.Offset
}

// votes are what other instances say of this run as the owner of a shard. They belong to the claim at one offset.
type votes struct {
	claimed  ids.Offset
	complain map[ids.InstanceID]complaining
	answered map[ids.InstanceID]time.Time // when this run answered its call last
	late     map[ids.InstanceID]time.Time // when it called last although it had no answer to the call before
}

// complaining is when the first and the last report that complains were read, without another one between.
type complaining struct{ since, at time.Time }

// votesOn returns the votes on a shard that this run owns, or nil.
func (l *Leases) votesOn(s Shard) *votes {
	o := l.owners[s]
	if o.run != l.self {
		return nil
	}
	v := l.votes[s]
	if v == nil || v.claimed != o.claimed {
		v = &votes{claimed: o.claimed, complain: make(map[ids.InstanceID]complaining), answered: make(map[ids.InstanceID]time.Time), late: make(map[ids.InstanceID]time.Time)}
		l.votes[s] = v
	}
	return v
}

// Answered notes that this run answers a call of another instance for tokens of a shard that it owns.
func (l *Leases) Answered(now time.Time, s Shard, caller ids.InstanceID) {
	if v := l.votesOn(s); v != nil && l.isMember(caller) {
		v.answered[caller] = now
	}
}

// CalledAgain notes that another instance calls for tokens of a shard that this run owns, and had no answer to its last call. The
// answer to this one may come too late as well.
func (l *Leases) CalledAgain(now time.Time, s Shard, caller ids.InstanceID) {
	if v := l.votesOn(s); v != nil && l.isMember(caller) {
		v.late[caller] = now
	}
}

func (l *Leases) isMember(id ids.InstanceID) bool {
	_, ok := l.members[id]
	return ok
}

// applyComplaints replaces the complaints of an instance about this run by those of its newest report.
func (l *Leases) applyComplaints(now time.Time, r Report) {
	if r.Run.Instance == l.self.Instance {
		return
	}
	for _, c := range r.Complaints {
		if v := l.votesOn(c.Shard); v != nil && v.claimed == c.Claimed {
			first, complains := v.complain[r.Run.Instance]
			if !complains {
				first.since = now
			}
			v.complain[r.Run.Instance] = complaining{since: first.since, at: now}
		}
	}
	for s, v := range l.votes {
		if !slices.Contains(r.Complaints, Complaint{Shard: s, Claimed: v.claimed}) {
			delete(v.complain, r.Run.Instance)
		}
	}
}

// GiveUp stops granting from the shards for which more than two thirds of the instances complain that this run has answered lately or
// that complain, and returns them. The next report releases them. A complaint counts also if the run believes to have answered: its
// answers may come too late. But if calls arrive, only one that lasts for slowTime counts.
func (l *Leases) GiveUp(now time.Time) (shards []Shard) {
	for s, v := range l.votes {
		o := l.owners[s]
		if o.run != l.self || o.claimed != v.claimed {
			delete(l.votes, s)
			continue
		}
		dropOlder(v.answered, now.Add(-answeredTTL))
		dropOlder(v.late, now.Add(-slowTime))
		complaints, answered := 0, 0
		for id, c := range v.complain {
			_, slow := v.late[id]
			switch {
			case now.Sub(c.at) > complaintTTL:
				delete(v.complain, id)
			case !slow || now.Sub(c.since) >= slowTime:
				complaints++
			}
		}
		for id := range v.answered {
			if _, complains := v.complain[id]; !complains {
				answered++
			}
		}
		if l.leaving || !o.owns() || now.Sub(o.since) < minHold || complaints < minComplaints || complaints <= answeredWeight*answered {
			continue
		}
		o.yielding = true
		l.owners[s] = o
		shards = append(shards, s)
	}
	slices.Sort(shards)
	return shards
}

func dropOlder(m map[ids.InstanceID]time.Time, oldest time.Time) {
	for id, at := range m {
		if at.Before(oldest) {
			delete(m, id)
		}
	}
}

// GivenUp reports whether this run has given up a shard that no other run has claimed since.
func (l *Leases) GivenUp(s Shard) bool {
	o := l.owners[s]
	return o.run == l.self && !o.owns()
}
