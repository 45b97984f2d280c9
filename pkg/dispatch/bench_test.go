package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
	"github.com/comfreylink/comfreylink/pkg/target"
)

// BenchmarkPlacement measures the processor time of one call's way through a queue before 60 targets that report their load.
// Instances have a tenth of a core.
func BenchmarkPlacement(b *testing.B) {
	o := options("fair", 8)
	o.Ramp, o.ForeignHalfLife, o.FirstCallMargin, o.ConnectSeconds = 300*time.Millisecond, time.Second, 2, 0.04
	q, err := dispatch.New(o)
	if err != nil {
		b.Fatal(err)
	}
	list := []dispatch.Target{}
	for n := range 60 {
		list = append(list, dispatch.Target{ID: ids.TargetID(fmt.Sprintf("t%02d", n)), Zone: ids.Zone(fmt.Sprint("z", n%3)), State: dispatch.Live, Slots: 8})
	}
	q.UpdateTargets(epoch.Add(-time.Minute), list)
	now := epoch
	for n := dispatch.Ticket(1); b.Loop(); n++ {
		now = now.Add(2 * time.Millisecond)
		it := item(n, "ws", 1000)
		it.Zone, it.Deadline = "z1", now.Add(time.Second)
		it.Parts = []target.Part{{Key: "system", Tokens: 400}, {Key: target.PrefixKey(fmt.Sprint(n % 512)), Tokens: 900}, {Key: target.PrefixKey(fmt.Sprint("own", n%4096)), Tokens: 1000}}
		q.Enqueue(now, it)
		for _, p := range q.Next(now) {
			q.Load(now, p.Target, 3, 0)
			q.Done(now, p.Ticket, dispatch.Completed, record.Usage{Prompt: it.Prompt, Completion: it.Output})
		}
	}
}
