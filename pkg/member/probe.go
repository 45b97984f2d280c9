package member

import (
	"slices"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// minDoubtInterval is the least time between probes of one peer because of failed requests. A request to an owner that
// does not take it is repeated each 25 ms.
const minDoubtInterval = 250 * time.Millisecond

// maxBursts times burstInterval is the time in which a fleet loses contact with the log: the last read that succeeds is
// up to a second older at one instance than at another. Two bursts reach more than half of 32 instances.
const (
	maxBursts     = 5
	burstInterval = 400 * time.Millisecond
)

// probe is a ping that was not answered yet.
type probe struct {
	target ids.InstanceID
	sent   time.Time
	// waiting is the start of the present wait: for the answer, or for those of the helpers. It is later than sent if
	// this instance was paused meanwhile.
	waiting time.Time
	// indirect says that helpers were asked, and failed that the ping could not be sent.
	indirect, failed bool
	// origin asked for the probe with its own seq; empty if the probe is this instance's own.
	origin    ids.InstanceID
	originSeq uint64
}

// Tick returns the messages to send now. Call it at least every 100 ms.
func (v *View) Tick(now time.Time) (out []Message) {
	v.noticePause(now)
	seqs := make([]uint64, 0, len(v.probes))
	for seq := range v.probes {
		seqs = append(seqs, seq)
	}
	slices.Sort(seqs)
	for _, seq := range seqs {
		out = append(out, v.overdue(now, seq, v.probes[seq])...)
	}
	if all := v.burst(now); len(all) > 0 {
		out = append(out, all...)
	} else if id, ok := v.due(now); ok {
		out = append(out, v.ping(now, probe{target: id, sent: now}))
	}
	return append(out, v.flush(now)...)
}

// noticePause begins the waits for answers anew if this instance did not run for longer than such a wait: it could not
// receive the answers, so their absence says nothing about the others.
func (v *View) noticePause(now time.Time) {
	if !v.lastTick.IsZero() && now.Sub(v.lastTick) > v.opt.Timeout {
		for _, p := range v.probes {
			p.waiting = now
		}
	}
	v.lastTick = now
}

// due returns the instance that is to be probed now.
func (v *View) due(now time.Time) (id ids.InstanceID, ok bool) {
	if now.Before(v.nextProbe) {
		return "", false
	}
	v.nextProbe = now.Add(v.interval(now))
	if len(v.round) == 0 {
		v.round = v.probed()
		v.random.Shuffle(len(v.round), func(i, j int) { v.round[i], v.round[j] = v.round[j], v.round[i] })
	}
	if len(v.round) == 0 {
		return "", false
	}
	id, v.round = v.round[0], v.round[1:]
	return id, true
}

// burst returns probes of all neighbors, some times at the start of an outage of the log. More than half of a small fleet
// then hear of each other before their configuration is no longer fresh; with a probe at a time, 24 instances refused
// requests for up to 1.1 s.
func (v *View) burst(now time.Time) (out []Message) {
	if !v.noContact(now) {
		v.bursts = 0
		return nil
	}
	if v.bursts >= maxBursts || now.Before(v.nextBurst) || len(v.listed) > v.opt.SmallFleet {
		return nil
	}
	v.bursts++
	v.nextBurst = now.Add(burstInterval)
	v.nextProbe = now.Add(v.opt.OutageInterval)
	for _, id := range v.neighbors {
		if v.peers[id].state() != Suspect {
			out = append(out, v.ping(now, probe{target: id, sent: now}))
		}
	}
	return out
}

func (v *View) interval(now time.Time) time.Duration {
	switch {
	case v.noContact(now):
		return v.opt.OutageInterval
	case len(v.listed) <= v.opt.SmallFleet:
		return v.opt.SmallInterval
	default:
		return v.opt.Interval
	}
}

// probed returns the instances of a round: the neighbors, and all that are not listed any more but remembered, because
// the ring leaves them out and nobody else may probe them.
func (v *View) probed() (l []ids.InstanceID) {
	l = slices.Clone(v.neighbors)
	for id, p := range v.peers {
		if p.wasListed && !p.Listed {
			l = append(l, id)
		}
	}
	slices.Sort(l)
	return l
}

func (v *View) ping(now time.Time, p probe) Message {
	v.lastSeq++
	p.waiting = now
	v.probes[v.lastSeq] = &p
	m := Message{Kind: Ping, From: v.id, To: p.target, Seq: v.lastSeq}
	if p.origin == "" && !now.Before(v.nextSum) {
		m.Sum = v.sum()
	}
	return m
}

// ProbeNow returns a probe of an instance to which a request failed, unless one is under way. The failure alone is no proof.
func (v *View) ProbeNow(now time.Time, id ids.InstanceID) (out []Message) {
	t := v.peers[id]
	if t == nil || !t.wasListed || now.Sub(t.doubted) < minDoubtInterval {
		return nil
	}
	for _, p := range v.probes {
		if p.target == id && p.origin == "" {
			return nil
		}
	}
	t.doubted = now
	return []Message{v.ping(now, probe{target: id, sent: now})}
}

// Failed takes a message that could not be sent, and returns the messages to send in turn. A failed probe need not wait
// for its answer before helpers are asked.
func (v *View) Failed(now time.Time, m Message) (out []Message) {
	p := v.probes[m.Seq]
	if m.Kind != Ping || p == nil || p.indirect {
		return nil
	}
	p.failed = true
	return v.overdue(now, m.Seq, p)
}

// overdue asks helpers for a probe that was not answered in time, and suspects its target when they fail too.
func (v *View) overdue(now time.Time, seq uint64, p *probe) (out []Message) {
	waited := now.Sub(p.waiting)
	switch {
	case !p.indirect && !p.failed && waited < v.opt.Timeout:
		return nil
	case p.origin != "":
		delete(v.probes, seq)
		return nil
	case !p.indirect:
		p.indirect, p.waiting = true, now
		for _, id := range v.helpers(p.target) {
			out = append(out, Message{Kind: PingRequest, From: v.id, To: id, Seq: seq, Target: p.target})
		}
		return out
	case waited < 2*v.opt.Timeout:
		return nil
	}
	delete(v.probes, seq)
	if t := v.peers[p.target]; t != nil {
		before := t.belief()
		t.suspected = now
		v.tellIfChanged(t, before)
	}
	return nil
}

// helpers returns instances that are believed alive, in random order.
func (v *View) helpers(target ids.InstanceID) (l []ids.InstanceID) {
	for _, id := range v.neighbors {
		if p := v.peers[id]; id != target && p != nil && p.state() != Suspect {
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
		if t := v.peers[m.Target]; t == nil || !t.wasListed {
			return nil
		}
		return []Message{v.ping(now, probe{target: m.Target, sent: now, origin: m.From, originSeq: m.Seq})}
	case Ack:
		return v.answered(now, m)
	case Gossip:
		for _, r := range m.Updates[:min(len(m.Updates), maxRumors)] {
			out = append(out, v.hear(now, now, r)...)
		}
		return out
	}
	return nil
}

func (v *View) ack(now time.Time, m Message) Message {
	a := Message{Kind: Ack, From: v.id, To: m.From, Seq: m.Seq, Target: v.id, Info: v.info(now)}
	if m.Sum != 0 && m.Sum != v.sum() {
		a.Updates = v.beliefs(now)
	}
	if v.noContact(now) {
		a.NoLogContact = encodeDigest(&v.segments, func(id ids.InstanceID) time.Duration { return v.withoutAge(now, id) })
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
	if !p.sent.Before(t.LastContact) {
		v.contacted(now, p.sent, t, *m.Info)
	}
	if m.From != m.Target {
		return out
	}
	out = append(out, v.compared(now, p.sent, m.Updates)...)
	decodeDigest(&v.segments, m.NoLogContact, func(id ids.InstanceID, age time.Duration) {
		if o := v.peers[id]; o != nil && p.sent.Add(-age).After(o.without) {
			o.without = p.sent.Add(-age)
		}
	})
	return out
}

// contacted takes over what a peer says about itself in the newest answer.
func (v *View) contacted(now, sent time.Time, t *peer, i Info) {
	before := t.belief()
	if i.Writer != t.Writer {
		t.suspected = time.Time{}
	}
	t.seen = now
	t.LastContact, t.Info = sent, i
	t.alive = later(t.alive, sent)
	t.Writer, t.Leaving = i.Writer, i.Leaving
	v.learn(sent, t, i)
	v.tellIfChanged(t, before)
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
