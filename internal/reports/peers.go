package reports

import (
	"time"

	"github.com/comfreylink/comfreylink/internal/relay"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// peer is another instance by its last report.
type peer struct {
	relay.Peer
	seen time.Time
}

// AddressOf returns where another instance is called.
func (r *Reports) AddressOf(id ids.InstanceID) (address string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.peers[id]
	return p.Address, ok
}

// peerKeep is how long an instance without reports may still be asked: reports stop while the log is away.
const peerKeep = time.Minute

// Peers returns the other instances.
func (r *Reports) Peers() (l []relay.Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	for id, p := range r.peers {
		if now.Sub(p.seen) > peerKeep {
			delete(r.peers, id)
			delete(r.runs, id)
			continue
		}
		if id != r.Self.Instance {
			l = append(l, p.Peer)
		}
	}
	return l
}
