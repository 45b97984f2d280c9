package slot_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
	"github.com/comfreylink/comfreylink/pkg/slot"
)

// BenchmarkDecide measures one decision in a fleet of 380 daemons at rest, which each daemon repeats all the time.
func BenchmarkDecide(b *testing.B) {
	table := slot.New(64)
	start := time.Unix(1e9, 0)
	v := slot.View{Self: "i7#1", Lease: lease, SuspectAfter: suspectAfter, Started: start, LastRebalance: start}
	for i := range 380 {
		w := ids.WriterID(fmt.Sprintf("i%d#1", i))
		v.Live = append(v.Live, slot.Member{Writer: w, Instance: slot.InstanceOf(w)})
		if i < 64 {
			_ = table.Apply(*at(i), w, &record.Claim{Owner: w, Slots: slots(1, ids.Slot(i))})
		}
	}
	for b.Loop() {
		if bodies := table.Decide(start.Add(time.Hour), v); len(bodies) > 0 {
			b.Fatal(bodies)
		}
		table.Rebalance(start.Add(time.Hour), v)
	}
}
