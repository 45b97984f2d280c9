package leaders

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/leader"
)

// orderTTL is how long the order of a partition's leaders is kept. In a large fleet, to compute it takes longer than the rest of
// a call. An outdated order does no harm, since instances may know different leaders anyway.
const orderTTL = 100 * time.Millisecond

// order is the order of a partition's leaders, as it was at a time.
type order struct {
	members []leader.Member
	at      time.Time
	// discovered is false if the other instances were not known yet.
	discovered bool
}

// leaders returns the members in the order in which they may lead a partition. The caller must not change the list.
func (c *Client) leaders(p partlog.Partition) []leader.Member {
	now := c.Now()
	c.mu.Lock()
	o, ok := c.orders[p]
	c.mu.Unlock()
	if ok && o.discovered && now.Sub(o.at) < orderTTL {
		return o.members
	}
	discovered := c.discovered()
	o = order{members: c.computeOrder(p), at: now, discovered: discovered}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders[p] = o
	return o.members
}

// computeOrder returns the members in the order in which they may lead a partition. The partitions of a topic are dealt to the
// zones in turn, and the members of the partition's zone come first, so that each zone has leaders of its own. Members
// without a weight come last, whatever their zone.
func (c *Client) computeOrder(p partlog.Partition) []leader.Member {
	members := c.Members()
	zones := make(map[ids.Zone]bool)
	for _, m := range members {
		zones[m.Zone] = true
	}
	if len(zones) == 0 {
		return nil
	}
	home := slices.Sorted(maps.Keys(zones))[p.Part%len(zones)]
	var near, far []leader.Member
	for _, m := range members {
		if m.Zone == home && m.Weight > 0 {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	key := fmt.Sprintf("%s/%d", p.Topic, p.Part)
	return slices.Concat(leader.OrderMembers(near, key), leader.OrderMembers(far, key))
}
