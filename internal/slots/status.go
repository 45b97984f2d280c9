package slots

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreylink/comfreylink/internal/journal"
	"github.com/comfreylink/comfreylink/internal/peer"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// SlotStatus is the state of an owned slot in the status dump.
type SlotStatus struct {
	Slot     ids.Slot       `json:"slot"`
	Epoch    ids.Epoch      `json:"epoch"`
	Ready    bool           `json:"ready"`
	Calls    int            `json:"calls"`
	Draining bool           `json:"draining,omitempty"`
	Ledgers  int            `json:"budgets"`
	Journal  journal.Status `json:"journal"`
}

// Status returns the state of the owned slots.
func (o *Slots) Status() (all []SlotStatus) {
	ready := map[ids.Slot]bool{}
	for _, r := range o.ready() {
		ready[r.Slot] = true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range o.runs {
		s := SlotStatus{Slot: r.Slot, Epoch: r.Epoch, Ready: ready[r.Slot]}
		if s.Ready {
			s.Journal = r.journal.Status()
		}
		r.mu.Lock()
		s.Calls, s.Draining, s.Ledgers = r.calls, r.draining, len(r.ledgers)
		r.mu.Unlock()
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b SlotStatus) int { return cmp.Compare(a.Slot, b.Slot) })
	return all
}

// QueryLiveness reports which of the programs of a slot exist. A program whose first call is in progress counts as
// alive although the log does not show it yet.
func (o *Slots) QueryLiveness(query peer.QueryLiveness) (a peer.LivenessResult) {
	r := o.Slot(query.Slot)
	if r == nil || !r.open() || !o.Lease.LeaseValid(time.Now()) {
		return peer.LivenessResult{NotOwner: true}
	}
	a.Alive = make([]bool, len(query.Programs))
	r.journal.View(func() {
		for i, p := range query.Programs {
			_, a.Alive[i] = r.fold.Program(p.Workspace, p.Program)
		}
	})
	for i, p := range query.Programs {
		a.Alive[i] = a.Alive[i] || r.Queues.Busy(Program{p.Workspace, p.Program}.QueueName())
	}
	return a
}

// open reports whether the slot's stream has been read and opened.
func (r *Run) open() bool {
	select {
	case <-r.ready:
		return true
	default:
		return false
	}
}
