package gateway

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/relay"
	"github.com/comfreylink/comfreylink/internal/reports"
	"github.com/comfreylink/comfreylink/internal/waitqueue"
	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/region"
)

// zonesKnown reports whether this instance knows which zones are evacuated. After an outage of the log of that length an
// evacuation may have been published that must already have taken effect. It matters only where zones can be evacuated: if the
// settings name zones, or an evacuation was seen.
func (g *Gateway) zonesKnown(now time.Time) bool {
	if g.Settings.Bounds.Evacuate == 0 || len(g.Settings.Zones) == 0 && !g.follower.EvacuationSeen() {
		return true
	}
	age, ok := g.follower.ZonesFreshness(now)
	return ok && age <= g.Settings.Bounds.Evacuate-freshMargin
}

// checkZones determines in which zones the request may run, and refuses it at once if its service has no target there that is
// not evacuated.
func (e *exchange) checkZones() *refusal {
	var ofWorkspace []string
	if e.workspace != nil {
		ofWorkspace = e.workspace.Regions
	}
	e.zoneList = region.Map(e.Settings.Zones).Zones(e.route.Regions, ofWorkspace)
	if refused := e.queues.Check(e.route.Backend(e.backendKey()), dispatch.Item{Zones: e.zoneList}); refused != nil {
		return zonesRefusal(refused)
	}
	return nil
}

// zonesRefusal returns the refusal of a request that has not run and may run in no zone that has targets.
func zonesRefusal(r *waitqueue.Refusal) *refusal {
	code := codeEvacuated
	if r.Reason == waitqueue.ReasonRegion {
		code = codeRegion
	}
	return &refusal{status: fasthttp.StatusServiceUnavailable, code: code, retry: r.RetryAfter}
}

// MayPassOn reports whether another instance may see the records of a partition when it calls the log for this one. Records of
// programs hold the bodies of requests, and those of many workspaces together, so such an instance must be in a region that
// each restricted route and workspace allows.
func (g *Gateway) MayPassOn(p partlog.Partition, peer relay.Peer) bool {
	table := g.follower.Table()
	if p == g.Source.Config || p == g.Source.Targets || reports.Uses(p) {
		return true
	}
	if table == nil {
		return false
	}
	m := region.Map(g.Settings.Zones)
	for _, r := range table.Config.Routes {
		if !m.Allows(peer.Zone, r.Regions) {
			return false
		}
	}
	for _, w := range table.Config.Workspaces {
		if !m.Allows(peer.Zone, w.Regions) {
			return false
		}
	}
	return true
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
	mu      sync.Mutex
	running map[ids.Zone]int
	// evacuatedAt holds when this instance first saw a zone as evacuated, and emptied the evacuated zones that were reported to
	// be without requests.
	evacuatedAt map[ids.Zone]time.Time
	emptied     map[ids.Zone]bool
}

func newZoneUse() *zoneUse {
	return &zoneUse{running: make(map[ids.Zone]int), evacuatedAt: make(map[ids.Zone]time.Time), emptied: make(map[ids.Zone]bool)}
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

// newlyEmpty returns the evacuated zones in which no request runs any more and which it has not returned yet, with the times
// since their evacuations.
func (z *zoneUse) newlyEmpty(now time.Time, evacuated []ids.Zone) map[ids.Zone]time.Duration {
	z.mu.Lock()
	defer z.mu.Unlock()
	is := make(map[ids.Zone]bool, len(evacuated))
	empty := make(map[ids.Zone]time.Duration)
	for _, zone := range evacuated {
		is[zone] = true
		if z.evacuatedAt[zone].IsZero() {
			z.evacuatedAt[zone] = now
		}
		if z.running[zone] == 0 && !z.emptied[zone] {
			z.emptied[zone] = true
			empty[zone] = now.Sub(z.evacuatedAt[zone])
		}
	}
	for zone := range z.evacuatedAt {
		if !is[zone] {
			delete(z.evacuatedAt, zone)
			delete(z.emptied, zone)
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
