// Package members follows the platform's instance list and probes the other daemons.
package members

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/comfreylink/comfreylink/internal/instancelist"
	"github.com/comfreylink/comfreylink/internal/peer"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/slot"
)

const (
	probeInterval = 500 * time.Millisecond
	probeTimeout  = time.Second
	// liveFor is how long a peer counts as live after its last answer: two probes may be lost.
	liveFor = 2 * time.Second
)

// Lister reads the platform's instance list.
type Lister interface {
	List(ctx context.Context) (l []instancelist.Instance, err error)
}

// Prober calls peers.
type Prober interface {
	Call(ctx context.Context, to peer.Address, m peer.Method, params, result any) error
	Drop(to peer.Address)
}

// Config configures Members.
type Config struct {
	Self     slot.Member
	Zone     ids.Zone
	Interval time.Duration
	List     Lister
	Peers    Prober
	// Describe returns what this instance tells about itself.
	Describe func(now time.Time) peer.Pong
	// Learned is told what a peer said.
	Learned func(now time.Time, from ids.InstanceID, p peer.Pong)
	Logger  *zap.Logger
}

type member struct {
	address peer.Address
	zone    ids.Zone
	leaving bool
	heard   time.Time
	sent    time.Time
	pong    peer.Pong
	// lostAsked is when the last answered probe was sent, if the answer said that the peer has no contact with the log.
	lostAsked time.Time
}

// Members is this instance's view of the fleet.
type Members struct {
	Config
	mu      sync.Mutex
	peers   map[ids.InstanceID]*member
	targets []instancelist.Instance
	listed  time.Time
	changed chan struct{}
	leaving bool
}

// New returns an empty view; Run fills it.
func New(c Config) *Members {
	return &Members{Config: c, peers: map[ids.InstanceID]*member{}, changed: make(chan struct{})}
}

// Run polls the list and probes the peers until ctx ends.
func (m *Members) Run(ctx context.Context) error {
	var g errgroup.Group
	g.Go(func() error { m.every(ctx, m.Interval, m.poll); return nil })
	g.Go(func() error { m.every(ctx, probeInterval, m.probeAll); return nil })
	return g.Wait()
}

func (m *Members) every(ctx context.Context, interval time.Duration, f func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		f(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// poll reads the list; while it is unavailable the last one stands.
func (m *Members) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, max(m.Interval, probeTimeout))
	defer cancel()
	list, err := m.List.List(ctx)
	if err != nil {
		m.Logger.Debug("read the instance list", zap.Error(err))
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed = time.Now()
	m.targets = m.targets[:0:0]
	known := map[ids.InstanceID]bool{}
	for _, i := range list {
		if i.Kind == instancelist.Target {
			m.targets = append(m.targets, i)
			continue
		}
		id := ids.InstanceID(i.ID)
		if id == m.Self.Instance {
			continue
		}
		known[id] = true
		p := m.peers[id]
		if p == nil {
			p = &member{}
			m.peers[id] = p
		}
		p.address, p.zone, p.leaving = peer.Address{Instance: id, HostPort: i.Address}, i.Zone, i.State == instancelist.Leaving
	}
	m.forgetGone(known)
	close(m.changed)
	m.changed = make(chan struct{})
}

// forgetGone drops peers that are no longer listed and no longer answer; the list lags, so one that answers stays.
func (m *Members) forgetGone(known map[ids.InstanceID]bool) {
	for id, p := range m.peers {
		if !known[id] && m.listed.Sub(p.heard) > liveFor {
			delete(m.peers, id)
		}
	}
}

func (m *Members) probeAll(ctx context.Context) {
	m.mu.Lock()
	due := make([]peer.Address, 0, len(m.peers))
	now := time.Now()
	for _, p := range m.peers {
		if now.Sub(p.sent) > probeTimeout || p.heard.After(p.sent) {
			p.sent = now
			due = append(due, p.address)
		}
	}
	m.mu.Unlock()
	for _, to := range due {
		go m.probe(ctx, to)
	}
}

func (m *Members) probe(ctx context.Context, to peer.Address) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var pong peer.Pong
	asked := time.Now()
	if err := m.Peers.Call(ctx, to, peer.MethodPing, m.Describe(time.Now()), &pong); err != nil {
		if ctx.Err() != nil {
			m.Peers.Drop(to)
		}
		return
	}
	m.mu.Lock()
	if p := m.peers[to.Instance]; p != nil {
		p.lostAsked = time.Time{}
		if pong.LogLost {
			p.lostAsked = asked
		}
	}
	m.mu.Unlock()
	m.Heard(time.Now(), to.Instance, pong)
}

// LogLostSince returns the earliest of the times at which the peers were asked for their contact with the log, if every
// peer has answered that it has none. Without peers it returns now.
func (m *Members) LogLostSince(now time.Time) (since time.Time, all bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	since = now
	for _, p := range m.peers {
		if p.lostAsked.IsZero() {
			return time.Time{}, false
		}
		if p.lostAsked.Before(since) {
			since = p.lostAsked
		}
	}
	return since, true
}

// Heard notes what a peer said, in an answer or in a probe of its own.
func (m *Members) Heard(now time.Time, from ids.InstanceID, p peer.Pong) {
	m.mu.Lock()
	if known := m.peers[from]; known != nil {
		known.heard, known.pong = now, p
	}
	m.mu.Unlock()
	m.Learned(now, from, p)
}

// Leave takes this instance out of the live members that Live returns.
func (m *Members) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
}

// Live implements fleet.Members.
func (m *Members) Live(now time.Time) (live []slot.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.leaving {
		live = append(live, m.Self)
	}
	for id, p := range m.peers {
		if !p.leaving && !p.pong.Leaving && now.Sub(p.heard) < liveFor {
			live = append(live, slot.Member{Writer: p.pong.Writer, Instance: id})
		}
	}
	return live
}

// Answers implements fleet.Members.
func (m *Members) Answers(now time.Time, w ids.WriterID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[slot.InstanceOf(w)]
	return p != nil && p.pong.Writer == w && now.Sub(p.heard) < liveFor
}

// Address returns where a run of an instance listens for peers.
func (m *Members) Address(w ids.WriterID) (a peer.Address, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[slot.InstanceOf(w)]
	if p == nil || p.pong.Writer != "" && p.pong.Writer != w {
		return a, false
	}
	return p.address, true
}

// AddressOf returns where an instance listens for peers.
func (m *Members) AddressOf(id ids.InstanceID) (a peer.Address, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[id]
	if p == nil {
		return a, false
	}
	return p.address, true
}

// Targets returns the targets of the last list, and a channel that is closed when there is a newer list.
func (m *Members) Targets() (targets []instancelist.Instance, changed <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.targets, m.changed
}

// Report is what is known of one peer, for dumps and for the admission rule.
type Report struct {
	Instance ids.InstanceID `json:"instance"`
	Zone     ids.Zone       `json:"zone"`
	Writer   ids.WriterID   `json:"writer,omitempty"`
	Leaving  bool           `json:"leaving,omitempty"`
	// HeardMillis is the age of the last answer; -1 if there was none.
	HeardMillis int64     `json:"heardMillis"`
	Pong        peer.Pong `json:"pong"`
}

// Reports returns what is known of all peers.
func (m *Members) Reports(now time.Time) (all []Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, p := range m.peers {
		r := Report{Instance: id, Zone: p.zone, Writer: p.pong.Writer, Leaving: p.leaving || p.pong.Leaving, HeardMillis: -1, Pong: p.pong}
		if !p.heard.IsZero() {
			r.HeardMillis = now.Sub(p.heard).Milliseconds()
		}
		all = append(all, r)
	}
	return all
}
