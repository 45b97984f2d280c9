package reports

import (
	"time"

	"github.com/comfreylink/comfreylink/internal/relay"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// peer is another instance, as its last report describes it.
type peer struct {
	relay.Peer
	reportedAt time.Time
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
