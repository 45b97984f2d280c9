package member_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/member"
)

var epoch = time.Unix(1_800_000_000, 0)

const step = 100 * time.Millisecond

// fleet delivers messages between views, each one step later. A view that is down neither sends nor receives.
type fleet struct {
	now         time.Time
	views       []*member.View
	ids         []ids.InstanceID
	index       map[ids.InstanceID]int
	down        map[int]bool
	cut         func(from, to int) bool
	hasLog      func(n int) bool // which instances can read the log
	lastContact []time.Time      // last log contact
	revision    []ids.Revision
	list        []member.Listed
	nonce       []string
	// leaving marks the instances in a planned stop.
	leaving []bool
	queue   []member.Message
	// bytes is the size of all messages sent while count is set.
	count bool
	bytes int
}

func newFleet(n int) *fleet {
	f := &fleet{
		now: epoch, index: map[ids.InstanceID]int{}, down: map[int]bool{}, lastContact: make([]time.Time, n), revision: make([]ids.Revision, n),
		leaving: make([]bool, n),
		cut:     func(int, int) bool { return false }, hasLog: func(int) bool { return true },
	}
	for i := range n {
		id := ids.InstanceID(fmt.Sprintf("comfreylink-%03d.osu.accra", i))
		f.index[id] = i
		f.ids = append(f.ids, id)
		f.revision[i] = 12345
		f.views = append(f.views, member.New(id, member.DefaultOptions(), rand.New(rand.NewPCG(1, uint64(i)))))
		f.nonce = append(f.nonce, "0123456789abcdef")
		f.list = append(f.list, member.Listed{ID: id, Zone: "osu"})
	}
	for _, v := range f.views {
		v.SetList(epoch, f.list)
	}
	return f
}

// run advances the fleet. Instances read the log at every step in which they can.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		arrived := f.queue
		f.queue = nil
		for i, v := range f.views {
			if f.hasLog(i) {
				f.lastContact[i] = f.now
			}
			v.SetSelf(member.Self{
				Writer: writer(f.ids[i], f.nonce[i]), Zone: "osu", Revision: f.revision[i], LogContact: f.lastContact[i], Load: 12,
				Leaving: f.leaving[i],
			})
			if !f.down[i] {
				f.send(i, v.Tick(f.now))
			}
		}
		for _, m := range arrived {
			if i := f.index[m.To]; !f.down[i] && !f.cut(f.index[m.From], i) {
				f.send(i, f.views[i].Receive(f.now, m))
			}
		}
	}
}

func (f *fleet) send(from int, l []member.Message) {
	for _, m := range l {
		if f.count {
			f.bytes += wireBytes(m)
		}
		f.queue = append(f.queue, m)
	}
}

// wireBytes returns the size of a message on the network: JSON in a JSON-RPC envelope, with a Content-Length header, in a
// TLS 1.3 record (22 bytes), in a TCP segment with timestamps over IPv4 (52). An answer carries the TCP acknowledgement of
// its request and is acknowledged by a segment of its own (52).
func wireBytes(m member.Message) int {
	params, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	body, err := json.Marshal(map[string]any{"jsonrpc": "2.0", "id": m.Seq, "method": "ping", "params": json.RawMessage(params)})
	if err != nil {
		panic(err)
	}
	size := len("Content-Length: 000\r\n\r\n") + len(body) + 22 + 52
	if m.Kind == member.Ack {
		size += 52
	}
	return size
}

func (f *fleet) state(of, by int) member.State {
	for _, p := range f.views[by].Peers() {
		if p.ID == f.ids[of] {
			return p.State
		}
	}
	return -1
}

// Guards against a dead instance that stays alive in some view, and against a suspicion that stays after the instance
// answers again.
func TestDeadInstanceIsSuspectedEverywhere(t *testing.T) {
	c := qt.New(t)
	f := newFleet(24)
	f.run(8 * time.Second)
	f.down[7] = true
	f.run(12 * time.Second)
	for i := range f.views {
		if i != 7 {
			c.Check(f.state(7, i), qt.Equals, member.Suspect, qt.Commentf("in the view of instance %d", i))
		}
	}
	f.down[7] = false
	f.run(30 * time.Second)
	for i := range f.views {
		for j := range f.views {
			c.Check(f.state(j, i), qt.Not(qt.Equals), member.Suspect, qt.Commentf("instance %d in the view of instance %d", j, i))
		}
	}
}

// Guards against suspecting an instance because the link to it from one other instance is broken.
func TestBrokenLinkCausesNoSuspicion(t *testing.T) {
	c := qt.New(t)
	f := newFleet(24)
	f.run(8 * time.Second)
	target := f.index[f.views[0].Neighbors()[0]]
	f.cut = func(from, to int) bool { return from == 0 && to == target || from == target && to == 0 }
	f.run(20 * time.Second)
	c.Assert(f.state(target, 0), qt.Equals, member.Alive)
}

// Guards against forgetting an instance that sends messages but is not in the list yet.
func TestUnlistedInstanceIsKept(t *testing.T) {
	c := qt.New(t)
	v := member.New("a", member.DefaultOptions(), rand.New(rand.NewPCG(1, 1)))
	v.SetList(epoch, []member.Listed{{ID: "a"}})
	out := v.Receive(epoch, member.Message{Kind: member.Ping, From: "new", Seq: 1})
	c.Assert(out, qt.HasLen, 1)
	c.Assert(out[0].To, qt.Equals, ids.InstanceID("new"))
	v.SetList(epoch.Add(20*time.Second), []member.Listed{{ID: "a"}})
	c.Assert(v.Peers(), qt.HasLen, 1)
	v.SetList(epoch.Add(31*time.Second), []member.Listed{{ID: "a"}})
	c.Assert(v.Peers(), qt.HasLen, 0)
}

// Guards against a delayed, repeated or unrequested answer being counted as a fresh contact.
func TestLateAnswerIsNotFresher(t *testing.T) {
	c := qt.New(t)
	v := member.New("a", member.DefaultOptions(), rand.New(rand.NewPCG(1, 1)))
	v.SetList(epoch, []member.Listed{{ID: "a"}, {ID: "b"}})
	v.SetSelf(member.Self{Revision: 5})
	sent := epoch.Add(time.Second)
	ping := v.Tick(sent)[0]
	ack := member.Message{Kind: member.Ack, From: "b", Seq: ping.Seq, Target: "b", Info: &member.Info{Revision: 5, LogAgeMs: 1000}}
	unrequested, otherTarget := ack, ack
	unrequested.Seq++
	otherTarget.Target = "c"
	v.Receive(epoch, unrequested)
	v.Receive(epoch, otherTarget)
	c.Assert(v.Knowledge(epoch).PeerRead.IsZero(), qt.IsTrue)
	for range 2 {
		v.Receive(sent.Add(3*time.Second), ack)
		c.Assert(v.Knowledge(epoch).PeerRead, qt.Equals, sent.Add(-time.Second))
	}
}

// Guards against control traffic above 2 KB a second at 380 members: sent and received without faults, and sent in a log
// outage.
func TestTrafficAt380Members(t *testing.T) {
	const n, budget = 380, 2000.0
	f := newFleet(n)
	f.run(3 * time.Second)
	perSecond := func(d time.Duration) float64 {
		f.count, f.bytes = true, 0
		f.run(d)
		return float64(f.bytes) / n / d.Seconds()
	}
	sent := perSecond(5 * time.Second)
	f.hasLog = func(int) bool { return false }
	f.run(3 * time.Second)
	outage := perSecond(5 * time.Second)
	t.Logf("sent by each of %d daemons: %.0f bytes a second, %.0f while the log is down", n, sent, outage)
	if 2*sent > budget {
		t.Errorf("%.0f bytes a second sent and received", 2*sent)
	}
	if outage > budget {
		t.Errorf("%.0f bytes a second sent while the log is down", outage)
	}
}

// Guards against ages that are shorter after decoding, also if the receiver's list has one instance more, and against a
// panic on malformed data.
func TestDigest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringN(1, 10, 10), 1, 100, rapid.ID[string]).Draw(t, "names")
		ages := map[ids.InstanceID]time.Duration{}
		listed := []ids.InstanceID{}
		for _, n := range names {
			ages[ids.InstanceID(n)] = time.Duration(rapid.IntRange(-1000, 12000).Draw(t, "age")) * time.Millisecond
			listed = append(listed, ids.InstanceID(n))
		}
		data := member.EncodeDigest(listed, func(id ids.InstanceID) time.Duration { return ages[id] })
		got := map[ids.InstanceID]time.Duration{}
		collect := func(id ids.InstanceID, d time.Duration) { got[id] = d }
		member.DecodeDigest(listed, data, collect)
		for id, d := range ages {
			g, ok := got[id]
			if ok != (d >= 0 && d <= 9800*time.Millisecond) || ok && (g < d || g-d >= 700*time.Millisecond) {
				t.Fatalf("age %v was decoded as %v, known: %v", d, g, ok)
			}
		}
		clear(got)
		member.DecodeDigest(append(listed, "another instance"), data, collect)
		for id, g := range got {
			if d, ok := ages[id]; !ok || g < d {
				t.Fatalf("age %v of %q was decoded as %v", d, id, g)
			}
		}
		member.DecodeDigest(listed, data[:rapid.IntRange(0, len(data)).Draw(t, "cut")], collect)
		member.DecodeDigest(listed, rapid.SliceOf(rapid.Byte()).Draw(t, "garbage"), collect)
	})
}

// Guards against a statement of one instance that counts for another one because the list has changed.
func TestDigestOfAnotherList(t *testing.T) {
	c := qt.New(t)
	listed := []ids.InstanceID{}
	for n := range 30 {
		listed = append(listed, ids.InstanceID(fmt.Sprint("instance ", n)))
	}
	data := member.EncodeDigest(listed, func(ids.InstanceID) time.Duration { return 0 })
	for n := range 60 {
		other := ids.InstanceID(fmt.Sprint("another instance ", n))
		member.DecodeDigest(append([]ids.InstanceID{other}, listed[1:]...), data, func(id ids.InstanceID, _ time.Duration) {
			c.Check(id, qt.Not(qt.Equals), other)
		})
	}
}
