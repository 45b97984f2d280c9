package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// neighbors returns the instances that self probes. The listed instances form a ring, sorted by hash, and the neighbors
// are those 1, 2, 4, 8 ... positions further on. So each instance is probed by as many others as it probes, none is left
// out, gossip crosses the ring in a logarithmic number of steps, and an instance keeps few connections: of 380 members,
// each probes 9 and is probed by 9. With a new connection for each random probe, the handshakes alone would exceed 2 KB a
// second.
func neighbors(self ids.InstanceID, listed []ids.InstanceID) (l []ids.InstanceID) {
	ring := slices.Clone(listed)
	if !slices.Contains(ring, self) {
		ring = append(ring, self)
	}
	slices.SortFunc(ring, func(a, b ids.InstanceID) int {
		return cmp.Or(cmp.Compare(hash(a), hash(b)), cmp.Compare(a, b))
	})
	at := slices.Index(ring, self)
	for step := 1; step < len(ring); step *= 2 {
		l = append(l, ring[(at+step)%len(ring)])
	}
	return l
}

func hash(id ids.InstanceID) uint64 { return xxhash.Sum64String(string(id)) }
