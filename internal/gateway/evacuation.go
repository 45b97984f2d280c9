package gateway

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// zonesKnown reports whether this instance may rely on what it knows of evacuated zones. If its last read of the evacuations is
// older than Bounds.Evacuate, one may have been published that must have taken effect by now. Where zones cannot be evacuated,
// that is if the settings name none and no evacuation was seen, it always may.
func (g *Gateway) zonesKnown(now time.Time) bool {
	if g.Settings.Bounds.Evacuate == 0 || len(g.Settings.Zones) == 0 && !g.follower.EvacuationSeen() {
		return true
	}
	age, ok := g.follower.ZonesFreshness(now)
	return ok && age <= g.Settings.Bounds.Evacuate-freshMargin
}

// targetWithdrawn returns the result of an attempt whose target may no longer get the request, although it was chosen for it;
// nil if it may. It is asked immediately before the request is written.
func (e *exchange) targetWithdrawn(t call.Target) *attemptResult {
	var res attemptResult
	switch {
	case e.follower.IsLeaving(t):
		res = e.notSent("targetLeaving", dispatch.AnsweredLeaving, nil)
	case e.follower.Evacuated(t.Zone):
		res = e.notSent("zoneEvacuated", dispatch.NotSent, nil)
	case !e.zonesKnown(e.now()):
		r := e.failureRefusal(fasthttp.StatusServiceUnavailable, codeStale)
		res = attemptResult{done: true, refusal: r, reason: string(codeStale), outcome: dispatch.NotSent}
	default:
		return nil
	}
	return &res
}

// zoneUse counts the requests of this instance that run in each zone.
type zoneUse struct {
	mu          sync.Mutex
	running     map[ids.Zone]int
	evacuatedAt map[ids.Zone]time.Time // when newlyEmpty first got a zone as evacuated
	reported    map[ids.Zone]bool      // the evacuated zones that newlyEmpty has returned
}

func newZoneUse() *zoneUse {
	return &zoneUse{running: make(map[ids.Zone]int), evacuatedAt: make(map[ids.Zone]time.Time), reported: make(map[ids.Zone]bool)}
}

func (z *zoneUse) begin(zone ids.Zone) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.running[zone]++
}

func (z *zoneUse) end(zone ids.Zone) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.running[zone]--; z.running[zone] == 0 {
		delete(z.running, zone)
	}
}

// newlyEmpty returns the evacuated zones in which no request runs any more, with the time since each evacuation. It returns a
// zone once for each evacuation.
func (z *zoneUse) newlyEmpty(now time.Time, evacuated []ids.Zone) map[ids.Zone]time.Duration {
	z.mu.Lock()
	defer z.mu.Unlock()
	stillEvacuated := make(map[ids.Zone]bool, len(evacuated))
	empty := make(map[ids.Zone]time.Duration)
	for _, zone := range evacuated {
		stillEvacuated[zone] = true
		if z.evacuatedAt[zone].IsZero() {
			z.evacuatedAt[zone] = now
		}
		if z.running[zone] == 0 && !z.reported[zone] {
			z.reported[zone] = true
			empty[zone] = now.Sub(z.evacuatedAt[zone])
		}
	}
	for zone := range z.evacuatedAt {
		if !stillEvacuated[zone] {
			delete(z.evacuatedAt, zone)
			delete(z.reported, zone)
		}
	}
	return empty
}

// logEmptyZones logs which evacuated zones run no request of this instance any more.
func (g *Gateway) logEmptyZones(now time.Time) {
	evacuated := g.follower.EvacuatedZones()
	if len(evacuated) == 0 && !g.follower.EvacuationSeen() {
		return
	}
	for zone, took := range g.zones.newlyEmpty(now, evacuated) {
		events.Log(g.Logger, events.ZoneEmpty, zap.String("zone", string(zone)), zap.Duration("duration", took))
	}
}
