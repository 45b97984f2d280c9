package fleet

import (
	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/slot"
)

// logSuspicions logs the suspicions that are new since the last call, and those that were contradicted since then.
func (f *Fleet) logSuspicions(reads []slot.SuspicionRead) {
	current := map[ids.WriterID]bool{}
	for _, r := range reads {
		current[r.Writer] = true
		if !f.suspected[r.Writer] {
			f.logSuspicion(events.PeerSuspected, r.Writer)
		}
	}
	for w := range f.suspected {
		if !current[w] && f.Table.Slots(w) != nil {
			f.logSuspicion(events.PeerAlive, w)
		}
	}
	f.suspected = current
}

func (f *Fleet) logSuspicion(e *events.Event, w ids.WriterID) {
	events.Log(f.Logger, e, zap.String("peer", string(slot.InstanceOf(w))), zap.String("writer", string(w)))
}
