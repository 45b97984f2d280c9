package dispatch_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
	"github.com/comfreylink/comfreylink/pkg/target"
)

// BenchmarkPlacement measures the processor time of one call's way through a queue before 60 targets that report their load, as a
// gateway uses it and with a comparison of all targets. Instances have a tenth of a core.
func BenchmarkPlacement(b *testing.B) {
	o := options("fair", 8)
	o.Ramp, o.FirstCallMargin, o.ConnectSeconds, o.ConnectionKeep = 300*time.Millisecond, 2, 0.04, 4*time.Second
	o.ForeignHalfLife = time.Second
	b.Run("all", func(b *testing.B) { benchmarkPlacement(b, o) })
	o.ForeignHalfLife, o.CompareConnected, o.CompareOthers, o.Overcommit = 200*time.Millisecond, 3, 1, 2
	b.Run("gateway", func(b *testing.B) { benchmarkPlacement(b, o) })
}

// processorTime returns the processor time of the process, which other processes on the machine hardly change.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func benchmarkPlacement(b *testing.B, o dispatch.Options) {
	q, err := dispatch.New(o)
	if err != nil {
		b.Fatal(err)
	}
	list := []dispatch.Target{}
	for n := range 60 {
		list = append(list, dispatch.Target{ID: ids.TargetID(fmt.Sprintf("t%02d", n)), Zone: ids.Zone(fmt.Sprint("z", n%3)), State: dispatch.Live, Slots: 8})
	}
	q.UpdateTargets(epoch.Add(-time.Minute), list)
	now, before := epoch, processorTime(b)
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
	b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op")
}
