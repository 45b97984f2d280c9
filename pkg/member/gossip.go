package member

import (
	"math/bits"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

const (
	// minComparisonInterval and maxComparisonInterval bound the time between comparisons of all beliefs with another
	// instance. The interval doubles while comparisons bring nothing new, because two instances may disagree for long, for
	// example about an instance that only one of them remembers.
	minComparisonInterval = time.Second
	maxComparisonInterval = time.Minute
)

// belief is the part of the view of an instance that is sent to others.
type belief struct {
	writer  ids.WriterID
	suspect bool
	leaving bool
}

func (p *peer) belief() belief {
	return belief{writer: p.Writer, suspect: p.state() == Suspect, leaving: p.Leaving}
}

func (b belief) checksum() uint32 {
	checksum := uint32(xxhash.Sum64String(string(b.writer)))
	if b.suspect {
		checksum = bits.RotateLeft32(checksum, 8)
	}
	if b.leaving {
		checksum = bits.RotateLeft32(checksum, 16)
	}
	return checksum
}

func (v *View) ownBelief() belief { return belief{writer: v.self.Writer, leaving: v.self.Leaving} }

// queueIfChanged queues an update about a peer for the neighbors if the belief about it has changed.
func (v *View) queueIfChanged(p *peer, before belief) {
	if p.Writer != "" && p.belief() != before {
		v.queueUpdate(p.ID)
	}
}

// flush returns the messages that send the queued updates to the neighbors.
func (v *View) flush(now time.Time) (out []Message) {
	if len(v.queued) == 0 {
		return nil
	}
	var l []Update
	for id := range v.queued {
		if u, ok := v.update(now, id); ok {
			l = append(l, u)
		}
	}
	clear(v.queued)
	l = sortAndTruncate(l)
	for _, id := range v.neighbors {
		if len(l) > 0 && v.peers[id].state() != Suspect {
			out = append(out, Message{Kind: Gossip, From: v.id, To: id, Updates: l})
		}
	}
	return out
}

// allUpdates returns the beliefs about all instances whose run is known, including this one.
func (v *View) allUpdates(now time.Time) (l []Update) {
	for id := range v.peers {
		if u, ok := v.update(now, id); ok {
			l = append(l, u)
		}
	}
	if u, ok := v.update(now, v.id); ok {
		l = append(l, u)
	}
	return sortAndTruncate(l)
}

// sortAndTruncate sorts updates by writer and returns the first maxUpdates of them.
func sortAndTruncate(l []Update) []Update {
	slices.SortFunc(l, func(a, b Update) int { return strings.Compare(string(a.Writer), string(b.Writer)) })
	return l[:min(len(l), maxUpdates)]
}

// update returns the current belief about an instance; ok is false if its run is unknown.
func (v *View) update(now time.Time, id ids.InstanceID) (u Update, ok bool) {
	if id == v.id {
		return Update{Writer: v.self.Writer, Leaving: v.self.Leaving}, v.self.Writer != ""
	}
	p := v.peers[id]
	if p == nil || p.Writer == "" {
		return u, false
	}
	u = Update{Writer: p.Writer, Suspect: p.state() == Suspect, Leaving: p.Leaving, AgeMs: ids.Millis(now.Sub(p.aliveAt))}
	if u.Suspect {
		u.AgeMs = ids.Millis(now.Sub(p.suspectedAt))
	}
	return u, true
}

// checksum returns a checksum of all beliefs that does not depend on their order. It is never zero.
func (v *View) checksum() (checksum uint32) {
	checksum = v.ownBelief().checksum()
	for _, p := range v.peers {
		if p.Writer != "" {
			checksum ^= p.belief().checksum()
		}
	}
	return max(checksum, 1)
}

// applyBeliefs applies the beliefs that came with an Ack: all of its sender's, or none if the checksums were equal.
func (v *View) applyBeliefs(now, sent time.Time, l []Update) (out []Message) {
	if len(l) == 0 {
		return nil
	}
	before := len(v.queued)
	for _, u := range l[:min(len(l), maxUpdates)] {
		out = append(out, v.applyUpdate(now, sent, u)...)
	}
	v.comparisonInterval = min(max(2*v.comparisonInterval, minComparisonInterval), maxComparisonInterval)
	if len(v.queued) > before {
		v.comparisonInterval = minComparisonInterval
	}
	v.nextComparison = now.Add(v.comparisonInterval)
	return out
}

// applyUpdate applies an update that was sent at the given time or later. A suspicion counts only for the run that it
// names. An update about another run than the known one counts if its sign of life is newer than any of the known run. If
// a neighbor becomes suspected, applyUpdate returns a probe that checks the suspicion at once.
func (v *View) applyUpdate(now, sent time.Time, u Update) (out []Message) {
	id, _, _ := strings.Cut(string(u.Writer), "#")
	if u.Writer == "" || u.AgeMs < 0 {
		return nil
	}
	if ids.InstanceID(id) == v.id {
		if u.Suspect || u.Writer != v.self.Writer || u.Leaving != v.self.Leaving {
			v.queueUpdate(v.id)
		}
		return nil
	}
	p := v.peer(ids.InstanceID(id))
	before := p.belief()
	at := sent.Add(-time.Duration(u.AgeMs) * time.Millisecond)
	p.applyUpdate(at, u)
	if p.belief() == before {
		return nil
	}
	p.lastSeen = later(p.lastSeen, at)
	v.queueUpdate(p.ID)
	if p.state() == Suspect && slices.Contains(v.neighbors, p.ID) {
		return v.ProbeNow(now, p.ID)
	}
	return nil
}

// applyUpdate applies an update whose sign of life or suspicion has the given time.
func (p *peer) applyUpdate(at time.Time, u Update) {
	if p.Writer != "" && p.Writer != u.Writer {
		if u.Suspect || !at.After(p.aliveAt) {
			return
		}
		p.suspectedAt, p.aliveAt, p.Leaving = time.Time{}, time.Time{}, false
	}
	p.Writer = u.Writer
	p.Leaving = p.Leaving || u.Leaving
	if u.Suspect {
		p.suspectedAt = later(p.suspectedAt, at)
		return
	}
	p.aliveAt = later(p.aliveAt, at)
}
