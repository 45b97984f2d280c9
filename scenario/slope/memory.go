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

func memoryCases() []stateCase {
	return []stateCase{
		{"programControl", "program without content", []int{500, 1000, 2000, 4000}, func(n int) any {
			s := openSlot()
			for p := range n {
				s.add(turn(p, 0, 0, 0))
			}
			return s
		}},
		{"history", "turn of 913 tokens", []int{58, 115, 230}, func(n int) any {
			s := openSlot()
			for i := range n {
				s.add(turn(0, i, promptBytes, generatedBytes))
			}
			return s
		}},
		{"requestKey", "outcome of 1,200 bytes", []int{500, 1000, 2000, 4000}, func(n int) any {
			s := openSlot()
			for i := range n {
				key := ids.RequestKey(fmt.Sprintf("request-%08d", i))
				s.add(&record.Intent{Epoch: 1, Workspace: "workspace-0001", Key: key, Fingerprint: "0123456789abcdef0123456789abcdef", Target: "service-01", UnixMilli: baseMillis})
				s.add(&record.Outcome{Epoch: 1, Workspace: "workspace-0001", Key: key, Status: 200, ContentType: "application/json", Body: make([]byte, generatedBytes)})
			}
			return s
		}},
		{"workspace", "workspace with two keys", []int{400, 800, 1600, 3200}, func(n int) any {
			s, _ := configured(n)
			return s
		}},
		{"bucket", "workspace in use", []int{400, 800, 1600, 3200}, func(n int) any { return buckets(n) }},
		{"fleetSlot", "owned slot", []int{64, 256, 1140}, func(n int) any { return claimed(n) }},
		{"writer", "run of an instance in a stream", []int{1000, 2000, 4000}, func(n int) any {
			s := openSlot()
			for i := range n {
				b := record.Batch{Writer: ids.WriterID(fmt.Sprintf("entry-%03d#%012x", i%380, i)), Seq: 1}
				data, err := b.Encode()
				must(err)
				s.read(data)
			}
			return s
		}},
		{"peer", "peer in the view of pkg/member", []int{95, 190, 380}, func(n int) any { return newTalk(n) }},
		{"target", "target of a pool", []int{25, 100, 400}, func(n int) any { return pool(n, 8) }},
		{"poolProgram", "program known to a pool", []int{1000, 2000, 4000}, func(n int) any {
			q := pool(25, 8)
			for i := range n {
				use(q, i, 133)
			}
			return q
		}},
	}
}

var start = time.Unix(1_700_000_000, 0)

const slots = 1140

// buckets returns the token buckets of n workspaces, each with a token out.
func buckets(n int) *rate.Buckets {
	set := rate.NewBuckets(slots, rate.DefaultGrantMax)
	for s := range slots {
		set.Open(start, ids.Slot(s), 1)
	}
	for i := range n {
		b, err := set.Bucket(start.Add(2*time.Second), workspaceID(i), rate.Limit{Rate: 10_000, Burst: 20})
		must(err)
		b.Acquire(start.Add(2*time.Second), 1, start.Add(time.Minute))
	}
	return set
}

func workspaceID(i int) ids.WorkspaceID { return ids.WorkspaceID(fmt.Sprintf("workspace-%04d", i)) }

func writerOf(i int) ids.WriterID { return ids.WriterID(fmt.Sprintf("entry-%03d#0123456789ab", i)) }

// slotsEach is the number of slots of one instance in the steady fleet.
const slotsEach = 3

func claimed(n int) *slot.Table {
	t := slot.New(n)
	for i := range n {
		w := writerOf(i / slotsEach)
		must(t.Apply(ids.Position{Offset: ids.Offset(i)}, w, &record.Claim{Owner: w, Slots: []record.SlotEpoch{{Slot: ids.Slot(i), Epoch: 1}}}))
	}
	return t
}

func instanceID(i int) ids.InstanceID { return ids.InstanceID(fmt.Sprintf("entry-%03d", i)) }

// talk is a view whose probes are answered by a second view in the name of the probed instance.
type talk struct {
	view, other *member.View
	now         time.Time
}

func newTalk(peers int) *talk {
	var listed []member.Listed
	for i := range peers {
		listed = append(listed, member.Listed{ID: instanceID(i), Zone: "osu"})
	}
	t := &talk{
		view:  member.New(instanceID(0), member.DefaultOptions(), rand.New(rand.NewPCG(1, 1))),
		other: member.New("other", member.DefaultOptions(), rand.New(rand.NewPCG(2, 2))),
		now:   start,
	}
	for _, v := range []*member.View{t.view, t.other} {
		v.SetList(t.now, listed)
		v.SetSelf(member.Self{Writer: writer, Zone: "osu", LogContact: t.now})
	}
	return t
}

// pool returns a queue of a pool with targets that have room for 8 calls each, and so many workspaces known.
func pool(targets, workspaces int) *dispatch.Queue {
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
		use(q, i, workspaces)
	}
	return q
}

func targetID(i int) ids.TargetID { return ids.TargetID(fmt.Sprintf("engine-%03d", i)) }

// use enqueues a call of a program, places it and ends it.
func use(q *dispatch.Queue, program, workspaces int) {
	q.Enqueue(start, call(program, workspaces))
	for _, p := range q.Next(start) {
		q.Done(start.Add(time.Second), p.Ticket, dispatch.Completed, record.Usage{Prompt: 1000, Completion: 300})
	}
}

func call(program, workspaces int) dispatch.Item {
	id := ids.ProgramID(fmt.Sprintf("program-%08d", program))
	return dispatch.Item{
		Ticket: dispatch.Ticket(program + 1), Workspace: workspaceID(program % workspaces), Weight: 1, Program: id, Prompt: 1000, Output: 300,
		Prefix: dispatch.PrefixKey(id), PrefixTokens: 900, Deadline: start.Add(time.Hour), Zone: "osu", Idempotent: true,
	}
}
