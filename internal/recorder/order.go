package recorder

import (
	"fmt"
	"maps"
	"slices"

	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/leader"
)

// leaders returns the members in the order in which they may lead a partition.
func (r *Recorder) leaders(p partlog.Partition) []Member {
	now := r.Now()
	r.mu.Lock()
	known, ok := r.orders[p]
	r.mu.Unlock()
	if ok && now.Sub(known.at) < orderAge {
		return known.list
	}
	list := orderMembers(r.Members(), p)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders[p] = order{at: now, list: list}
	return list
}

// orderMembers sorts the members in the order in which they may lead a partition. The partitions of a topic are dealt to the
// zones in turn, and the members of the partition's zone come first, so that each zone has leaders of its own. Members
// without a weight come last, whatever their zone.
func orderMembers(members []Member, p partlog.Partition) (list []Member) {
	byID := make(map[ids.InstanceID]Member, len(members))
	zones := make(map[ids.Zone]bool)
	for _, m := range members {
		byID[m.Instance] = m
		zones[m.Zone] = true
	}
	if len(zones) == 0 {
		return nil
	}
	home := slices.Sorted(maps.Keys(zones))[p.Part%len(zones)]
	var near, far []leader.Candidate
	for _, m := range members {
		if m.Zone == home && m.Weight > 0 {
			near = append(near, m.Candidate)
		} else {
			far = append(far, m.Candidate)
		}
	}
	key := fmt.Sprintf("%s/%d", p.Topic, p.Part)
	for _, c := range slices.Concat(leader.Order(near, key), leader.Order(far, key)) {
		list = append(list, byID[c.Instance])
	}
	return list
}
