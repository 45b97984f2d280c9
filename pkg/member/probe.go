package member

import (
	"slices"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// minProbeNowInterval is the minimum time between probes of one peer because of failed requests. A request that an owner
// does not accept is repeated each 25 ms.
const minProbeNowInterval = 250 * time.Millisecond

// maxBursts times burstInterval covers the time in which all instances of a fleet notice a log outage: the last successful
// read of one instance is up to a second older than that of another. Two bursts reach more than half of 32 instances.
const (
	maxBursts     = 5
	burstInterval = 400 * time.Millisecond
)

// probe is a ping that has not been answered yet.
type probe struct {
	target ids.InstanceID
	sent   time.Time
	// waitStart is when the current wait began, first for the target's answer and then for the helpers'. It is later than
	// sent if this instance was paused in between.
	waitStart time.Time
	// indirect is set when helpers have been asked, and sendFailed when the ping could not be sent.
	indirect, sendFailed bool
	// origin is the instance that requested this probe, and originSeq the number of its request. origin is empty if the
	// probe is this instance's own.
	origin    ids.InstanceID
	originSeq uint64
}

// Tick returns the messages to send now. Call it at least every 100 ms.
func (v *View) Tick(now time.Time) (out []Message) {
	v.restartWaitsAfterPause(now)
	seqs := make([]uint64, 0, len(v.probes))
	for seq := range v.probes {
		seqs = append(seqs, seq)
	}
	slices.Sort(seqs)
	for _, seq := range seqs {
		out = append(out, v.checkTimeout(now, seq, v.probes[seq])...)
	}
	if all := v.burst(now); len(all) > 0 {
		out = append(out, all...)
	} else if id, ok := v.nextTarget(now); ok {
		out = append(out, v.ping(now, probe{target: id, sent: now}))
	}
	return append(out, v.flush(now)...)
}

// restartWaitsAfterPause restarts the waits for answers if this instance did not run for longer than Options.Timeout. It
// could not receive answers in that time, so missing ones are no evidence against the others.
func (v *View) restartWaitsAfterPause(now time.Time) {
	if !v.lastTick.IsZero() && now.Sub(v.lastTick) > v.opt.Timeout {
		for _, p := range v.probes {
			p.waitStart = now
		}
	}
	v.lastTick = now
}

// nextTarget returns the instance to probe now; ok is false if no probe is due.
func (v *View) nextTarget(now time.Time) (id ids.InstanceID, ok bool) {
	if now.Before(v.nextProbe) {
		return "", false
	}
	v.nextProbe = now.Add(v.interval(now))
	if len(v.round) == 0 {
		v.round = v.probeTargets()
		v.random.Shuffle(len(v.round), func(i, j int) { v.round[i], v.round[j] = v.round[j], v.round[i] })
	}
	if len(v.round) == 0 {
		return "", false
	}
	id, v.round = v.round[0], v.round[1:]
	return id, true
}

// burst returns probes of all neighbors. It does so a few times at the start of a log outage, so that more than half of a
// small fleet learn of each other's lost contact before their configuration becomes stale. With one probe at a time, 24
// instances refused requests for up to 1.1 s.
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

// probeTargets returns the instances to probe in a round: the neighbors, and the remembered instances that are no longer
// listed. The ring leaves those out, so nobody else might probe them.
func (v *View) probeTargets() (l []ids.InstanceID) {
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
	p.waitStart = now
	v.probes[v.lastSeq] = &p
	m := Message{Kind: Ping, From: v.id, To: p.target, Seq: v.lastSeq}
	if p.origin == "" && !now.Before(v.nextComparison) {
		m.Sum = v.checksum()
	}
	return m
}

// ProbeNow returns a probe of an instance because a request to it failed, or nothing if a probe is already under way. The
// failure alone does not make the instance suspected.
func (v *View) ProbeNow(now time.Time, id ids.InstanceID) (out []Message) {
	t := v.peers[id]
	if t == nil || !t.wasListed || now.Sub(t.lastProbeNow) < minProbeNowInterval {
		return nil
	}
	for _, p := range v.probes {
		if p.target == id && p.origin == "" {
			return nil
		}
	}
	t.lastProbeNow = now
	return []Message{v.ping(now, probe{target: id, sent: now})}
}

// SendFailed handles a message that could not be sent, and returns the messages to send in response. If it was a probe,
// helpers are asked at once, without waiting for the timeout.
func (v *View) SendFailed(now time.Time, m Message) (out []Message) {
	p := v.probes[m.Seq]
	if m.Kind != Ping || p == nil || p.indirect {
		return nil
	}
	p.sendFailed = true
	return v.checkTimeout(now, m.Seq, p)
}

// checkTimeout asks helpers for indirect probes when a probe was not answered in time, and suspects the target when
// these get no answer either. A probe that another instance requested is dropped instead.
func (v *View) checkTimeout(now time.Time, seq uint64, p *probe) (out []Message) {
	waited := now.Sub(p.waitStart)
	switch {
	case !p.indirect && !p.sendFailed && waited < v.opt.Timeout:
		return nil
	case p.origin != "":
		delete(v.probes, seq)
		return nil
	case !p.indirect:
		p.indirect, p.waitStart = true, now
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
		t.suspectedAt = now
		v.queueIfChanged(t, before)
	}
	return nil
}

// helpers returns up to Options.Helpers neighbors that are not suspected, in random order.
func (v *View) helpers(target ids.InstanceID) (l []ids.InstanceID) {
	for _, id := range v.neighbors {
		if p := v.peers[id]; id != target && p != nil && p.state() != Suspect {
			l = append(l, id)
		}
	}
	v.random.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	return l[:min(len(l), v.opt.Helpers)]
}

// Receive handles a message from a peer and returns the messages to send in response. The caller has verified that From is
// the sender.
func (v *View) Receive(now time.Time, m Message) (out []Message) {
	if m.From == v.id || m.From == "" {
		return nil
	}
	v.peer(m.From).lastSeen = now
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
		return v.receiveAck(now, m)
	case Gossip:
		for _, u := range m.Updates[:min(len(m.Updates), maxUpdates)] {
			out = append(out, v.applyUpdate(now, now, u)...)
		}
		return out
	}
	return nil
}

func (v *View) ack(now time.Time, m Message) Message {
	a := Message{Kind: Ack, From: v.id, To: m.From, Seq: m.Seq, Target: v.id, Info: v.info(now)}
	if m.Sum != 0 && m.Sum != v.checksum() {
		a.Updates = v.allUpdates(now)
	}
	if v.noContact(now) {
		a.NoLogContact = encodeDigest(&v.segments, func(id ids.InstanceID) time.Duration { return v.noContactAge(now, id) })
	}
	return a
}

// receiveAck handles the answer to a probe. An answer that a helper forwarded carries the target's Info and no updates.
func (v *View) receiveAck(now time.Time, m Message) (out []Message) {
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
		v.applyInfo(now, p.sent, t, *m.Info)
	}
	if m.From != m.Target {
		return out
	}
	out = append(out, v.applyBeliefs(now, p.sent, m.Updates)...)
	decodeDigest(&v.segments, m.NoLogContact, func(id ids.InstanceID, age time.Duration) {
		if o := v.peers[id]; o != nil && p.sent.Add(-age).After(o.noContactAt) {
			o.noContactAt = p.sent.Add(-age)
		}
	})
	return out
}

// applyInfo applies what a peer reports about itself in the answer to the newest answered probe.
func (v *View) applyInfo(now, sent time.Time, t *peer, i Info) {
	before := t.belief()
	if i.Writer != t.Writer {
		t.suspectedAt = time.Time{}
	}
	t.lastSeen = now
	t.LastContact, t.Info = sent, i
	t.aliveAt = later(t.aliveAt, sent)
	t.Writer, t.Leaving = i.Writer, i.Leaving
	v.applyLogContact(sent, t, i)
	v.queueIfChanged(t, before)
}

// applyLogContact applies what an answer says about contact with the log. The answer was written after the probe was sent,
// so it was true at that time or later.
func (v *View) applyLogContact(sent time.Time, t *peer, i Info) {
	v.highestRevision = max(v.highestRevision, i.Revision)
	if i.NoContact {
		t.noContactAt = later(t.noContactAt, sent)
	} else {
		t.contactAt = later(t.contactAt, sent)
	}
	if i.LogAgeMs < 0 {
		return
	}
	contact := sent.Add(-time.Duration(i.LogAgeMs) * time.Millisecond)
	switch {
	case i.Revision <= v.self.Revision:
		v.peerContact = later(v.peerContact, contact)
	case contact.After(v.pendingContact):
		v.pendingContact, v.pendingRevision = contact, max(i.Revision, v.pendingRevision)
	}
}

// info returns this instance's report about itself. Ages are rounded up.
func (v *View) info(now time.Time) *Info {
	i := &Info{
		Writer: v.self.Writer, Zone: v.self.Zone, Revision: v.self.Revision, LogAgeMs: -1, NoContact: v.noContact(now),
		Load: v.self.Load, Leaving: v.self.Leaving,
	}
	if contact := later(v.self.LogContact, v.peerContact); !contact.IsZero() {
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
