package gateway

import (
	"time"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/telemetry"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/quota"
)

// Dump is the gateway's state for operators. It holds no keys and no bodies.
type Dump struct {
	Instance      string        `json:"instance"`
	Run           string        `json:"run"`
	Ready         bool          `json:"ready"`
	Draining      bool          `json:"draining"`
	ConfigVersion int64         `json:"configVersion"`
	ConfigAgeMs   int64         `json:"configAgeMs"`
	Targets       []call.Target `json:"targets"`
	// EvacuatedZones are the zones that get no requests, and Cold is how many targets are cold.
	EvacuatedZones []ids.Zone `json:"evacuatedZones,omitempty"`
	Cold           int        `json:"cold"`
	Waiting        int        `json:"waiting"`
	InProgress     int        `json:"inProgress"`
	Turns          int        `json:"turns"`
	Instances      int        `json:"instances"`
	// Shards is how many shards of the rate limits the instance owns, LeaseMs how long it may grant from them.
	Shards  int   `json:"shards"`
	LeaseMs int64 `json:"leaseMs"`
}

// Dump returns the gateway's current state as a value of type Dump.
func (g *Gateway) Dump() any {
	now := g.now()
	age, _ := g.follower.Freshness(now)
	d := Dump{
		Instance: string(g.Settings.Instance.ID), Run: g.RunID, Ready: g.ready.Load(), Draining: g.draining.Load(),
		ConfigVersion: g.configVersion(), ConfigAgeMs: age.Milliseconds(), Targets: g.follower.Targets(now),
		EvacuatedZones: g.follower.EvacuatedZones(), Cold: g.follower.ColdTargets(now),
		Waiting: g.queues.Len(), InProgress: g.server.Active(), Turns: g.programs.Turns(),
	}
	g.grants.View(func(l *quota.Limiter) {
		d.Instances = l.Leases.Members(now)
		n, validUntil := l.Leases.Held()
		d.Shards, d.LeaseMs = n, max(validUntil.Sub(now).Milliseconds(), 0)
	})
	return d
}

func (g *Gateway) configVersion() int64 {
	if t := g.follower.Table(); t != nil {
		return t.Config.Version
	}
	return 0
}

// Observed returns the functions that metrics read values from. dropped returns the number of log lines that were dropped.
func (g *Gateway) Observed(dropped func() int64) telemetry.Observed {
	return telemetry.Observed{
		ConfigVersion: g.configVersion,
		ConfigAge: func() time.Duration {
			age, _ := g.follower.Freshness(g.now())
			return age
		},
		Waiting: g.queues.Len, Turns: g.programs.Turns, LinesDropped: dropped,
		EvacuatedZones: func() int { return len(g.follower.EvacuatedZones()) },
		ColdTargets:    func() int { return g.follower.ColdTargets(g.now()) },
	}
}
