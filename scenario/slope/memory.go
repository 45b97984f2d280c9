package slope

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/member"
	"github.com/comfreylink/comfreylink/pkg/rate"
	"github.com/comfreylink/comfreylink/pkg/record"
	"github.com/comfreylink/comfreylink/pkg/slot"
)

// memoryCases returns the states that PrintMemory measures.
func memoryCases() []stateCase {
	return []stateCase{
		{"programControl", "program without content", []int{500, 1000, 2000, 4000}, func(n int) any {
			s := newSlotStream()
			for p := range n {
				s.appendEntry(turnRecord(p, 0, 0, 0))
			}
			return s
		}},
		{"history", "turn of 913 tokens", []int{58, 115, 230}, func(n int) any {
			s := newSlotStream()
			for i := range n {
				s.appendEntry(turnRecord(0, i, promptBytes, generatedBytes))
			}
			return s
		}},
		{"requestKey", "outcome of 1,200 bytes", []int{500, 1000, 2000, 4000}, func(n int) any {
			s := newSlotStream()
			for i := range n {
				key := ids.RequestKey(fmt.Sprintf("request-%08d", i))
				s.appendEntry(&record.Intent{Epoch: 1, Workspace: "workspace-0001", Key: key, Fingerprint: "0123456789abcdef0123456789abcdef", Target: "service-01", UnixMilli: baseMillis})
				s.appendEntry(&record.Outcome{Epoch: 1, Workspace: "workspace-0001", Key: key, Status: 200, ContentType: "application/json", Body: make([]byte, generatedBytes)})
			}
			return s
		}},
		{"workspace", "workspace with two keys", []int{400, 800, 1600, 3200}, func(n int) any {
			s, _ := newConfigStream(n)
			return s
		}},
		{"bucket", "workspace in use", []int{400, 800, 1600, 3200}, func(n int) any { return newBuckets(n) }},
		{"fleetSlot", "owned slot", []int{64, 256, 1140}, func(n int) any { return claimedTable(n) }},
		{"writer", "run of an instance in a stream", []int{1000, 2000, 4000}, func(n int) any {
			s := newSlotStream()
			for i := range n {
				b := record.Batch{Writer: ids.WriterID(fmt.Sprintf("entry-%03d#%012x", i%380, i)), Seq: 1}
				data, err := b.Encode()
				must(err)
				s.fold(data)
			}
			return s
		}},
		{"peer", "peer in the view of pkg/member", []int{95, 190, 380}, func(n int) any { return newMemberSim(n) }},
		{"target", "target of a pool", []int{25, 100, 400}, func(n int) any { return newPool(n, 8) }},
		{"poolProgram", "program known to a pool", []int{1000, 2000, 4000}, func(n int) any {
			q := newPool(25, 8)
			for i := range n {
				runCall(q, i, 133)
			}
			return q
		}},
	}
}

// start is the time at which the simulated states begin.
var start = time.Unix(1_700_000_000, 0)

// slots is the number of slots of a fleet of 380 daemons, with slotsPerInstance slots each.
const slots = 1140

// newBuckets returns the token buckets of n workspaces. One token of each bucket has been granted and not yet used.
func newBuckets(n int) *rate.Buckets {
	buckets := rate.NewBuckets(slots, rate.DefaultGrantMax)
	for s := range slots {
		buckets.Open(start, ids.Slot(s), 1)
	}
	for i := range n {
		b, err := buckets.Bucket(start.Add(2*time.Second), workspaceID(i), rate.Limit{Rate: 10_000, Burst: 20})
		must(err)
		b.Acquire(start.Add(2*time.Second), 1, start.Add(time.Minute))
	}
	return buckets
}

func workspaceID(i int) ids.WorkspaceID { return ids.WorkspaceID(fmt.Sprintf("workspace-%04d", i)) }

func writerOf(i int) ids.WriterID { return ids.WriterID(fmt.Sprintf("entry-%03d#0123456789ab", i)) }

// slotsPerInstance is the number of slots that one instance owns while no instance starts or stops.
const slotsPerInstance = 3

// claimedTable returns a slot table whose n slots are all claimed.
func claimedTable(n int) *slot.Table {
	t := slot.New(n)
	for i := range n {
		w := writerOf(i / slotsPerInstance)
		must(t.Apply(ids.Position{Offset: ids.Offset(i)}, w, &record.Claim{Owner: w, Slots: []record.SlotEpoch{{Slot: ids.Slot(i), Epoch: 1}}}))
	}
	return t
}

func instanceID(i int) ids.InstanceID { return ids.InstanceID(fmt.Sprintf("entry-%03d", i)) }

// memberSim simulates the membership protocol for one instance. The measured view sends its probes to responder, which
// answers them in the name of the probed instance.
type memberSim struct {
	view, responder *member.View
	now             time.Time
}

func newMemberSim(peers int) *memberSim {
	var listed []member.Listed
	for i := range peers {
		listed = append(listed, member.Listed{ID: instanceID(i), Zone: "osu"})
	}
	t := &memberSim{
		view:      member.New(instanceID(0), member.DefaultOptions(), rand.New(rand.NewPCG(1, 1))),
		responder: member.New("other", member.DefaultOptions(), rand.New(rand.NewPCG(2, 2))),
		now:       start,
	}
	for _, v := range []*member.View{t.view, t.responder} {
		v.SetList(t.now, listed)
		v.SetSelf(member.Self{Writer: writer, Zone: "osu", LogContact: t.now})
	}
	return t
}

// newPool returns the queue of a pool whose targets have a capacity of 8 calls each. Every workspace has already completed
// one call.
func newPool(targets, workspaces int) *dispatch.Queue {
	o := dispatch.DefaultOptions()
	o.MaxInFlight = 8
	q, err := dispatch.New(o)
	must(err)
	var list []dispatch.Target
	for i := range targets {
		list = append(list, dispatch.Target{ID: targetID(i), Zone: "osu", State: dispatch.Live, ReportedAt: start})
	}
	q.UpdateTargets(start, list)
	for i := range workspaces {
		runCall(q, i, workspaces)
	}
	return q
}

func targetID(i int) ids.TargetID { return ids.TargetID(fmt.Sprintf("engine-%03d", i)) }

// runCall enqueues a call of a program, and places and completes every call that can be placed.
func runCall(q *dispatch.Queue, program, workspaces int) {
	q.Enqueue(start, callItem(program, workspaces))
	for _, p := range q.Next(start) {
		q.Done(start.Add(time.Second), p.Ticket, dispatch.Completed, record.Usage{Prompt: 1000, Completion: 300})
	}
}

// callItem returns the queue item of a call of a program. The programs belong to the workspaces in rotation.
func callItem(program, workspaces int) dispatch.Item {
	id := ids.ProgramID(fmt.Sprintf("program-%08d", program))
	return dispatch.Item{
		Ticket: dispatch.Ticket(program + 1), Workspace: workspaceID(program % workspaces), Weight: 1, Program: id, Prompt: 1000, Output: 300,
		Prefix: dispatch.PrefixKey(id), PrefixTokens: 900, Deadline: start.Add(time.Hour), Zone: "osu", Idempotent: true,
	}
}
