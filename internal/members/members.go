// Package members polls the platform's instance list and exchanges the messages of member.View with the other daemons.
package members

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/comfreylink/comfreylink/internal/instancelist"
	"github.com/comfreylink/comfreylink/internal/peer"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/member"
	"github.com/comfreylink/comfreylink/pkg/slot"
)

const (
	// tickInterval is the precision of timeouts. Each instance delays gossip by half of it on average.
	tickInterval = 50 * time.Millisecond
	// sendTimeout is how long to wait for the answer to a message. When it expires, the connection is closed and the calls
	// on it end. On a busy machine, an answer may be late by hundreds of milliseconds.
	sendTimeout = time.Second
	// listTimeout is the minimum timeout for a read of the list.
	listTimeout = time.Second
	// senders bounds the messages in flight, and outboxSize those that wait. An instance sends a few a second. If many
	// peers do not answer, further messages are dropped, which has the effect of a message lost in the network.
	senders    = 16
	outboxSize = 256
)

// Lister reads the platform's instance list.
type Lister interface {
	List(ctx context.Context) (l []instancelist.Instance, err error)
}

// Peers sends calls to peers.
type Peers interface {
	Call(ctx context.Context, to peer.Address, m peer.Method, params, result any) error
	// Drop ends the calls to a peer that does not answer.
	Drop(to peer.Address)
}

// Config configures Members.
type Config struct {
	Self slot.Member
	// Interval is the time between reads of the list.
	Interval time.Duration
	List     Lister
	Peers    Peers
	// Describe returns this instance's own state. It is called without locks held.
	Describe func(now time.Time) member.Self
	Options  member.Options
	Logger   *zap.Logger
}

// endpoint is the address of an instance, with its zone and state, from the list.
type endpoint struct {
	address peer.Address
	zone    ids.Zone
	leaving bool
}

// Members is this instance's view of the fleet. Its methods may be called concurrently.
type Members struct {
	Config
	outbox chan member.Message

	mu        sync.Mutex // guards the fields below
	view      *member.View
	endpoints map[ids.InstanceID]endpoint
	targets   []instancelist.Instance
	listed    time.Time     // when the list was last read
	changed   chan struct{} // closed when there is a newer list
	leaving   bool
	dropped   int64 // messages dropped because the outbox was full

	// peers and live are copies from the view, made when its number of changes was seenChanges.
	peers       map[ids.InstanceID]member.Peer
	live        []slot.Member
	seenChanges uint64
}

// New returns Members that know of no peers until Run is called.
func New(c Config) *Members {
	return &Members{
		Config:    c,
		outbox:    make(chan member.Message, outboxSize),
		view:      member.New(c.Self.Instance, c.Options, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		endpoints: map[ids.InstanceID]endpoint{},
		changed:   make(chan struct{}),
		peers:     map[ids.InstanceID]member.Peer{},
	}
}

// Run polls the list and probes the neighbors until ctx ends.
func (m *Members) Run(ctx context.Context) error {
	var g errgroup.Group
	g.Go(func() error { every(ctx, m.Interval, m.poll); return nil })
	g.Go(func() error { every(ctx, tickInterval, m.tick); return nil })
	for range senders {
		g.Go(func() error { m.sendAll(ctx); return nil })
	}
	return g.Wait()
}

func every(ctx context.Context, interval time.Duration, f func(context.Context)) {
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

// poll reads the list. While the list is unavailable, the last one read stays in use.
func (m *Members) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, max(m.Interval, listTimeout))
	defer cancel()
	list, err := m.List.List(ctx)
	if err != nil {
		m.Logger.Debug("could not read the instance list", zap.Error(err))
		return
	}
	m.applyList(time.Now(), list)
}

// applyList applies a list that was read. Instances that are not in it keep their address while the view remembers them,
// because the list may lag.
func (m *Members) applyList(now time.Time, list []instancelist.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed = now
	m.targets = m.targets[:0:0]
	listed := []member.Listed{}
	for _, i := range list {
		if i.Kind == instancelist.Target {
			m.targets = append(m.targets, i)
			continue
		}
		id := ids.InstanceID(i.ID)
		listed = append(listed, member.Listed{ID: id, Zone: i.Zone})
		if id != m.Self.Instance {
			address := peer.Address{Instance: id, HostPort: i.Address}
			m.endpoints[id] = endpoint{address: address, zone: i.Zone, leaving: i.State == instancelist.Leaving}
		}
	}
	m.view.SetList(now, listed)
	m.refresh(now)
	for id := range m.endpoints {
		if _, ok := m.peers[id]; !ok {
			delete(m.endpoints, id)
		}
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// refresh copies the view's beliefs if they have changed, and returns the addresses of the instances that are newly
// suspected. The lock is held.
func (m *Members) refresh(now time.Time) (suspected []peer.Address) {
	if m.view.Changes() == m.seenChanges {
		return nil
	}
	m.seenChanges = m.view.Changes()
	before := m.peers
	m.peers, m.live = map[ids.InstanceID]member.Peer{}, nil
	for _, p := range m.view.Peers() {
		m.peers[p.ID] = p
		at, reachable := m.endpoints[p.ID]
		if reachable && p.State == member.Suspect && before[p.ID].State == member.Alive {
			suspected = append(suspected, at.address)
		}
		if reachable && p.State == member.Alive && p.Writer != "" && !p.Leaving && !at.leaving {
			m.live = append(m.live, slot.Member{Writer: p.Writer, Instance: p.ID})
		}
	}
	return suspected
}
