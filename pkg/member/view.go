package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

const (
	// maxUpdates bounds the updates in a message; 1024 take about 90 KB.
	maxUpdates = 1024
	// unlistedTTL is how long an instance that is not listed is remembered after its last message.
	unlistedTTL = 30 * time.Second
)

// State is what the view says about whether an instance is alive.
type State int

// States of instances.
const (
	// Unprobed means that there is neither an answer nor a suspicion, from own probes or from updates.
	Unprobed State = iota
	// Alive means that the instance answered this one or another one and has not been suspected since.
	Alive
	// Suspect means that the instance did not answer direct and indirect probes of this instance or another one, and that
	// no answer is newer.
	Suspect
)

// Peer is the view of another instance.
type Peer struct {
	ID     ids.InstanceID
	Listed bool
	State  State
	// Writer is the newest run that is known, from its own answers or from updates; empty if none is.
	Writer  ids.WriterID
	Leaving bool
	// LastContact is when the last answered probe was sent; zero if there was none.
	LastContact time.Time
	// Info is the content of the last answer.
	Info Info
}

// Listed is an entry of the platform's instance list.
type Listed struct {
	ID   ids.InstanceID
	Zone ids.Zone
}

type peer struct {
	Peer
	suspectedAt  time.Time // newest suspicion of the run, by probes or updates
	aliveAt      time.Time // newest sign that the run was alive, by answers or updates
	lastSeen     time.Time // last message from the instance, or newest update that changed the belief about it
	lastProbeNow time.Time // last probe because of a failed request
	wasListed    bool      // listed now or before, so that its address is known
	noContactAt  time.Time // newest statement to have no contact with the log
	contactAt    time.Time // newest statement to have contact
}

// Self is an instance's own state.
type Self struct {
	Writer   ids.WriterID
	Zone     ids.Zone
	Revision ids.Revision
	// LogContact is the start of the instance's last read that showed its configuration to be up to date; zero if none.
	LogContact time.Time
	// SuppressNoContact prevents the statement that the instance has no contact with the log, however old LogContact is. It
	// is set, for example, while a claim that names a suspicion is being appended.
	SuppressNoContact bool
	Load              int
	Leaving           bool
}

// View is one instance's view of the others.
type View struct {
	opt    Options
	id     ids.InstanceID
	random *rand.Rand
	self   Self

	peers     map[ids.InstanceID]*peer
	listed    []ids.InstanceID // includes this instance if it is listed
	segments  [segments]segment
	neighbors []ids.InstanceID

	probes    map[uint64]*probe
	lastSeq   uint64
	nextProbe time.Time
	lastTick  time.Time
	bursts    int // number since contact with the log was lost
	nextBurst time.Time
	round     []ids.InstanceID // instances still to be probed in this round, in random order

	changes            uint64
	queued             map[ids.InstanceID]bool // changed beliefs that have not been sent to the neighbors yet
	nextComparison     time.Time               // when beliefs may be compared again
	comparisonInterval time.Duration

	peerContact     time.Time // newest log contact of a peer whose revision this instance has
	pendingContact  time.Time // newest log contact of a peer whose revision it still lacks
	pendingRevision ids.Revision
	highestRevision ids.Revision // newest revision that any peer reported
}

// New returns a view without candidates. The random source determines the order of probes.
func New(id ids.InstanceID, o Options, random *rand.Rand) *View {
	return &View{
		opt: o, id: id, random: random, self: Self{Revision: ids.NoRevision}, peers: make(map[ids.InstanceID]*peer),
		probes: make(map[uint64]*probe), queued: make(map[ids.InstanceID]bool),
		highestRevision: ids.NoRevision, pendingRevision: ids.NoRevision,
	}
}

// SetSelf sets this instance's own state.
func (v *View) SetSelf(s Self) {
	if s.Writer != v.self.Writer || s.Leaving != v.self.Leaving {
		v.queueUpdate(v.id)
	}
	v.self = s
	v.highestRevision = max(v.highestRevision, s.Revision)
	if s.Revision >= v.pendingRevision && v.pendingContact.After(v.peerContact) {
		v.peerContact = v.pendingContact
	}
}

// NoContactSince returns the oldest time among the newest statements of the other instances that they have no contact with
// the log; all is false unless each one that is listed or remembered has stated so and has not reported contact since.
// Without other instances it returns now.
//
// The time of a statement is that of sending the probe that it answered, so the instance had no contact at that time or
// later. Ages in digests are rounded up and count from the sending of the probe that the digest answered, so a statement
// that was passed on by others can only look older.
func (v *View) NoContactSince(now time.Time) (since time.Time, all bool) {
	since = now
	for _, p := range v.peers {
		if v.noContactAge(now, p.ID) < 0 {
			return time.Time{}, false
		}
		if p.noContactAt.Before(since) {
			since = p.noContactAt
		}
	}
	return since, true
}

// SetList applies the platform's instance list. Instances that are not in it are remembered until they are suspected or
// have sent nothing for unlistedTTL.
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
		if !p.Listed && (now.Sub(p.lastSeen) > unlistedTTL || p.state() == Suspect) {
			delete(v.peers, id)
		}
	}
	if v.nextProbe.IsZero() {
		v.nextProbe = now.Add(time.Duration(v.random.Float64() * float64(v.opt.SmallInterval))) // instances that start together probe at different times
	}
	v.changes++
	v.segments = segmentsOf(v.listed)
	v.neighbors = neighbors(v.id, v.listed)
	v.round = slices.DeleteFunc(v.round, func(id ids.InstanceID) bool { return v.peers[id] == nil })
}

// Peers returns the view of all other instances, sorted by id.
func (v *View) Peers() (l []Peer) {
	for _, p := range v.peers {
		q := p.Peer
		q.State = p.state()
		l = append(l, q)
	}
	slices.SortFunc(l, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	return l
}

// Changes returns the number of changes to the list and to beliefs so far. New times and contents of answers do not count.
func (v *View) Changes() uint64 { return v.changes }

// queueUpdate queues an update about an instance for the neighbors. The next Tick sends it.
func (v *View) queueUpdate(id ids.InstanceID) {
	v.changes++
	v.queued[id] = true
}

// Neighbors returns the instances that this one probes.
func (v *View) Neighbors() []ids.InstanceID { return v.neighbors }

// Knowledge returns the input of the admission rule.
func (v *View) Knowledge(now time.Time) Knowledge {
	k := Knowledge{
		OwnRead: v.self.LogContact, PeerRead: v.peerContact,
		Revision: v.self.Revision, HighestRevision: v.highestRevision, Listed: len(v.listed),
	}
	for _, id := range v.listed {
		if age := v.noContactAge(now, id); age >= 0 && age <= v.opt.StatementTTL {
			k.NoContact++
		}
	}
	return k
}

// noContact reports whether this instance states that it has no contact with the log, because its own reads fail.
func (v *View) noContact(now time.Time) bool {
	return !v.self.SuppressNoContact && (v.self.LogContact.IsZero() || now.Sub(v.self.LogContact) > v.opt.NoContactAfter)
}

// noContactAge returns how long ago an instance stated that it has no contact with the log. It is negative if there is no
// such statement or a newer one says that it has contact.
func (v *View) noContactAge(now time.Time, id ids.InstanceID) time.Duration {
	if id == v.id {
		if v.noContact(now) {
			return 0
		}
		return -1
	}
	p := v.peers[id]
	if p == nil || p.noContactAt.IsZero() || !p.noContactAt.After(p.contactAt) {
		return -1
	}
	return now.Sub(p.noContactAt)
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
	case p.suspectedAt.After(p.aliveAt):
		return Suspect
	case p.aliveAt.IsZero():
		return Unprobed
	default:
		return Alive
	}
}
