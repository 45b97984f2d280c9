package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

const (
	// rumorFor is how long a suspicion by another counts. It is longer than a round of probes of 9 neighbors, after which
	// the suspicion is repeated or withdrawn.
	rumorFor = 20 * time.Second
	// maxRumors bounds a message; a zone's failure takes several messages to tell.
	maxRumors = 8
	// unlistedFor is how long an instance that is not listed is remembered after its last message.
	unlistedFor = 30 * time.Second
)

// State is what is believed of an instance.
type State int

// States of instances.
const (
	// Unprobed: listed, and neither contacted nor suspected.
	Unprobed State = iota
	// Alive: answered, and was not suspected since.
	Alive
	// Suspect: did not answer direct and indirect probes, here or at another instance.
	Suspect
)

// Peer is the view of another instance.
type Peer struct {
	ID     ids.InstanceID
	Listed bool
	State  State
	// LastContact is when the probe of the last answer was sent; zero if there was none.
	LastContact time.Time
	// Info is what the last answer carried.
	Info Info
}

// Listed is a candidate in the platform's list.
type Listed struct {
	ID   ids.InstanceID
	Zone ids.Zone
}

type peer struct {
	Peer
	suspected time.Time // newest suspicion, by probes or rumor; zero if contacted since
	seen      time.Time // last message of any kind
	without   time.Time // newest statement to have no contact with the log
	with      time.Time // newest statement to have contact
}

// Self is what an instance knows of itself.
type Self struct {
	Writer   ids.WriterID
	Zone     ids.Zone
	Revision ids.Revision
	// LogContact is the start of the last own read that showed the configuration up to date; zero if none.
	LogContact time.Time
	Load       int
	Leaving    bool
}

// View is one instance's view of the others.
type View struct {
	opt    Options
	id     ids.InstanceID
	random *rand.Rand
	self   Self

	peers     map[ids.InstanceID]*peer
	listed    []ids.InstanceID // itself included if listed
	segments  [segments]segment
	neighbors []ids.InstanceID

	probes    map[uint64]*probe
	lastSeq   uint64
	nextProbe time.Time
	round     []ids.InstanceID // neighbors still to be probed, in random order

	learned  time.Time // newest log contact of others whose revision this instance has
	pending  time.Time // newest one whose revision it lacks
	pendingR ids.Revision
	highest  ids.Revision // newest revision told of
}

// New returns a view without candidates. The random source orders the probes.
func New(id ids.InstanceID, o Options, random *rand.Rand) *View {
	return &View{
		opt: o, id: id, random: random, self: Self{Revision: ids.NoRevision}, peers: make(map[ids.InstanceID]*peer),
		probes: make(map[uint64]*probe), highest: ids.NoRevision, pendingR: ids.NoRevision,
	}
}

// SetSelf tells the view what this instance knows of itself.
func (v *View) SetSelf(s Self) {
	v.self = s
	v.highest = max(v.highest, s.Revision)
	if s.Revision >= v.pendingR && v.pending.After(v.learned) {
		v.learned = v.pending
	}
}

// SetList takes over the platform's list. Instances that are not in it are remembered while they send messages.
func (v *View) SetList(now time.Time, list []Listed) {
	for _, p := range v.peers {
		p.Listed = false
	}
	v.listed = v.listed[:0]
	for _, l := range list {
		v.listed = append(v.listed, l.ID)
		if l.ID == v.id {
			continue
		}
		p := v.peer(l.ID)
		p.Listed = true
		p.Info.Zone = l.Zone
	}
	for id, p := range v.peers {
		if !p.Listed && now.Sub(p.seen) > unlistedFor {
			delete(v.peers, id)
		}
	}
	if v.nextProbe.IsZero() {
		v.nextProbe = now.Add(time.Duration(v.random.Float64() * float64(v.opt.Interval))) // instances started together
	}
	v.segments = segmentsOf(v.listed)
	v.neighbors = neighbors(v.id, v.listed)
	v.round = slices.DeleteFunc(v.round, func(id ids.InstanceID) bool { return !slices.Contains(v.neighbors, id) })
}

// Peers returns the view of all other instances by id.
func (v *View) Peers(now time.Time) (l []Peer) {
	for _, p := range v.peers {
		q := p.Peer
		q.State = p.state(now)
		l = append(l, q)
	}
	slices.SortFunc(l, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	return l
}

// Neighbors returns the instances that this one probes.
func (v *View) Neighbors() []ids.InstanceID { return v.neighbors }

// Knowledge returns what the admission rule needs.
func (v *View) Knowledge(now time.Time) Knowledge {
	k := Knowledge{
		Own: v.self.LogContact, Learned: v.learned, Revision: v.self.Revision, Highest: v.highest, Listed: len(v.listed),
	}
	for _, id := range v.listed {
		if age := v.withoutAge(now, id); age >= 0 && age <= v.opt.StatementFor {
			k.Without++
		}
	}
	return k
}

// noContact reports whether the instance's own reads fail.
func (v *View) noContact(now time.Time) bool {
	return v.self.LogContact.IsZero() || now.Sub(v.self.LogContact) > v.opt.NoContactAfter
}

// withoutAge returns how long ago an instance said that it has no contact with the log; negative if it has not, or has
// contact again.
func (v *View) withoutAge(now time.Time, id ids.InstanceID) time.Duration {
	if id == v.id {
		if v.noContact(now) {
			return 0
		}
		return -1
	}
	p := v.peers[id]
	if p == nil || p.without.IsZero() || !p.without.After(p.with) {
		return -1
	}
	return now.Sub(p.without)
}

func (v *View) peer(id ids.InstanceID) *peer {
	p := v.peers[id]
	if p == nil {
		p = &peer{Peer: Peer{ID: id}}
		v.peers[id] = p
	}
	return p
}

func (p *peer) state(now time.Time) State {
	switch {
	case p.suspected.After(p.LastContact) && now.Sub(p.suspected) <= rumorFor:
		return Suspect
	case p.LastContact.IsZero():
		return Unprobed
	default:
		return Alive
	}
}
