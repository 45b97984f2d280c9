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

// NoLogContactSince implements fleet.Members. Before the first read of the list, all is false because peers may be unknown.
func (m *Members) NoLogContactSince(now time.Time) (since time.Time, all bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listed.IsZero() {
		return time.Time{}, false
	}
	return m.view.NoContactSince(now)
}

// Admit returns why the configuration is fresh, or member.Stale.
func (m *Members) Admit(now time.Time, freshFor time.Duration) member.Basis {
	self := m.Describe(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.SetSelf(self)
	return m.view.Knowledge(now).Admit(now, freshFor)
}

// Knowledge returns the input of the admission rule.
func (m *Members) Knowledge(now time.Time) member.Knowledge {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Knowledge(now)
}

// Leave removes this instance from the members that Live returns.
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

// Address returns the address at which a run of an instance listens for peers. ok is false if the instance has another
// run or its address is unknown.
func (m *Members) Address(w ids.WriterID) (a peer.Address, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := slot.InstanceOf(w)
	if p := m.peers[id]; p.Writer != "" && p.Writer != w {
		return a, false
	}
	at, ok := m.endpoints[id]
	return at.address, ok
}

// AddressOf returns the address at which an instance listens for peers.
func (m *Members) AddressOf(id ids.InstanceID) (a peer.Address, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, ok := m.endpoints[id]
	return at.address, ok
}

// Ahead returns the addresses of the live peers whose last answers reported a newer configuration revision than r.
func (m *Members) Ahead(r ids.Revision) (all []peer.Address) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.view.Peers() {
		at, ok := m.endpoints[p.ID]
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

// Report describes one peer in a dump.
type Report struct {
	Instance ids.InstanceID `json:"instance"`
	Zone     ids.Zone       `json:"zone"`
	Writer   ids.WriterID   `json:"writer,omitempty"`
	Listed   bool           `json:"listed"`
	Leaving  bool           `json:"leaving,omitempty"`
	Suspect  bool           `json:"suspect,omitempty"`
	// Neighbor reports whether this instance probes the peer. It knows other peers from gossip.
	Neighbor bool `json:"neighbor,omitempty"`
	// ProbedMillis is the age of the last answered probe; -1 if there was none.
	ProbedMillis int64       `json:"probedMillis"`
	Info         member.Info `json:"info"`
}

// Reports describes all peers, sorted by instance.
func (m *Members) Reports(now time.Time) (all []Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	neighbors := m.view.Neighbors()
	for _, p := range m.view.Peers() {
		at := m.endpoints[p.ID]
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
