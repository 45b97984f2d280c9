package logcache

import (
	"time"

	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/leader"
)

const (
	// recordBytes is the size of the largest record of the log. A configuration may be as large.
	recordBytes = 256 << 10
	// maxSendTime is the longest time that the log may take to send one such record to each instance before readers are used. In a
	// smaller fleet the loss of a reader costs more than its reads save.
	maxSendTime = 250 * time.Millisecond
	// minZoneMembers is the least number of instances of a zone for which one of them reads.
	minZoneMembers = 3
	// maxCandidates is the number of instances of a zone that read for others, one in place of another.
	maxCandidates = 3
)

// sendTime returns how long the log takes to send a record of recordBytes to each of a number of instances.
func sendTime(instances, readRate int) time.Duration {
	return time.Duration(instances) * recordBytes * time.Second / time.Duration(readRate)
}

// orderZone returns the instances of a zone that reach the log, in the order in which they read for the others.
func orderZone(members []Member, zone ids.Zone) (order []Member) {
	byID := make(map[ids.InstanceID]Member)
	var candidates []leader.Candidate
	for _, m := range members {
		if m.Zone == zone && m.Weight > 0 {
			byID[m.Instance] = m
			candidates = append(candidates, m.Candidate)
		}
	}
	for _, c := range leader.Order(candidates, readersOrder) {
		order = append(order, byID[c.Instance])
	}
	return order
}

// zoneReaders returns the instances that read for the others of a zone. It returns none if all instances should read directly.
func zoneReaders(members []Member, zone ids.Zone, readRate int) (readers []Member) {
	if sendTime(len(members), readRate) <= maxSendTime {
		return nil
	}
	order := orderZone(members, zone)
	if len(order) < minZoneMembers {
		return nil
	}
	return order[:maxCandidates]
}

// chooseReaders returns the instances of a zone that may read a partition for the others, in order. It returns none if all
// instances should read it directly.
func chooseReaders(members []Member, zone ids.Zone, p partlog.Partition, readRate int) (readers []Member) {
	return rotate(zoneReaders(members, zone, readRate), p)
}
