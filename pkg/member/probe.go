package member

import (
	"slices"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// probe is a ping that was not answered yet.
type probe struct {
	target ids.InstanceID
	sent   time.Time
	// indirect is when helpers were asked; zero before.
	indirect time.Time
	// origin asked for the probe with its own seq; empty if the probe is this instance's own.
	origin    ids.InstanceID
	originSeq uint64
}

// Tick returns the messages to send now. Call it at least every 100 ms.
func (v *View) Tick(now time.Time) (out []Message) {
	seqs := make([]uint64, 0, len(v.probes))
	for seq := range v.probes {
		seqs = append(seqs, seq)
	}
	slices.Sort(seqs)
	for _, seq := range seqs {
		out = append(out, v.overdue(now, seq, v.probes[seq])...)
	}
	if now.Before(v.nextProbe) || len(v.neighbors) == 0 {
		return out
	}
	v.nextProbe = now.Add(v.opt.Interval)
	if v.noContact(now) {
		v.nextProbe = now.Add(v.opt.OutageInterval)
	}
	return append(out, v.ping(probe{target: v.next(), sent: now}))
}

// next returns the neighbor to probe: all of them in a random order, then all in another.
func (v *View) next() (id ids.InstanceID) {
	if len(v.round) == 0 {
		v.round = slices.Clone(v.neighbors)
		v.random.Shuffle(len(v.round), func(i, j int) { v.round[i], v.round[j] = v.round[j], v.round[i] })
	}
	id, v.round = v.round[0], v.round[1:]
	return id
}

func (v *View) ping(p probe) Message {
	v.lastSeq++
	v.probes[v.lastSeq] = &p
	return Message{Kind: Ping, From: v.id, To: p.target, Seq: v.lastSeq}
}

// overdue asks helpers for a probe that was not answered in time, and suspects its target when they fail too.
func (v *View) overdue(now time.Time, seq uint64, p *probe) (out []Message) {
	switch {
	case p.indirect.IsZero() && now.Sub(p.sent) < v.opt.Timeout:
		return nil
	case p.origin != "":
		delete(v.probes, seq)
		return nil
	case p.indirect.IsZero():
		p.indirect = now
		for _, id := range v.helpers(now, p.target) {
			out = append(out, Message{Kind: PingRequest, From: v.id, To: id, Seq: seq, Target: p.target})
		}
		return out
	case now.Sub(p.indirect) < 2*v.opt.Timeout:
		return nil
	}
	delete(v.probes, seq)
	if t := v.peers[p.target]; t != nil {
		t.suspected = now
	}
	return nil
}

// helpers returns instances that are believed alive, in random order.
func (v *View) helpers(now time.Time, target ids.InstanceID) (l []ids.InstanceID) {
	for _, id := range v.neighbors {
		if p := v.peers[id]; id != target && p != nil && p.state(now) != Suspect {
			l = append(l, id)
		}
	}
	v.random.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	return l[:min(len(l), v.opt.Helpers)]
}

// Receive takes a message and returns the messages to send in turn. The caller has checked that From is the sender.
func (v *View) Receive(now time.Time, m Message) (out []Message) {
	if m.From == v.id || m.From == "" {
		return nil
	}
	v.peer(m.From).seen = now
	switch m.Kind {
	case Ping:
		return []Message{v.ack(now, m)}
	case PingRequest:
		if m.Target == "" || m.Target == v.id {
			return []Message{v.ack(now, m)}
		}
		return []Message{v.ping(probe{target: m.Target, sent: now, origin: m.From, originSeq: m.Seq})}
	case Ack:
		return v.answered(now, m)
	}
	return nil
}

func (v *View) ack(now time.Time, m Message) Message {
	a := Message{Kind: Ack, From: v.id, To: m.From, Seq: m.Seq, Target: v.id, Info: v.info(now), Rumors: v.rumors(now)}
	if v.noContact(now) {
		a.WithoutLog = encodeDigest(&v.segments, func(id ids.InstanceID) time.Duration { return v.withoutAge(now, id) })
	}
	return a
}

// answered takes the answer to a probe. An answer that a helper sends on carries the target's info and no rumors.
func (v *View) answered(now time.Time, m Message) (out []Message) {
	p := v.probes[m.Seq]
	if p == nil || p.target != m.Target || m.Info == nil {
		return nil
	}
	delete(v.probes, m.Seq)
	if p.origin != "" {
		out = append(out, Message{Kind: Ack, From: v.id, To: p.origin, Seq: p.originSeq, Target: m.Target, Info: m.Info})
	}
	t := v.peer(m.Target)
	t.seen = now
	t.LastContact, t.Info = p.sent, *m.Info
	v.learn(p.sent, t, *m.Info)
	if m.From != m.Target {
		return out
	}
	for _, r := range m.Rumors[:min(len(m.Rumors), maxRumors)] {
		v.hear(p.sent, r)
	}
	decodeDigest(&v.segments, m.WithoutLog, func(id ids.InstanceID, age time.Duration) {
		if o := v.peers[id]; o != nil && p.sent.Add(-age).After(o.without) {
			o.without = p.sent.Add(-age)
		}
	})
	return out
}

// learn takes what an answer says about the log. It was written after the probe was sent at the given time.
func (v *View) learn(sent time.Time, t *peer, i Info) {
	v.highest = max(v.highest, i.Revision)
	if i.NoContact {
		t.without = later(t.without, sent)
	} else {
		t.with = later(t.with, sent)
	}
	if i.LogAgeMs < 0 {
		return
	}
	contact := sent.Add(-time.Duration(i.LogAgeMs) * time.Millisecond)
	switch {
	case i.Revision <= v.self.Revision:
		v.learned = later(v.learned, contact)
	case contact.After(v.pending):
		v.pending, v.pendingR = contact, max(i.Revision, v.pendingR)
	}
}

// hear takes a suspicion by another, unless this instance or the suspect's answer knows better.
func (v *View) hear(sent time.Time, r Rumor) {
	t := v.peers[r.ID]
	if t == nil || r.AgeMs < 0 {
		return
	}
	t.suspected = later(t.suspected, sent.Add(-time.Duration(r.AgeMs)*time.Millisecond))
}

// rumors returns the newest suspicions that still count.
func (v *View) rumors(now time.Time) (l []Rumor) {
	for id, p := range v.peers {
		if p.state(now) == Suspect {
			l = append(l, Rumor{ID: id, AgeMs: ids.Millis(now.Sub(p.suspected))})
		}
	}
	slices.SortFunc(l, func(a, b Rumor) int { return int(a.AgeMs - b.AgeMs) })
	return l[:min(len(l), maxRumors)]
}

// info returns what this instance says about itself. Ages are rounded up.
func (v *View) info(now time.Time) *Info {
	i := &Info{
		Writer: v.self.Writer, Zone: v.self.Zone, Revision: v.self.Revision, LogAgeMs: -1, NoContact: v.noContact(now),
		Load: v.self.Load, Leaving: v.self.Leaving,
	}
	if contact := later(v.self.LogContact, v.learned); !contact.IsZero() {
		i.LogAgeMs = ids.Millis(now.Sub(contact))
	}
	return i
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
