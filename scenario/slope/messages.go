package slope

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/comfreylink/comfreylink/internal/peer"
	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/member"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// ticksPerSecond is how many times a second View.Tick of pkg/member must be called.
const ticksPerSecond = 10

// advanceSecond advances the simulated time by one second and returns the bytes of the messages that the view sends in it:
// its own probes, and the acknowledgments of as many probes by other instances.
func (t *memberSim) advanceSecond() (sent int) {
	for range ticksPerSecond {
		t.now = t.now.Add(time.Second / ticksPerSecond)
		for _, ping := range t.view.Tick(t.now) {
			sent += size(ping)
			for _, ack := range t.responder.Receive(t.now, ping) {
				ack.From, ack.Target = ping.To, ping.To
				t.view.Receive(t.now, ack)
			}
			back := member.Message{Kind: member.Ping, From: ping.To, To: ping.From, Seq: ping.Seq}
			for _, ack := range t.view.Receive(t.now, back) {
				sent += size(ack)
			}
		}
	}
	return sent
}

// setLogContact sets the time of the last contact with the log for both views.
func (t *memberSim) setLogContact(at time.Time) {
	for _, v := range []*member.View{t.view, t.responder} {
		v.SetSelf(member.Self{Writer: writer, Zone: "osu", LogContact: at})
	}
}

// size returns the number of bytes of v encoded as JSON.
func size(v any) int {
	data, err := json.Marshal(v)
	must(err)
	return len(data)
}

// PrintMessages prints the sizes of messages, records and snapshots in bytes, before framing and TLS.
func PrintMessages(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	const seconds = 60
	for _, peers := range []int{24, 95, 190, 380} {
		with, without := 0, 0
		t := newMemberSim(peers)
		for range seconds {
			t.setLogContact(t.now)
			with += t.advanceSecond()
		}
		for range seconds {
			without += t.advanceSecond()
		}
		fmt.Fprintf(w, "pkg/member, %d peers\t%d neighbors\t%d B/s sent\t%d B/s without the log\n",
			peers, len(t.view.Neighbors()), with/seconds, without/seconds)
	}
	for _, n := range []int{245, 490, 980} {
		fmt.Fprintf(w, "instance list, %d instances\t%d B\n", n, len(instanceList(n)))
	}
	for _, r := range sampleRecords() {
		fmt.Fprintf(w, "record %s\t%d B as an entry\n", r.Type(), len(newSlotStream().encodeEntry(r)))
	}
	for _, m := range requestMessages() {
		fmt.Fprintf(w, "message %T\t%d B\n", m, size(m))
	}
	for _, n := range []int{400, 1600, 3200} {
		s, _ := newConfigStream(n)
		parts, err := s.replay.Snapshot()
		must(err)
		bytes := 0
		for _, p := range parts {
			bytes += len(p.(*record.Snapshot).Data)
		}
		fmt.Fprintf(w, "snapshot of config, %d workspaces\t%d B\t%d parts\n", n, bytes, len(parts))
	}
	for _, n := range []int{1, 2, 4} {
		fmt.Fprintf(w, "snapshot of a slot, %d programs of 210,000 tokens\t%d B\n", n, len(snapshotOf(newLargeProgramSlot(n))))
	}
	return w.Flush()
}

// sampleRecords returns records with typical contents.
func sampleRecords() []record.Body {
	at := ids.Position{Offset: 1_000_000}
	return []record.Body{
		turnRecord(0, 100, promptBytes, generatedBytes),
		turnRecord(0, 100, 0, 0),
		&record.Reserve{Epoch: 1, Workspace: workspaceID(1), Program: "program-00000001", UpTo: 400_000, UnixMilli: baseMillis},
		&record.Intent{Epoch: 1, Workspace: workspaceID(1), Program: "program-00000001", Key: "request-00000001", Fingerprint: "0123456789abcdef0123456789abcdef", Target: "service-01", UnixMilli: baseMillis},
		&record.Outcome{Epoch: 1, Workspace: workspaceID(1), Key: "request-00000001", Status: 200, ContentType: "application/json", Body: make([]byte, generatedBytes)},
		&record.Claim{Owner: writer, Slots: []record.SlotEpoch{{Slot: 1, Epoch: 2}, {Slot: 2, Epoch: 2}, {Slot: 3, Epoch: 2}}, SuspectedAt: &at},
		&record.Suspect{By: writer, Writer: writer},
		&record.Release{Owner: writer, Slots: []record.SlotEpoch{{Slot: 1, Epoch: 2}, {Slot: 2, Epoch: 2}, {Slot: 3, Epoch: 2}}, Successor: writer},
		publishRecord(1, 1_000_000),
	}
}

// requestMessages returns the messages that one request causes between daemons besides the forwarded call: for the target
// and for the rate token each, a request, its response and a report at the end. The last message is an acknowledgment of
// the membership protocol.
func requestMessages() []any {
	item := callItem(1, 133)
	item.Fingerprint = "0123456789abcdef0123456789abcdef"
	return []any{
		peer.Place{Pool: "model-01", Item: item, DeadlineMillis: 60_000},
		peer.Placed{Target: "engine-001", Address: "10.0.1.1:8000", Ticket: 1_000_000},
		peer.Done{Pool: "model-01", Ticket: 1_000_000, Outcome: dispatch.Completed, Usage: record.Usage{Prompt: 60_000, Completion: 300, Cached: 59_000}},
		peer.Acquire{Workspace: workspaceID(1), DeadlineMillis: 60_000},
		peer.Acquired{Epoch: 12, Granted: true, Grant: 1_000_000},
		peer.GrantReport{Workspace: workspaceID(1), Epoch: 12, Grant: 1_000_000, Used: true},
		member.Message{Kind: member.Ack, From: "entry-001", Seq: 1, Info: &member.Info{Writer: writer, Revision: 1_000_000, LogAgeMs: 500}},
	}
}
