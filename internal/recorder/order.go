package recorder

import (
	"fmt"

	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/leader"
)

// leaders returns the members in the order in which they may lead a partition.
func (r *Recorder) leaders(p partlog.Partition) (list []Member) {
	members := r.Members()
	byID := make(map[ids.InstanceID]Member, len(members))
	candidates := make([]leader.Candidate, 0, len(members))
	for _, m := range members {
		byID[m.Instance] = m
		candidates = append(candidates, m.Candidate)
	}
	for _, c := range leader.Order(candidates, fmt.Sprintf("%s/%d", p.Topic, p.Part)) {
		list = append(list, byID[c.Instance])
	}
	return list
}
