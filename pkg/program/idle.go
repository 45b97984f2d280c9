package program

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreylink/comfreylink/pkg/record"
)

// Idle returns an end record for each root program that was not used for longer than after, sub-agents included. The fold
// rejects the record if the program is used before the record is folded. The caller must not append the records of
// programs with a call in progress.
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
