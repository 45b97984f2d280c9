package dispatch

import (
	"time"

	"github.com/comfreylink/comfreylink/pkg/target"
	"github.com/comfreylink/comfreylink/pkg/zonecost"
)

// otherZoneCost is the latency of two hops between zones, in seconds. It decides between targets that are otherwise equal.
const otherZoneCost = 0.003

// ZoneChange is a change of the share of items that may leave the queue's own zone.
type ZoneChange struct {
	Share float64
	// Own and Others are the states of the own zone and of the others together.
	Own, Others zonecost.State
	// Cost is the cost of another zone for a typical item, in seconds.
	Cost float64
}

// UpdateZone decides again which share of items may leave the queue's own zone, and reports whether it has changed. Call it
// several times a second.
func (q *Queue) UpdateZone(now time.Time) (c ZoneChange, changed bool) {
	if !q.zone.Due(now) {
		return c, false
	}
	own, others := q.zoneStates(now)
	bytes := int(q.meanBytes)
	changed = q.zone.Update(now, own, others, bytes)
	return ZoneChange{Share: q.zone.Share(), Own: own, Others: others, Cost: q.zone.Cost(bytes)}, changed
}

// zoneStates returns the state of the queue's own zone, with the waiting items, and that of the other zones together.
func (q *Queue) zoneStates(now time.Time) (own, others zonecost.State) {
	for _, t := range q.targets.All() {
		if !t.Usable(now) {
			continue
		}
		s := &others
		if t.Zone() == q.opt.Zone {
			s = &own
		}
		free, slots := t.Room(now)
		seconds, _ := t.Seconds(now, 0, max(q.meanOutput, 1))
		s.Targets++
		s.Free, s.Slots, s.Seconds = s.Free+free, s.Slots+slots, s.Seconds+seconds
	}
	own.Seconds /= float64(max(own.Targets, 1))
	others.Seconds /= float64(max(others.Targets, 1))
	if ahead := float64(q.queued) - own.Free; ahead > 0 {
		own.Seconds += q.meanSeconds * ahead / max(own.Slots, 1)
	}
	return own, others
}

// maxZoneWait is how long an item waits for a target of its own zone before it may leave the zone whatever the share. It is
// less than the shortest time after which waiting items are refused: a refusal costs the caller more than the way.
const maxZoneWait = 50 * time.Millisecond

// mayUseZone reports whether an item may be sent to the zone of a target.
func (q *Queue) mayUseZone(now time.Time, e *entry, t *target.Target) bool {
	if t.Zone() == e.item.Zone || q.zone.MayLeave(e.zoneDraw, e.item.Bytes) {
		return true
	}
	left := e.item.Deadline.Sub(now).Seconds()
	return now.Sub(e.Arrived) >= maxZoneWait && q.zone.Cost(e.item.Bytes) < left
}

// zoneCost returns the cost of sending an item to the zone of a target, in seconds, and the reason for that zone.
func (q *Queue) zoneCost(e *entry, t *target.Target) (seconds float64, reason zonecost.Reason) {
	if t.Zone() == e.item.Zone {
		return 0, zonecost.OwnZone
	}
	return q.zone.EffectiveCost(e.item.Bytes), q.zone.Reason()
}
