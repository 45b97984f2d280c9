package gateway

import (
	"context"
	"time"
)

const (
	// queueTick is how often the queues are checked for requests that can be placed only because time has passed.
	queueTick = 10 * time.Millisecond
	// updateInterval is how often the targets are applied to the queues again, because some of them expire by time alone.
	updateInterval = 500 * time.Millisecond
	// standbyInterval is how often an instance reads the partitions that it may have to lead.
	standbyInterval = time.Second
	// cleanupInterval is how often old state is deleted.
	cleanupInterval = 5 * time.Second
)

// tick does the periodic work: it places waiting requests, updates the queues' targets and deletes old state.
func (g *Gateway) tick(ctx context.Context) error {
	ticker := time.NewTicker(queueTick)
	defer ticker.Stop()
	lastCleanup, lastUpdate := g.now(), g.now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := g.now()
		g.queues.Tick(now)
		if now.Sub(lastUpdate) > updateInterval {
			lastUpdate = now
			g.updateReady(now)
			// After an outage of the log a removed target may still be used for some time. No event reports the end of that time.
			g.updateTargets(now)
		}
		if now.Sub(lastCleanup) > cleanupInterval {
			lastCleanup = now
			g.dropOld(now)
		}
	}
}

// standby keeps up with the partitions that this instance may have to lead.
func (g *Gateway) standby(ctx context.Context) error {
	ticker := time.NewTicker(standbyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			g.programs.Standby(ctx)
		}
	}
}

// dropOld closes idle connections and drops old turns, reports and programs from memory. Turns are kept for the longest
// retention of all routes.
func (g *Gateway) dropOld(now time.Time) {
	g.Client.CloseStale(now)
	retention := time.Duration(0)
	if t := g.follower.Table(); t != nil {
		for _, r := range t.Config.Routes {
			if r.Remembered {
				retention = max(retention, r.Retention)
			}
		}
	}
	g.programs.DropOld(now, retention)
	g.reports.DropOld(now)
	g.dropIdlePrograms(now)
}
