package members

import (
	"slices"
	"time"

	"github.com/comfreylink/comfreylink/internal/instancelist"
	"github.com/comfreylink/comfreylink/internal/peer"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/member"
	"github.com/comfreylink/comfreylink/pkg/slot"
)

// LogLostSince implements fleet.Members. Before the first list, peers may be unknown, and nothing is said of all.
func (m *Members) LogLostSince(now time.Time) (since time.Time, all bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listed.IsZero() {
		return time.Time{}, false
	}
	return m.view.NoContactSince(now)
}

// Admit tells whether the configuration is fresh, and why.
func (m *Members) Admit(now time.Time, freshFor time.Duration) member.Basis {
	self := m.Describe(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.SetSelf(self)
	return m.view.Knowledge(now).Admit(now, freshFor)
}

// Knowledge returns what the admission rule rests on.
func (m *Members) Knowledge(now time.Time) member.Knowledge {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Knowledge(now)
}

// Leave takes this instance out of the live members that Live returns.
func (m *Members) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
}

// Live implements fleet.Members.
func (m *Members) Live(time.Time) (live []slot.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaving {
		return slices.Clone(m.live)
	}
	return append([]slot.Member{m.Self}, m.live...)
}

// Answers implements fleet.Members.
func (m *Members) Answers(_ time.Time, w ids.WriterID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[slot.InstanceOf(w)]
	return p.Writer == w && p.State == member.Alive
}

// Address returns where a run of an instance listens for peers.
func (m *Members) Address(w ids.WriterID) (a peer.Address, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := slot.InstanceOf(w)
	if p := m.peers[id]; p.Writer != "" && p.Writer != w {
		return a, false
	}
	at, ok := m.places[id]
	return at.address, ok
}

// AddressOf returns where an instance listens for peers.
func (m *Members) AddressOf(id ids.InstanceID) (a peer.Address, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, ok := m.places[id]
	return at.address, ok
}

// Ahead returns where the instances listen for peers whose last answers told of a newer configuration than a revision.
func (m *Members) Ahead(r ids.Revision) (all []peer.Address) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.view.Peers() {
		at, ok := m.places[p.ID]
		if ok && p.State == member.Alive && !p.LastContact.IsZero() && p.Info.Revision > r {
			all = append(all, at.address)
		}
	}
	return all
}

// Targets returns the targets of the last list, and a channel that is closed when there is a newer list.
func (m *Members) Targets() (targets []instancelist.Instance, changed <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.targets, m.changed
}

// Report is what is known of one peer, for dumps.
type Report struct {
	Instance ids.InstanceID `json:"instance"`
	Zone     ids.Zone       `json:"zone"`
	Writer   ids.WriterID   `json:"writer,omitempty"`
	Listed   bool           `json:"listed"`
	Leaving  bool           `json:"leaving,omitempty"`
	Suspect  bool           `json:"suspect,omitempty"`
	// Neighbor says that this instance probes the peer. Of others it knows what neighbors told.
	Neighbor bool `json:"neighbor,omitempty"`
	// ProbedMillis is the age of the last answered probe; -1 if there was none.
	ProbedMillis int64       `json:"probedMillis"`
	Info         member.Info `json:"info"`
}

// Reports returns what is known of all peers.
func (m *Members) Reports(now time.Time) (all []Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	neighbors := m.view.Neighbors()
	for _, p := range m.view.Peers() {
		at := m.places[p.ID]
		r := Report{
			Instance: p.ID, Zone: at.zone, Writer: p.Writer, Listed: p.Listed, Leaving: p.Leaving || at.leaving,
			Suspect: p.State == member.Suspect, Neighbor: slices.Contains(neighbors, p.ID), ProbedMillis: -1, Info: p.Info,
		}
		if !p.LastContact.IsZero() {
			r.ProbedMillis = ids.Millis(now.Sub(p.LastContact))
		}
		all = append(all, r)
	}
	return all
}
