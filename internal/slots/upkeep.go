package slots

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// EndIdle ends the root programs of the owned slots that, with their sub-agents, were not used for longer than idle. It
// returns how many it ended.
func (o *Slots) EndIdle(ctx context.Context, now time.Time, idle time.Duration) (ended int) {
	for _, r := range o.ready() {
		ended += r.endIdle(ctx, now, idle)
	}
	return ended
}

func (r *Run) endIdle(ctx context.Context, now time.Time, idle time.Duration) (ended int) {
	var ends []*record.End
	r.journal.View(func() { ends = r.fold.Idle(now, idle) })
	for _, e := range ends {
		e.Epoch = r.Epoch
		rejection, err := r.Append(ctx, e)
		if err != nil {
			return ended
		}
		if rejection == nil {
			r.Forget(Program{e.Workspace, e.Program})
			ended++
		}
	}
	return ended
}

// WriteSnapshots writes a snapshot of each owned slot's stream that is due.
func (o *Slots) WriteSnapshots(ctx context.Context, due func(ids.Slot) bool) {
	for _, r := range o.ready() {
		if !due(r.Slot) {
			continue
		}
		// If the slot is handed over during the write, its next owner writes the snapshots, so the error does not
		// matter.
		if err := r.journal.WriteSnapshot(ctx); err != nil && !r.Lost() && ctx.Err() == nil {
			events.Log(o.Logger, events.InternalError, zap.Int("slot", int(r.Slot)), zap.Error(err))
		}
	}
}

// ready returns the slots whose streams have been read and opened.
func (o *Slots) ready() (runs []*Run) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range o.runs {
		if r.open() {
			runs = append(runs, r)
		}
	}
	return runs
}
