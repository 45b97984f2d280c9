package slots

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// EndIdle ends the programs that were not used for longer than their template allows. It returns how many it ended.
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
		verdict, err := r.Append(ctx, e)
		if err != nil {
			return ended
		}
		if verdict == nil {
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
		// A slot that is handed over meanwhile gets its snapshots from its next owner.
		if err := r.journal.WriteSnapshot(ctx); err != nil && !r.Lost() && ctx.Err() == nil {
			events.Log(o.Logger, events.InternalError, zap.Int("slot", int(r.Slot)), zap.Error(err))
		}
	}
}

// ready returns the slots that are open.
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
