package quota

import (
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Apply applies the report at the offset Next, read now. It returns the shards that this run has gained and lost.
func (l *Leases) Apply(now time.Time, r Report) (gained, lost []Shard) {
	at := l.next
	l.next++
	l.members[r.Run.Instance] = member{readAt: now, cpu: r.CPU, leaving: r.Leaving}
	l.applyComplaints(now, r)
	emptyAt, until := l.renew(r)
	owned := make(map[Shard]bool)
	for _, x := range r.Owned {
		owned[x.Shard] = true
		l.applyOwned(now, r, x)
	}
	for _, x := range r.Released {
		owned[x.Shard] = true
		l.applyReleased(now, r, x)
	}
	l.dropLost(r, owned)
	for _, s := range r.Claimed {
		switch l.judge(r, s) {
		case claimVoid:
			continue
		case claimUnknown:
			o := l.owners[s]
			o.certain, o.judged, o.readAt = false, l.next, now
			l.owners[s] = o
			continue
		}
		if last := l.owners[s]; last.run == l.self && last.released.IsZero() && r.Run != l.self {
			lost = append(lost, s)
		}
		o := owner{run: r.Run, claimed: at, certain: true, readAt: now, emptyAt: l.owners[s].emptyAt}
		if !l.knows(s) {
			o.emptyAt = now.Add(MaxAhead) // the release that the claim followed may not have been read
		}
		if r.Run == l.self {
			gained = append(gained, s)
			o.emptyAt, o.until, o.since = now, until, now
			if t, ok := emptyAt[s]; ok {
				o.emptyAt = t
			}
		}
		l.owners[s] = o
	}
	l.touch(at, r)
	return gained, lost
}

// touch notes that the report at an offset concerns the shards that it names.
func (l *Leases) touch(at ids.Offset, r Report) {
	note := func(s Shard) {
		o := l.owners[s]
		o.touched = at
		l.owners[s] = o
	}
	for _, x := range r.Owned {
		note(x.Shard)
	}
	for _, x := range r.Released {
		note(x.Shard)
	}
	for _, s := range r.Claimed {
		note(s)
	}
}

// verdict is what a reader knows of a claim.
type verdict int

const (
	claimValid verdict = iota
	claimVoid
	claimUnknown
)

// judge decides whether a claim of a shard, in the report that is being applied, is valid. Only the reports from the one on that
// its writer had not read decide, so all who have read these agree.
func (l *Leases) judge(r Report, s Shard) verdict {
	o, known := l.owners[s]
	switch {
	case known && o.touched >= r.Read:
		return claimVoid
	case r.Read < l.history:
		return claimUnknown
	default:
		return claimValid
	}
}

// believed reports whether a run that wrote a report about a shard had read the claims that this one has not or could not judge.
func (l *Leases) believed(r Report, s Shard) bool {
	return r.Read >= max(l.history, l.owners[s].judged)
}

// renew extends the leases of the own shards that the report names if it is an own one. It returns since when the shards that it
// claims were empty, and until when their leases last. A report that does not name a shard, because it was written before its
// claim was read, does not extend its lease: others may not have read the claim.
func (l *Leases) renew(r Report) (emptyAt map[Shard]time.Time, until time.Time) {
	if r.Run != l.self {
		return nil, until
	}
	sent, ok := l.sent[r.Seq]
	if !ok {
		return nil, until
	}
	delete(l.sent, r.Seq)
	until = sent.at.Add(LeaseTime)
	for _, x := range r.Owned {
		if o := l.owners[x.Shard]; o.run == l.self && o.claimed == x.Claimed && until.After(o.until) {
			o.until = until
			l.owners[x.Shard] = o
		}
	}
	return sent.emptyAt, until
}

// applyOwned applies that a run said that it owned a shard.
func (l *Leases) applyOwned(now time.Time, r Report, x Owned) {
	o := l.owners[x.Shard]
	if r.Run == l.self || x.Claimed < o.claimed || !o.released.IsZero() && x.Claimed == o.claimed {
		return
	}
	same := o.run == r.Run && o.claimed == x.Claimed
	emptyAt := now.Add(x.Debt)
	if same {
		emptyAt = o.emptyAt
	}
	l.owners[x.Shard] = owner{
		run: r.Run, claimed: x.Claimed, certain: same && o.certain || l.believed(r, x.Shard), judged: o.judged,
		readAt: now, emptyAt: emptyAt,
	}
}

// applyReleased applies that a run has released a shard.
func (l *Leases) applyReleased(now time.Time, r Report, x Owned) {
	o := l.owners[x.Shard]
	if x.Claimed < o.claimed || !o.released.IsZero() && x.Claimed == o.claimed {
		return
	}
	if r.Run == l.self && o.run != l.self {
		return // lost meanwhile, and the next report must not release it again
	}
	same := o.run == r.Run && o.claimed == x.Claimed
	l.owners[x.Shard] = owner{
		run: r.Run, claimed: x.Claimed, certain: same && o.certain || l.believed(r, x.Shard), judged: o.judged,
		readAt: now, released: now, emptyAt: now.Add(x.Debt),
	}
}

// dropLost notes which shards a run does not own any more. Its leases of them have ended, but another run may have claimed them.
func (l *Leases) dropLost(r Report, owned map[Shard]bool) {
	for s, o := range l.owners {
		// A report that was written before the run had read its own claim says nothing about it.
		if r.Run != l.self && o.run == r.Run && !owned[s] && r.Read > o.claimed && o.released.IsZero() {
			o.run, o.certain = Run{}, false
			l.owners[s] = o
		}
	}
}
