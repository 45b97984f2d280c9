package follower

import (
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// ZonesFreshness returns the time since the evacuations were last known to be up to date; ok is false before they were read.
// Unlike Freshness it does not depend on whether the configuration can be decoded.
func (f *Follower) ZonesFreshness(now time.Time) (age time.Duration, ok bool) {
	at := f.zonesConfirmed.Load()
	if at == 0 {
		return 0, false
	}
	return now.Sub(time.Unix(0, at)), true
}

// Evacuated reports whether a zone is evacuated.
func (f *Follower) Evacuated(zone ids.Zone) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.zones.Evacuated(zone)
}

// EvacuationSeen reports whether this instance has ever read an evacuation.
func (f *Follower) EvacuationSeen() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.zones.Seen()
}

// EvacuatedZones returns the evacuated zones.
func (f *Follower) EvacuatedZones() []ids.Zone {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.zones.All()
}

// applyZones applies the evacuations and revocations among the entries; complete says that the entries are all that there
// are, so that a zone without one is not evacuated. A malformed entry changes nothing, also if it hides an earlier one.
func (f *Follower) applyZones(entries []partlog.Entry, complete bool) {
	if f.source.DecodeEvacuation == nil {
		return
	}
	f.mu.Lock()
	now := f.now()
	changed := false
	var listed []ids.Zone
	for _, e := range entries {
		zone, ok, err := f.source.DecodeEvacuation(e.Key, e.Value)
		if !ok {
			continue
		}
		listed = append(listed, zone)
		switch {
		case err != nil:
			events.Log(f.logger, events.EntrySkipped, zap.String("stream", f.source.Config.Topic),
				zap.Int64("offset", int64(e.Offset)), zap.String("reason", err.Error()))
		case len(e.Value) == 0:
			changed = f.revoke(now, zone) || changed
		case f.zones.Evacuate(zone):
			changed = true
			events.Log(f.logger, events.ZoneEvacuated, zap.String("zone", string(zone)), zap.Bool("known", f.knownZone(zone)))
		}
	}
	if complete {
		for _, zone := range f.zones.Missing(listed) {
			changed = f.revoke(now, zone) || changed
		}
	}
	f.mu.Unlock()
	if changed {
		f.onChange(now)
	}
}

// revoke ends the evacuation of a zone. The caller must hold mu.
func (f *Follower) revoke(now time.Time, zone ids.Zone) (changed bool) {
	if !f.zones.Revoke(now, zone) {
		return false
	}
	events.Log(f.logger, events.EvacuationRevoked, zap.String("zone", string(zone)))
	for _, t := range f.registry.Targets(now) {
		if t.Zone == zone {
			f.observeCold(now, t, f.coldTime(t))
		}
	}
	return true
}

// knownZone reports whether a zone is in the settings or a target is in it. The caller must hold mu.
func (f *Follower) knownZone(zone ids.Zone) bool {
	if _, ok := f.source.Zones[zone]; ok {
		return true
	}
	for _, t := range f.registry.Targets(f.now()) {
		if t.Zone == zone {
			return true
		}
	}
	return false
}

// markEvacuated marks the targets in evacuated zones. Targets whose zone is back in use count as evacuated for a part of
// evacuation.ReturnSpread if their service has others. The caller must hold mu.
func (f *Follower) markEvacuated(now time.Time, list []call.Target) {
	others := make(map[call.ServiceName]bool)
	returning := make([]bool, len(list))
	for i := range list {
		t := &list[i]
		t.Evacuated = f.zones.Evacuated(t.Zone)
		returning[i] = f.zones.Returning(now, t.Zone, f.source.Self, t.ID)
		if !t.Draining && !t.Evacuated && !returning[i] {
			others[t.Service] = true
		}
	}
	for i := range list {
		list[i].Evacuated = list[i].Evacuated || returning[i] && others[list[i].Service]
	}
}
