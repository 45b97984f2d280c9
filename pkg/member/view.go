package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

const (
	// maxRumors bounds the beliefs in a message; 1024 take about 90 KB.
	maxRumors = 1024
	// unlistedFor is how long an instance that is not listed is remembered after its last message.
	unlistedFor = 30 * time.Second
)

// State is what is believed of an instance.
type State int

// States of instances.
const (
	// Unprobed: neither contacted, nor heard of, nor suspected.
	Unprobed State = iota
	// Alive: answered here or at another instance, and was not suspected since.
	Alive
	// Suspect: did not answer direct and indirect probes, here or at another instance, and no sign of life is newer.
	Suspect
)

// Peer is the view of another instance.
type Peer struct {
	ID     ids.InstanceID
	Listed bool
	State  State
	// Writer is the newest run that is known, from its own answers or by rumor; empty if none is.
	Writer  ids.WriterID
	Leaving bool
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
	suspected time.Time // newest suspicion of the run, by probes or rumor
	alive     time.Time // newest sign that the run was alive, by answers or rumor
	seen      time.Time // last message of any kind
	doubted   time.Time // last probe because of a failed request
	wasListed bool      // listed now or before, so that it can be reached
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
	// Engaged keeps the instance from saying that it has no contact with the log, for reasons that LogContact does not
	// show.
	Engaged bool
	Load    int
	Leaving bool
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
	lastTick  time.Time
	bursts    int // since contact with the log was lost
	nextBurst time.Time
	round     []ids.InstanceID // instances still to be probed, in random order

	changes uint64
	news    map[ids.InstanceID]bool // changed beliefs that the neighbors were not told of yet
	nextSum time.Time               // when beliefs may be compared again
	sumWait time.Duration

	learned  time.Time // newest log contact of others whose revision this instance has
	pending  time.Time // newest one whose revision it lacks
	pendingR ids.Revision
	highest  ids.Revision // newest revision told of
}

// New returns a view without candidates. The random source orders the probes.
func New(id ids.InstanceID, o Options, random *rand.Rand) *View {
	return &View{
		opt: o, id: id, random: random, self: Self{Revision: ids.NoRevision}, peers: make(map[ids.InstanceID]*peer),
		probes: make(map[uint64]*probe), news: make(map[ids.InstanceID]bool), highest: ids.NoRevision, pendingR: ids.NoRevision,
	}
}

// SetSelf tells the view what this instance knows of itself.
func (v *View) SetSelf(s Self) {
	if s.Writer != v.self.Writer || s.Leaving != v.self.Leaving {
		v.note(v.id)
	}
	v.self = s
	v.highest = max(v.highest, s.Revision)
	if s.Revision >= v.pendingR && v.pending.After(v.learned) {
		v.learned = v.pending
	}
}

// NoContactSince returns the earliest of the times at which the others at the latest had no contact with the log by their
// own statements, if there is such a statement of each one that is listed or remembered. Without others it returns now.
//
// The time of a statement is the sending of the probe that it answered, so the instance had no contact at that time or
// later. Ages in digests are rounded up and count from the sending of the probe that the digest answered, so a statement
// that came over others only looks older.
func (v *View) NoContactSince(now time.Time) (since time.Time, all bool) {
	since = now
	for _, p := range v.peers {
		if v.withoutAge(now, p.ID) < 0 {
			return time.Time{}, false
		}
		if p.without.Before(since) {
			since = p.without
		}
	}
	return since, true
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
		p.Listed, p.wasListed = true, true
		p.Info.Zone = l.Zone
	}
	for id, p := range v.peers {
		if !p.Listed && (now.Sub(p.seen) > unlistedFor || p.state() == Suspect) {
			delete(v.peers, id)
		}
	}
	if v.nextProbe.IsZero() {
		v.nextProbe = now.Add(time.Duration(v.random.Float64() * float64(v.opt.SmallInterval))) // instances started together
	}
	v.changes++
	v.segments = segmentsOf(v.listed)
	v.neighbors = neighbors(v.id, v.listed)
	v.round = slices.DeleteFunc(v.round, func(id ids.InstanceID) bool { return v.peers[id] == nil })
}

// Peers returns the view of all other instances by id.
func (v *View) Peers() (l []Peer) {
	for _, p := range v.peers {
		q := p.Peer
		q.State = p.state()
		l = append(l, q)
	}
	slices.SortFunc(l, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	return l
}

// Changes counts the changes of the list and of what is believed of others, apart from the time and content of answers.
func (v *View) Changes() uint64 { return v.changes }

// note makes a change known to the neighbors with the next Tick.
func (v *View) note(id ids.InstanceID) {
	v.changes++
	v.news[id] = true
}

// Neighbors returns the instances that this one probes.
func (v *View) Neighbors() []ids.InstanceID { return v.neighbors }

// Knowledge returns what the admission rule needs.
func (v *View) Knowledge(now time.Time) Knowledge {
	k := Knowledge{
		Own: v.self.LogContact, Learned: v.learned, Revision: v.self.Revision, Highest: v.highest, Listed: len(v.listed),
	}
	for _, id := range v.listed {
		if age := v.withoutAge(now, id); age >= 0 && age <= v.opt.StatementTTL {
			k.NoContact++
		}
	}
	return k
}

// noContact reports whether the instance's own reads fail.
func (v *View) noContact(now time.Time) bool {
	return !v.self.Engaged && (v.self.LogContact.IsZero() || now.Sub(v.self.LogContact) > v.opt.NoContactAfter)
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

func (p *peer) state() State {
	switch {
	case p.suspected.After(p.alive):
		return Suspect
	case p.alive.IsZero():
		return Unprobed
	default:
		return Alive
	}
}
