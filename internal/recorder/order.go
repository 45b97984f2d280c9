package recorder

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/leader"
)

// orderTime is how long the order of a partition's leaders is kept. To compute it takes longer than the rest of a call in a
// large fleet, and an order may be outdated anyway.
const orderTime = 100 * time.Millisecond

// order is the order of a partition's leaders, as it was at a time.
type order struct {
	members []Member
	at      time.Time
}

// leaders returns the members in the order in which they may lead a partition. The caller must not change the list.
func (r *Recorder) leaders(p partlog.Partition) []Member {
	now := r.Now()
	r.mu.Lock()
	o, ok := r.orders[p]
	r.mu.Unlock()
	if ok && now.Sub(o.at) < orderTime {
		return o.members
	}
	o = order{members: r.computeOrder(p), at: now}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders[p] = o
	return o.members
}

// computeOrder returns the members in the order in which they may lead a partition. The partitions of a topic are dealt to the
// zones in turn, and the members of the partition's zone come first, so that each zone has leaders of its own. Members
// without a weight come last, whatever their zone.
func (r *Recorder) computeOrder(p partlog.Partition) (list []Member) {
	members := r.Members()
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
