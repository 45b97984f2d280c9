// Package evacuation keeps which zones are evacuated, and decides when an instance uses the targets of a zone again after its
// evacuation was revoked. An evacuated zone gets no new requests; those that run there are not interrupted.
package evacuation

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// ReturnSpread is the time over which the instances begin to use a target again after the evacuation of its zone was revoked.
// All instances read the revocation at about the same time, and none knows of the others' first requests, so without it each
// target would get one request of every instance at once.
const ReturnSpread = 2 * time.Second

// Zones holds the zones that are evacuated according to the log. It is not safe for concurrent use.
type Zones struct {
	evacuated map[ids.Zone]bool
	revoked   map[ids.Zone]time.Time // when the last evacuation was revoked
	seen      bool
}

// New returns a set in which no zone is evacuated.
func New() *Zones {
	return &Zones{evacuated: make(map[ids.Zone]bool), revoked: make(map[ids.Zone]time.Time)}
}

// Evacuate records that a zone is evacuated. It reports whether the zone was not evacuated before.
func (z *Zones) Evacuate(zone ids.Zone) (changed bool) {
	z.seen = true
	if z.evacuated[zone] {
		return false
	}
	z.evacuated[zone] = true
	delete(z.revoked, zone)
	return true
}

// Revoke records that a zone is no longer evacuated. It reports whether the zone was evacuated before.
func (z *Zones) Revoke(now time.Time, zone ids.Zone) (changed bool) {
	z.seen = true
	if !z.evacuated[zone] {
		return false
	}
	delete(z.evacuated, zone)
	z.revoked[zone] = now
	return true
}

// Missing returns the evacuated zones that are not in a complete list.
func (z *Zones) Missing(complete []ids.Zone) []ids.Zone {
	return slices.DeleteFunc(z.All(), func(zone ids.Zone) bool { return slices.Contains(complete, zone) })
}

// Evacuated reports whether a zone is evacuated.
func (z *Zones) Evacuated(zone ids.Zone) bool { return z.evacuated[zone] }

// Seen reports whether an evacuation or a revocation has ever been recorded.
func (z *Zones) Seen() bool { return z.seen }

// All returns the evacuated zones.
func (z *Zones) All() []ids.Zone { return slices.Sorted(maps.Keys(z.evacuated)) }

// Returning reports whether an instance does not use a target of a zone yet, because the evacuation was revoked only
// recently. Each instance waits for a different part of ReturnSpread before it uses a target, so that they do not all begin at once.
func (z *Zones) Returning(now time.Time, zone ids.Zone, self ids.InstanceID, t ids.TargetID) bool {
	at, ok := z.revoked[zone]
	if !ok {
		return false
	}
	since := now.Sub(at)
	if since >= ReturnSpread {
		delete(z.revoked, zone)
		return false
	}
	share := float64(ids.Rendezvous(string(self), string(t))) / math.MaxUint64
	return since < time.Duration(share*float64(ReturnSpread))
}
