package gateway

import (
	"github.com/valyala/fasthttp"

	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/relay"
	"github.com/comfreylink/comfreylink/internal/reports"
	"github.com/comfreylink/comfreylink/internal/waitqueue"
	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/region"
)

// checkZones determines in which zones the request may run, and refuses it at once if its service has no target there that is
// not evacuated.
func (e *exchange) checkZones() *refusal {
	var ofWorkspace []string
	if e.workspace != nil {
		ofWorkspace = e.workspace.Regions
	}
	e.zoneList = region.Map(e.Settings.Zones).Zones(e.route.Regions, ofWorkspace)
	if refused := e.queues.CheckZones(e.route.Backend(e.backendKey()), dispatch.Item{Zones: e.zoneList}); refused != nil {
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
	if p == g.Source.Config || p == g.Source.Targets || p == g.Readers.Partition || reports.IsPartition(p) {
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
