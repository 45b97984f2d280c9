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

func workCases() []workCase {
	return append(streamCases(), fleetCases()...)
}

// streamCases are what readers and writers of the log do.
func streamCases() []workCase {
	return []workCase{
		{"encodeTurn", "bytes of prompt", []int{1024, 4096, 16384, 65536}, func(n int) func() {
			s := openSlot()
			return func() { s.entry(turn(0, 0, n, generatedBytes)) }
		}},
		{"encodeAndFoldTurn", "bytes of prompt", []int{1024, 4096, 16384, 65536}, func(n int) func() {
			s, i := openSlot(), 0
			return func() {
				if i == largestTurns {
					s, i = openSlot(), 0
				}
				s.add(turn(0, i, n, generatedBytes))
				i++
			}
		}},
		{"scanEntry", "bytes of prompt", []int{1024, 4096, 16384, 65536}, func(n int) func() {
			data := openSlot().entry(turn(0, 0, n, generatedBytes))
			return func() { _, err := record.Decode(data); must(err) }
		}},
		{"decodePage", "entries of a turn of 913 tokens", []int{10, 40, 160}, func(n int) func() {
			p := logservice.Page{Next: ids.Offset(n)}
			data := openSlot().entry(turn(0, 0, promptBytes, generatedBytes))
			for i := range n {
				p.Entries = append(p.Entries, logservice.Entry{Offset: ids.Offset(i), Data: data})
			}
			body, err := json.Marshal(p)
			must(err)
			return func() { var p logservice.Page; must(json.Unmarshal(body, &p)) }
		}},
		{"snapshotSlot", "programs of 210,000 tokens", []int{1, 2, 4}, func(n int) func() {
			s := histories(n)
			return func() { _, err := s.replay.Snapshot(); must(err) }
		}},
		{"restoreSlot", "programs of 210,000 tokens", []int{1, 2, 4}, func(n int) func() {
			data := snapshotOf(histories(n))
			return func() { must(program.New(program.Options{}).Restore(data)) }
		}},
		{"configChange", "workspaces", []int{400, 1600, 3200}, func(n int) func() {
			s, _ := configured(n)
			base := ids.Revision(templates)
			return func() {
				at := ids.Revision(s.next)
				s.add(publish(0, base))
				base = at
			}
		}},
		{"snapshotConfig", "workspaces", []int{400, 1600, 3200}, func(n int) func() {
			s, _ := configured(n)
			return func() { _, err := s.replay.Snapshot(); must(err) }
		}},
	}
}

// histories returns a slot with so many of the largest programs.
func histories(n int) *stream {
	s := openSlot()
	for p := range n {
		for i := range largestTurns {
			s.add(turn(p, i, promptBytes, generatedBytes))
		}
	}
	return s
}

func snapshotOf(s *stream) (state []byte) {
	parts, err := s.replay.Snapshot()
	must(err)
	var data []byte
	for _, p := range parts {
		data = append(data, p.(*record.Snapshot).Data...)
	}
	for i, b := range data {
		if b == '\n' { // the writers' header ends here
			return data[i+1:]
		}
	}
	panic("snapshot without a header")
}

// fleetCases are what the other roles do.
func fleetCases() []workCase {
	return []workCase{
		{"decide", "daemons with 3 slots each", []int{24, 95, 190, 380}, func(n int) func() {
			t := claimed(n * slotsEach)
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
			_, catalog := configured(n)
			key := keyOf(n/2, 1)
			return func() {
				if _, ok := catalog.Authenticate(key, start); !ok {
					panic("key refused")
				}
			}
		}},
		{"limits", "workspaces", []int{400, 1600, 3200}, func(n int) func() {
			_, catalog := configured(n)
			return func() { catalog.Current().Limits(workspaceID(n / 2)) }
		}},
		{"acquireAndUse", "workspaces", []int{10, 100, 1000}, func(n int) func() {
			k, now, i := buckets(n), start.Add(10*time.Second), 0
			return func() {
				now, i = now.Add(time.Second), (i+1)%n
				b, err := k.Bucket(now, workspaceID(i), rate.Limit{Rate: 10_000, Burst: 20})
				must(err)
				d := b.Acquire(now, 1, now.Add(time.Minute))
				b.Used(now, d.Grant)
			}
		}},
		{"placeAndEnd", "targets", []int{6, 25, 100}, func(n int) func() {
			q, i := pool(n, 133), 0
			return func() { use(q, i%1000, 133); i++ }
		}},
		{"placeFromQueue", "waiting calls before 25 targets", []int{100, 1000, 4000}, func(n int) func() {
			q, placed := full(n)
			i := n + len(placed)
			return func() {
				last := placed[0]
				placed = placed[1:]
				q.Done(start.Add(time.Second), last, dispatch.Completed, record.Usage{Prompt: 1000, Completion: 300})
				q.Enqueue(start, call(i, 133))
				i++
				for _, p := range q.Next(start) {
					placed = append(placed, p.Ticket)
				}
			}
		}},
		{"poolTick", "waiting calls before 25 targets", []int{100, 1000, 4000}, func(n int) func() {
			q, _ := full(n)
			return func() { q.Expire(start); q.Next(start) }
		}},
		{"memberSecond", "peers", []int{24, 95, 190, 380}, func(n int) func() {
			t := newTalk(n)
			return func() { t.second() }
		}},
		{"decodeList", "instances", []int{245, 490, 980}, func(n int) func() {
			body := instanceList(n)
			return func() {
				var l struct{ Instances []instancelist.Instance }
				must(json.Unmarshal(body, &l))
			}
		}},
		{"templates", "workspaces", []int{400, 1600, 3200}, func(n int) func() {
			_, catalog := configured(n)
			return func() { catalog.Current().Templates() }
		}},
		{"hashKey", "bytes", []int{32}, func(int) func() { return func() { config.HashKey("0123456789abcdef0123456789abcdef") } }},
	}
}

// full returns a queue before 25 busy targets with so many calls waiting.
func full(waiting int) (q *dispatch.Queue, placed []dispatch.Ticket) {
	q = pool(25, 133)
	for i := 0; q.Len() < waiting; i++ {
		q.Enqueue(start, call(i, 133))
		for _, p := range q.Next(start) {
			placed = append(placed, p.Ticket)
		}
	}
	return q, placed
}

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
