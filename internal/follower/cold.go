package follower

import (
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/quota"
)

// Cold reports whether a target is cold and its service limits the requests to cold targets.
func (f *Follower) Cold(now time.Time, t call.Target) bool {
	if f.coldRate(t) <= 0 {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cold.Left(now, t.ID, t.Born) > 0
}

// ColdAnswer records that a target said in an answer how long it stays cold.
func (f *Follower) ColdAnswer(now time.Time, t call.Target, left time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observeCold(now, t, left)
}

// ColdRefused records that a cold target did not get a request, because the owner of its limit did not grant one or the target
// refused it, and returns for how long the target gets no requests. jitter is a random number from 0 to 1.
func (f *Follower) ColdRefused(now time.Time, t call.Target, retry time.Duration, jitter float64) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cold.Refused(now, t.ID, retry, jitter)
}

// ColdGranted records that a request to a cold target was granted.
func (f *Follower) ColdGranted(t call.Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cold.Granted(t.ID)
}

// ColdTargets returns the number of cold targets.
func (f *Follower) ColdTargets(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cold.Count(now)
}

// ColdOf returns the cold targets of a service, and whether it has others that may get requests.
func (f *Follower) ColdOf(now time.Time, service call.ServiceName) (l []ids.TargetID, others bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.registry.Targets(now) {
		switch {
		case t.Service != service:
		case f.cold.Left(now, t.ID, t.Born) > 0:
			l = append(l, t.ID)
		case !t.Draining && !f.zones.Evacuated(t.Zone):
			others = true
		}
	}
	return l, others
}

// ColdLimits returns the limits of all targets whose service limits the requests to cold targets. Targets that are not known
// to be cold here are included, because other instances may have seen earlier that one is, and so are those that may not be
// used at the moment: their tokens may still come back.
func (f *Follower) ColdLimits() map[ids.WorkspaceID]quota.Limit {
	f.mu.Lock()
	defer f.mu.Unlock()
	limits := make(map[ids.WorkspaceID]quota.Limit)
	for _, t := range f.registry.Known() {
		if rate := f.coldRate(t); rate > 0 {
			limits[quota.ColdName(t.ID, t.Born)] = quota.ColdLimit(rate)
		}
	}
	return limits
}

// observeReport applies what the report of a target says about its cold time, before the report is registered. A target that
// appears after the list was read for the first time has just been started. The caller must hold mu.
func (f *Follower) observeReport(now time.Time, t call.Target) {
	left := t.ColdLeft
	if f.listed && !f.registry.Knows(t.ID, t.Born) {
		left = max(left, f.coldTime(t))
	}
	f.observeCold(now, t, left)
}

// observeCold records that a target stays cold for a time. The caller must hold mu.
func (f *Follower) observeCold(now time.Time, t call.Target, left time.Duration) {
	if f.cold.Observe(now, t.ID, t.Born, left) {
		limit := quota.ColdLimit(f.coldRate(t))
		events.Log(f.logger, events.TargetCold, zap.String("target", string(t.ID)), zap.String("service", string(t.Service)),
			zap.Duration("left", left), zap.Float64("rate", limit.Rate), zap.Float64("burst", limit.Burst))
	}
}

// coldTime returns how long the targets of t's service are cold after their start.
func (f *Follower) coldTime(t call.Target) time.Duration {
	if s := f.service(t); s != nil {
		return s.ColdTime
	}
	return 0
}

// coldRate returns how many requests a second t can serve while it is cold; 0 if there is no limit.
func (f *Follower) coldRate(t call.Target) float64 {
	if s := f.service(t); s != nil {
		return s.ColdRate
	}
	return 0
}

// service returns the configuration of t's service; nil if it is not known.
func (f *Follower) service(t call.Target) *call.Service {
	if table := f.table.Load(); table != nil {
		return table.Service(t.Service)
	}
	return nil
}
