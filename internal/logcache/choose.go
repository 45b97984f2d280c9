package logcache

import (
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/leader"
)

const (
	// recordBytes is the size of the largest record of the log. A configuration may be as large.
	recordBytes = 256 << 10
	// maxSendTime is the longest time that the log may take to send one such record to each instance before reads go through readers.
	// In a smaller fleet the loss of a reader costs more than its reads save.
	maxSendTime = 250 * time.Millisecond
	// minZoneMembers is the least number of instances of a zone that has readers.
	minZoneMembers = 3
	// maxCandidates is the number of instances of a zone that read for others, one in place of another.
	maxCandidates = 3
)

// sharesReads reports whether a number of instances read through others. Appends go through them in smaller fleets too: a slow log
// makes ten a second in a partition.
func sharesReads(instances, readRate int) bool {
	return time.Duration(instances)*recordBytes*time.Second/time.Duration(readRate) > maxSendTime
}

// orderZone returns the instances of a zone that reach the log, in the order in which they read for the others.
func orderZone(members []leader.Member, zone ids.Zone) []leader.Member {
	var candidates []leader.Member
	for _, m := range members {
		if m.Zone == zone && m.Weight > 0 {
			candidates = append(candidates, m)
		}
	}
	return leader.OrderMembers(candidates, readersOrder)
}

// zoneReaders returns the instances that read and append for the others of a zone. A small zone has none.
func zoneReaders(members []leader.Member, zone ids.Zone) (readers []leader.Member) {
	order := orderZone(members, zone)
	if len(order) < minZoneMembers {
		return nil
	}
	return order[:maxCandidates]
}
