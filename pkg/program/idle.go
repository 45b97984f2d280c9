package program

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreylink/comfreylink/pkg/record"
)

// Idle returns the records that end the root programs which, with their sub-agents, were not used for longer than the
// given time. An end does not count if the program is used before it is folded. The owner leaves out the programs that
// have a call in progress.
func (s *Slot) Idle(now time.Time, after time.Duration) []*record.End {
	limit := now.Add(-after).UnixMilli()
	var ends []*record.End
	for id, f := range s.families {
		if f.LastUse < limit {
			at := f.LastAt
			ends = append(ends, &record.End{Epoch: s.epoch, Workspace: id.Workspace, Program: id.Root, LastUse: &at})
		}
	}
	slices.SortFunc(ends, func(a, b *record.End) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Program, b.Program))
	})
	return ends
}
