package quota

import (
	"slices"
	"strconv"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

const (
	// LeaseTime is how long an owner grants after it sent its last report. It is less than the age at which a configuration
	// is too old to accept its keys, so an unavailable log stops both at about the same time.
	LeaseTime = 4 * time.Second
	// claimMargin is added to LeaseTime before another instance claims, because clocks run at slightly different speeds.
	claimMargin = 100 * time.Millisecond
	// MaxAhead is the longest time that a token is granted ahead.
	MaxAhead = 1500 * time.Millisecond
	// noOffset is the offset of a partition of which nothing was read.
	noOffset ids.Offset = -1
)

// Run is one run of an instance's process.
type Run struct {
	Instance ids.InstanceID
	ID       string
}

// Owned is a shard and the offset of the report that claimed it for its owner.
type Owned struct {
	Shard   Shard
	Claimed ids.Offset
	// Debt is how long after the report tokens of earlier owners are still used, and those of the writer if it releases the
	// shard.
	Debt time.Duration
}

// Report is the part of an instance's report that concerns leases. Its offset in the log orders it among all reports.
type Report struct {
	Run Run
	// Seq numbers the reports of a run.
	Seq uint64
	// Read is the offset up to which the run had applied all reports when it wrote this one.
	Read ids.Offset
	// CPU is the instance's share of a core; 0 if that is not known.
	CPU float64
	// Leaving is set if the run is about to end. It claims nothing more.
	Leaving bool
	Owned   []Owned
	// Claimed are shards that the run owns from this report on, but for those that another report from Read on concerns: one that
	// claims the shard, or names it as owned or released.
	Claimed []Shard
	// Released are shards that the run owned and from which it grants nothing more.
	Released []Owned
	// Complaints are about owners that did not answer the run's calls.
	Complaints []Complaint
}

// Leases decides which instance owns which shard. All instances apply the same reports in the order of the log.
//
// An owner grants for LeaseTime after it sent a report that names the shard, once it has read that report back and found that it
// still owns the shard. Another instance claims the shard only after it has read no report of the owner for longer than that, or
// if the owner has released it, or if the owner was an earlier run on the same instance. The claim is void for all readers if a
// report that concerns the shard lies between what the claimant had read and the claim. So a shard never has two instances that
// grant, whatever happens to instances, their clocks and the log. Only the speed of clocks matters.
//
// A claim that a reader cannot judge, because it has not read all reports that its writer had not read, makes the shard's owner
// uncertain for that reader until a run that has read the claim says that it owns the shard.
//
// Leases is not safe for concurrent use.
type Leases struct {
	self  Run
	began time.Time // when this run began; earlier runs on the instance had ended

	next    ids.Offset // after the last report that was read
	history ids.Offset // from here on all reports were read
	readAt  time.Time  // when reading from history began
	owners  map[Shard]owner
	members map[ids.InstanceID]member

	seq     uint64
	sent    map[uint64]sentReport // own reports that were not read back
	leaving bool
	votes   map[Shard]*votes // on the own shards
}

// owner is what is known of a shard's owner.
type owner struct {
	run     Run // zero if the last owner does not own the shard any more and the next one is not known
	claimed ids.Offset
	// certain is set if all reports since the run was the owner were read.
	certain bool
	// touched is the offset of the last report that concerns the shard, also of a void claim or of a run that has lost the shard.
	touched ids.Offset
	// judged is the offset from which on statements are believed: after the last claim that could not be judged.
	judged ids.Offset
	readAt time.Time // when the last report was read after which a run may grant
	// until is when the lease of this run ends, if it is the owner.
	until    time.Time
	released time.Time // when its release was read; zero if it has not released the shard
	// since is when the claim of this run was read, if it is the owner. yielding is set if it grants nothing more and is about to
	// release the shard.
	since    time.Time
	yielding bool
	// emptyAt is when the tokens of earlier owners have been used, and those of the run itself if it has released the shard.
	emptyAt time.Time
}

// owns reports whether the owner has not begun to release the shard.
func (o owner) owns() bool { return !o.yielding && o.released.IsZero() }

// member is what an instance's last report says of it.
type member struct {
	readAt  time.Time
	cpu     float64
	leaving bool
}

// sentReport is an own report that was not read back. emptyAt holds, for the shards that it claims, when the tokens of earlier
// owners have been used.
type sentReport struct {
	at      time.Time
	emptyAt map[Shard]time.Time
}

// NewLeases returns the leases of a run that begins now and has read nothing.
func NewLeases(now time.Time, self Run) *Leases {
	return &Leases{
		self: self, began: now, next: noOffset, history: noOffset,
		owners: make(map[Shard]owner), members: make(map[ids.InstanceID]member), sent: make(map[uint64]sentReport),
		votes: make(map[Shard]*votes),
	}
}

// NewReport returns this run's next report, to be sent now.
func (l *Leases) NewReport(now time.Time) Report {
	for seq, s := range l.sent {
		if now.Sub(s.at) > LeaseTime {
			delete(l.sent, seq)
		}
	}
	l.seq++
	l.sent[l.seq] = sentReport{at: now}
	r := Report{Run: l.self, Seq: l.seq, Read: l.next, Leaving: l.leaving}
	for s, o := range l.owners {
		if o.run != l.self {
			continue
		}
		owned := Owned{Shard: s, Claimed: o.claimed, Debt: max(o.emptyAt.Sub(now), 0)}
		switch {
		case l.leaving || o.yielding:
			r.Released = append(r.Released, owned)
		case o.released.IsZero():
			r.Owned = append(r.Owned, owned)
		}
	}
	return r
}

// NewClaim returns a report that claims wanted shards that are free; ok is false if none is.
func (l *Leases) NewClaim(now time.Time, wanted []Shard) (r Report, ok bool) {
	emptyAt := make(map[Shard]time.Time)
	for _, s := range wanted {
		if free, ok := l.FreeAt(s); ok && !now.Before(free) {
			emptyAt[s] = l.emptyAt(s, free)
		}
	}
	if len(emptyAt) == 0 {
		return r, false
	}
	r = l.NewReport(now)
	// The debts of shards to release are not known here. The next report releases them.
	r.Owned, r.Released = append(r.Owned, r.Released...), nil
	l.sent[r.Seq] = sentReport{at: now, emptyAt: emptyAt}
	for s := range emptyAt {
		r.Claimed = append(r.Claimed, s)
	}
	return r, true
}

// knows reports whether all reports since a shard was claimed last were read.
func (l *Leases) knows(s Shard) bool {
	o, known := l.owners[s]
	return o.certain || !known && l.history == 0
}

// FreeAt returns from when on this run may claim a shard; ok is false if it may not. No other instance grants from the shard
// after that time, unless it claims it.
func (l *Leases) FreeAt(s Shard) (free time.Time, ok bool) {
	o, known := l.owners[s]
	if l.history == noOffset || l.leaving || o.run == l.self && o.released.IsZero() {
		return free, false
	}
	free = l.readAt
	switch {
	case o.certain && o.run == l.self:
		return o.released.Add(yieldTime), true
	case !known && l.history == 0:
		return l.began, true // no report has ever claimed it
	case o.certain && !o.released.IsZero():
		return o.released, true
	case o.certain && o.run.Instance == l.self.Instance:
		return l.began, true
	case o.readAt.After(free):
		free = o.readAt
	}
	return free.Add(LeaseTime + claimMargin), true
}

// emptyAt returns when the tokens of earlier owners of a shard that is free since a time have been used. No token is granted
// past the end of a lease, and those that an earlier run on this instance granted ahead are not confirmed any more.
func (l *Leases) emptyAt(s Shard, free time.Time) time.Time {
	if o := l.owners[s]; o.certain && o.emptyAt.After(free) {
		return o.emptyAt
	}
	return free
}

// Owner returns the instance that owns a shard, as far as this one knows.
func (l *Leases) Owner(s Shard) (id ids.InstanceID, ok bool) {
	o := l.owners[s]
	return o.run.Instance, o.run != Run{} && o.released.IsZero()
}

// Ownership describes what a run knows of a shard's owner.
type Ownership struct {
	Instance ids.InstanceID
	// Certain is set if all reports since the owner's claim were read.
	Certain bool
	// Claimed is the offset of the owner's claim. Released is set if it has released the shard.
	Claimed  ids.Offset
	Released bool
	// ReadAt is when the owner's last report was read; zero if none was.
	ReadAt time.Time
}

// Describe returns what this run knows of a shard's owner.
func (l *Leases) Describe(s Shard) Ownership {
	o := l.owners[s]
	return Ownership{Instance: o.run.Instance, Certain: o.certain, Claimed: o.claimed, Released: !o.released.IsZero(), ReadAt: o.readAt}
}

// Holds reports whether this run may grant from a shard now. The offset of its claim and the time at which the shard is
// empty, which may be to come, belong to its tokens.
func (l *Leases) Holds(now time.Time, s Shard) (claimed ids.Offset, emptyAt time.Time, ok bool) {
	o := l.owners[s]
	return o.claimed, o.emptyAt, o.run == l.self && o.owns() && !l.leaving && now.Before(o.until)
}

// Held returns the number of shards that this run owns, and when the last of their leases ends.
func (l *Leases) Held() (n int, validUntil time.Time) {
	for _, o := range l.owners {
		if o.run != l.self || !o.owns() {
			continue
		}
		n++
		if o.until.After(validUntil) {
			validUntil = o.until
		}
	}
	return n, validUntil
}

// ValidUntil returns when this run's lease of a shard that it owns ends.
func (l *Leases) ValidUntil(s Shard) time.Time { return l.owners[s].until }

// Leave makes this run grant and claim nothing more. Its next report releases its shards.
func (l *Leases) Leave() { l.leaving = true }

// Leaving reports whether Leave was called.
func (l *Leases) Leaving() bool { return l.leaving }

// Next returns the offset of the next report to read; ok is false before the first one.
func (l *Leases) Next() (next ids.Offset, ok bool) { return l.next, l.next != noOffset }

// Begin notes that reports are read from an offset on. If reports before it were not read, they may have claimed any
// shard, also those of this run.
func (l *Leases) Begin(now time.Time, from ids.Offset) {
	if l.next == from {
		return
	}
	l.next, l.history, l.readAt = from, from, now
	for s, o := range l.owners {
		if o.run == l.self {
			o.run = Run{}
		}
		o.certain = false
		l.owners[s] = o
	}
}

// Skip notes that the report at the offset Next is not readable.
func (l *Leases) Skip() { l.next++ }

// memberTimeout is how long after its last report an instance is asked to claim shards.
const memberTimeout = 4 * time.Second

// Candidates returns up to limit instances other than its owner that should claim a shard, in order. They differ between
// the parts of a workspace's limit. The stronger half comes first, because owners answer the calls of all instances. The order only
// spreads the shards; any instance may claim.
func (l *Leases) Candidates(now time.Time, s Shard, owner ids.InstanceID, limit int) (candidates []ids.InstanceID) {
	group := strconv.Itoa(s.group())
	for id, m := range l.members {
		if id != owner && !m.leaving && now.Sub(m.readAt) <= memberTimeout {
			candidates = append(candidates, id)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	slices.SortFunc(candidates, func(a, b ids.InstanceID) int {
		x, y := ids.Rendezvous(string(a), group), ids.Rendezvous(string(b), group)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	strong, weak := l.splitByCPU(candidates)
	first := s.part() % len(strong)
	candidates = slices.Concat(strong[first:], strong[:first], weak)
	return candidates[:min(len(candidates), limit)]
}

// splitByCPU splits instances into the stronger half, but at least one for each part of a limit, and the others. Both keep their order.
func (l *Leases) splitByCPU(list []ids.InstanceID) (strong, weak []ids.InstanceID) {
	var shares []float64
	for _, id := range list {
		shares = append(shares, l.members[id].cpu)
	}
	slices.Sort(shares)
	least := shares[max(min(len(shares)/2, len(shares)-Parts), 0)]
	for _, id := range list {
		if l.members[id].cpu >= least {
			strong = append(strong, id)
		} else {
			weak = append(weak, id)
		}
	}
	return strong, weak
}

// Members returns the number of instances that have reported in the last memberTimeout, and forgets the others.
func (l *Leases) Members(now time.Time) int {
	for id, m := range l.members {
		if now.Sub(m.readAt) > memberTimeout {
			delete(l.members, id)
		}
	}
	return len(l.members)
}
