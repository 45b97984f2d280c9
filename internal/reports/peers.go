package reports

import (
	"time"

	"github.com/comfreylink/comfreylink/internal/relay"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/leader"
)

// peer is another instance, as its last report describes it.
type peer struct {
	relay.Peer
	reportedAt time.Time
	leaving    bool
}

// AddressOf returns the address of another instance; ok is false if it is not known.
func (r *Reports) AddressOf(id ids.InstanceID) (address string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.peers[id]
	return p.Address, ok
}

// peerTimeout is how long an instance is still called after its last report. It is long because reports stop while the
// log is unavailable.
const peerTimeout = time.Minute

// Peers returns the other instances, and drops those whose last report is older than peerTimeout.
func (r *Reports) Peers() (l []relay.Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	for id, p := range r.peers {
		if now.Sub(p.reportedAt) > peerTimeout {
			delete(r.peers, id)
			continue
		}
		if id != r.Self.Instance {
			l = append(l, p.Peer)
		}
	}
	return l
}

// memberTimeout is how long after its last report an instance may still lead partitions. It is counted from the newest
// report of any instance, because all reports stop while the log is unavailable.
const memberTimeout = 4 * time.Second

// Members returns the instances that may lead partitions of the log: this one and the others that have reported recently
// and are not about to stop. An instance that is stopping does not lead either.
func (r *Reports) Members() (l []leader.Member) {
	if !r.Leaving() {
		self := r.Self
		self.ReachesLog = r.Reachable()
		l = append(l, newMember(self))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, p := range r.peers {
		if id != r.Self.Instance && !p.leaving && r.reportedAt.Sub(p.reportedAt) <= memberTimeout {
			l = append(l, newMember(p.Peer))
		}
	}
	return l
}

// newMember returns an instance as a member. One that reaches the log only through others leads if nobody else can.
func newMember(p relay.Peer) leader.Member {
	m := leader.Member{Candidate: leader.Candidate{Instance: p.Instance}, Address: p.Address, Zone: p.Zone}
	if p.ReachesLog {
		m.Weight = p.CPU
	}
	return m
}
