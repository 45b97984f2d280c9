package target

import "time"

// Room estimates how many more calls the target can run at once now, and how many it can run in total.
func (t *Target) Room(now time.Time) (free, slots float64) {
	slots = float64(max(t.Allowed(now)-t.opt.Overcommit, 0))
	return max(slots-t.expected(now), 0), slots
}
