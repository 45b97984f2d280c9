package slope

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/comfreylink/comfreylink/internal/instancelist"
	"github.com/comfreylink/comfreylink/internal/logservice"
	"github.com/comfreylink/comfreylink/pkg/config"
	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/program"
	"github.com/comfreylink/comfreylink/pkg/rate"
	"github.com/comfreylink/comfreylink/pkg/record"
	"github.com/comfreylink/comfreylink/pkg/slot"
)

// workCases returns the operations that PrintWork measures.
func workCases() []workCase {
	return append(streamCases(), fleetCases()...)
}

// streamCases returns the operations of the readers and writers of the log.
func streamCases() []workCase {
	return []workCase{
		{"encodeTurn", "bytes of prompt", []int{1024, 4096, 16384, 65536}, func(n int) func() {
			s := newSlotStream()
			return func() { s.encodeEntry(turnRecord(0, 0, n, generatedBytes)) }
		}},
		{"encodeAndFoldTurn", "bytes of prompt", []int{1024, 4096, 16384, 65536}, func(n int) func() {
			s, i := newSlotStream(), 0
			return func() {
				if i == largestTurns {
					s, i = newSlotStream(), 0
				}
				s.appendEntry(turnRecord(0, i, n, generatedBytes))
				i++
			}
		}},
		{"scanEntry", "bytes of prompt", []int{1024, 4096, 16384, 65536}, func(n int) func() {
			data := newSlotStream().encodeEntry(turnRecord(0, 0, n, generatedBytes))
			return func() { _, err := record.Decode(data); must(err) }
		}},
		{"decodePage", "entries of a turn of 913 tokens", []int{10, 40, 160}, func(n int) func() {
			p := logservice.Page{Next: ids.Offset(n)}
			data := newSlotStream().encodeEntry(turnRecord(0, 0, promptBytes, generatedBytes))
			for i := range n {
				p.Entries = append(p.Entries, logservice.Entry{Offset: ids.Offset(i), Data: data})
			}
			body, err := json.Marshal(p)
			must(err)
			return func() { var p logservice.Page; must(json.Unmarshal(body, &p)) }
		}},
		{"snapshotSlot", "programs of 210,000 tokens", []int{1, 2, 4}, func(n int) func() {
			s := newLargeProgramSlot(n)
			return func() { _, err := s.replay.Snapshot(); must(err) }
		}},
		{"restoreSlot", "programs of 210,000 tokens", []int{1, 2, 4}, func(n int) func() {
			data := snapshotOf(newLargeProgramSlot(n))
			return func() { must(program.New(program.Options{}).Restore(data)) }
		}},
		{"configChange", "workspaces", []int{400, 1600, 3200}, func(n int) func() {
			s, _ := newConfigStream(n)
			base := ids.Revision(templates)
			return func() {
				at := ids.Revision(s.next)
				s.appendEntry(publishRecord(0, base))
				base = at
			}
		}},
		{"snapshotConfig", "workspaces", []int{400, 1600, 3200}, func(n int) func() {
			s, _ := newConfigStream(n)
			return func() { _, err := s.replay.Snapshot(); must(err) }
		}},
	}
}

// newLargeProgramSlot returns the stream of a slot that holds n of the largest programs.
func newLargeProgramSlot(n int) *stream {
	s := newSlotStream()
	for p := range n {
		for i := range largestTurns {
			s.appendEntry(turnRecord(p, i, promptBytes, generatedBytes))
		}
	}
	return s
}

// snapshotOf returns the folded state in a snapshot of the stream, without the header that lists the writers.
func snapshotOf(s *stream) (state []byte) {
	parts, err := s.replay.Snapshot()
	must(err)
	var data []byte
	for _, p := range parts {
		data = append(data, p.(*record.Snapshot).Data...)
	}
	for i, b := range data {
		if b == '\n' { // end of the header that lists the writers
			return data[i+1:]
		}
	}
	panic("snapshot without a header")
}

// fleetCases returns the operations that do not read or write the log.
func fleetCases() []workCase {
	return []workCase{
		{"decide", "daemons with 3 slots each", []int{24, 95, 190, 380}, func(n int) func() {
			t := claimedTable(n * slotsPerInstance)
			v := slot.View{Self: writerOf(0), Lease: 10 * time.Second, SuspectAfter: 3 * time.Second}
			for i := range n {
				v.Live = append(v.Live, slot.Member{Writer: writerOf(i), Instance: instanceID(i)})
			}
			return func() { t.Decide(start, v) }
		}},
		{"rendezvous", "daemons", []int{24, 95, 190, 380}, func(n int) func() {
			return func() {
				for i := range n {
					ids.Rendezvous(string(instanceID(i)), "pool")
				}
			}
		}},
		{"authenticate", "workspaces", []int{400, 1600, 3200}, func(n int) func() {
			_, catalog := newConfigStream(n)
			key := keyOf(n/2, 1)
			return func() {
				if _, ok := catalog.Authenticate(key, start); !ok {
					panic("key refused")
				}
			}
		}},
		{"limits", "workspaces", []int{400, 1600, 3200}, func(n int) func() {
			_, catalog := newConfigStream(n)
			return func() { catalog.Current().Limits(workspaceID(n / 2)) }
		}},
		{"acquireAndUse", "workspaces", []int{10, 100, 1000}, func(n int) func() {
			buckets, now, i := newBuckets(n), start.Add(10*time.Second), 0
			return func() {
				now, i = now.Add(time.Second), (i+1)%n
				b, err := buckets.Bucket(now, workspaceID(i), rate.Limit{Rate: 10_000, Burst: 20})
				must(err)
				decision := b.Acquire(now, 1, now.Add(time.Minute))
				b.Used(now, decision.Grant)
			}
		}},
		{"placeAndEnd", "targets", []int{6, 25, 100}, func(n int) func() {
			q, i := newPool(n, 133), 0
			return func() { runCall(q, i%1000, 133); i++ }
		}},
		{"placeFromQueue", "waiting calls before 25 targets", []int{100, 1000, 4000}, func(n int) func() {
			q, placed := newSaturatedPool(n)
			i := n + len(placed)
			return func() {
				last := placed[0]
				placed = placed[1:]
				q.Done(start.Add(time.Second), last, dispatch.Completed, record.Usage{Prompt: 1000, Completion: 300})
				q.Enqueue(start, callItem(i, 133))
				i++
				for _, p := range q.Next(start) {
					placed = append(placed, p.Ticket)
				}
			}
		}},
		{"poolTick", "waiting calls before 25 targets", []int{100, 1000, 4000}, func(n int) func() {
			q, _ := newSaturatedPool(n)
			return func() { q.Expire(start); q.Next(start) }
		}},
		{"memberSecond", "peers", []int{24, 95, 190, 380}, func(n int) func() {
			t := newMemberSim(n)
			return func() { t.advanceSecond() }
		}},
		{"decodeList", "instances", []int{245, 490, 980}, func(n int) func() {
			body := instanceList(n)
			return func() {
				var l struct{ Instances []instancelist.Instance }
				must(json.Unmarshal(body, &l))
			}
		}},
		{"templates", "workspaces", []int{400, 1600, 3200}, func(n int) func() {
			_, catalog := newConfigStream(n)
			return func() { catalog.Current().Templates() }
		}},
		{"hashKey", "bytes", []int{32}, func(int) func() { return func() { config.HashKey("0123456789abcdef0123456789abcdef") } }},
	}
}

// newSaturatedPool returns the queue of a pool of 25 targets, all at capacity, with the given number of waiting calls, and
// the tickets of the placed calls.
func newSaturatedPool(waiting int) (q *dispatch.Queue, placed []dispatch.Ticket) {
	q = newPool(25, 133)
	for i := 0; q.Len() < waiting; i++ {
		q.Enqueue(start, callItem(i, 133))
		for _, p := range q.Next(start) {
			placed = append(placed, p.Ticket)
		}
	}
	return q, placed
}

// instanceList returns the encoded list of n instances.
func instanceList(n int) []byte {
	var l struct {
		Instances []instancelist.Instance `json:"instances"`
	}
	for i := range n {
		l.Instances = append(l.Instances, instancelist.Instance{
			ID: fmt.Sprintf("entry-%03d", i), Kind: instancelist.Daemon, Zone: "osu", Address: fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250), State: instancelist.Live,
		})
	}
	body, err := json.Marshal(l)
	must(err)
	return body
}
