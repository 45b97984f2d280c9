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
	// minSumWait and maxSumWait bound the time between comparisons of all beliefs. It doubles while they teach nothing:
	// two instances may disagree for long, for example about an instance that only one of them remembers.
	minSumWait = time.Second
	maxSumWait = time.Minute
)

// belief is the part of a view of an instance that others are told of.
type belief struct {
	writer  ids.WriterID
	suspect bool
	leaving bool
}

func (p *peer) belief() belief {
	return belief{writer: p.Writer, suspect: p.state() == Suspect, leaving: p.Leaving}
}

func (b belief) sum() uint32 {
	sum := uint32(xxhash.Sum64String(string(b.writer)))
	if b.suspect {
		sum = bits.RotateLeft32(sum, 8)
	}
	if b.leaving {
		sum = bits.RotateLeft32(sum, 16)
	}
	return sum
}

func (v *View) own() belief { return belief{writer: v.self.Writer, leaving: v.self.Leaving} }

// tellIfChanged notes that the neighbors are to be told of a peer.
func (v *View) tellIfChanged(p *peer, before belief) {
	if p.Writer != "" && p.belief() != before {
		v.note(p.ID)
	}
}

// flush returns the messages that tell the neighbors of changed beliefs.
func (v *View) flush(now time.Time) (out []Message) {
	if len(v.news) == 0 {
		return nil
	}
	var l []Update
	for id := range v.news {
		if r, ok := v.rumor(now, id); ok {
			l = append(l, r)
		}
	}
	clear(v.news)
	l = bounded(l)
	for _, id := range v.neighbors {
		if len(l) > 0 && v.peers[id].state() != Suspect {
			out = append(out, Message{Kind: Gossip, From: v.id, To: id, Updates: l})
		}
	}
	return out
}

// beliefs returns what is believed of all instances whose run is known, this one included.
func (v *View) beliefs(now time.Time) (l []Update) {
	for id := range v.peers {
		if r, ok := v.rumor(now, id); ok {
			l = append(l, r)
		}
	}
	if r, ok := v.rumor(now, v.id); ok {
		l = append(l, r)
	}
	return bounded(l)
}

func bounded(l []Update) []Update {
	slices.SortFunc(l, func(a, b Update) int { return strings.Compare(string(a.Writer), string(b.Writer)) })
	return l[:min(len(l), maxRumors)]
}

func (v *View) rumor(now time.Time, id ids.InstanceID) (r Update, ok bool) {
	if id == v.id {
		return Update{Writer: v.self.Writer, Leaving: v.self.Leaving}, v.self.Writer != ""
	}
	p := v.peers[id]
	if p == nil || p.Writer == "" {
		return r, false
	}
	r = Update{Writer: p.Writer, Suspect: p.state() == Suspect, Leaving: p.Leaving, AgeMs: ids.Millis(now.Sub(p.alive))}
	if r.Suspect {
		r.AgeMs = ids.Millis(now.Sub(p.suspected))
	}
	return r, true
}

// sum returns a checksum of the beliefs that does not depend on their order. It is never zero.
func (v *View) sum() (sum uint32) {
	sum = v.own().sum()
	for _, p := range v.peers {
		if p.Writer != "" {
			sum ^= p.belief().sum()
		}
	}
	return max(sum, 1)
}

// compared takes all beliefs of the sender of an Ack, or none if they are the same as here.
func (v *View) compared(now, sent time.Time, l []Update) (out []Message) {
	if len(l) == 0 {
		return nil
	}
	told := len(v.news)
	for _, r := range l[:min(len(l), maxRumors)] {
		out = append(out, v.hear(now, sent, r)...)
	}
	v.sumWait = min(max(2*v.sumWait, minSumWait), maxSumWait)
	if len(v.news) > told {
		v.sumWait = minSumWait
	}
	v.nextSum = now.Add(v.sumWait)
	return out
}

// hear takes what another instance believes, told at the given time or later. A suspicion counts for the run that it
// names; another run counts if the sign that it was alive is newer than any of the known one. A suspicion of a neighbor
// is checked by a probe at once.
func (v *View) hear(now, told time.Time, r Update) (out []Message) {
	id, _, _ := strings.Cut(string(r.Writer), "#")
	if r.Writer == "" || r.AgeMs < 0 {
		return nil
	}
	if ids.InstanceID(id) == v.id {
		if r.Suspect || r.Writer != v.self.Writer || r.Leaving != v.self.Leaving {
			v.note(v.id)
		}
		return nil
	}
	p := v.peer(ids.InstanceID(id))
	before := p.belief()
	at := told.Add(-time.Duration(r.AgeMs) * time.Millisecond)
	p.hear(at, r)
	if p.belief() == before {
		return nil
	}
	p.seen = later(p.seen, at)
	v.note(p.ID)
	if p.state() == Suspect && slices.Contains(v.neighbors, p.ID) {
		return v.ProbeNow(now, p.ID)
	}
	return nil
}

func (p *peer) hear(at time.Time, r Update) {
	if p.Writer != "" && p.Writer != r.Writer {
		if r.Suspect || !at.After(p.alive) {
			return
		}
		p.suspected, p.alive, p.Leaving = time.Time{}, time.Time{}, false
	}
	p.Writer = r.Writer
	p.Leaving = p.Leaving || r.Leaving
	if r.Suspect {
		p.suspected = later(p.suspected, at)
		return
	}
	p.alive = later(p.alive, at)
}
