package waitqueue

import (
	"time"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Options are the settings of all queues.
type Options struct {
	// Policy is the name of the dispatch policy.
	Policy string
	// RankMargin is how many slots of a target a request must leave free for each more urgent kind of requests.
	RankMargin int
	Now        func() time.Time
	// Seed of random choices between targets. It must differ between instances.
	Seed uint64
	// Zone is the instance's zone, and ZonePrice how many milliseconds of delay one KiB between zones is worth.
	Zone      ids.Zone
	ZonePrice float64
	// ZoneShareChanged is called when the share of a service's requests that may leave the zone has changed; nil for none.
	ZoneShareChanged func(service call.ServiceName, c dispatch.ZoneChange)
}

// overcommit is how many requests more than its slots a target may get, so that one is there as soon as a slot is free.
const overcommit = 2

// dispatchOptions returns the options of a service's queue.
func dispatchOptions(o Options, s *call.Service) dispatch.Options {
	options := dispatch.Options{
		Policy: o.Policy, RankMargin: o.RankMargin, Seed: o.Seed, Zone: o.Zone, ZonePrice: o.ZonePrice / 1000, // in seconds
	}
	options.Ramp, options.Probation = 300*time.Millisecond, time.Second
	options.ForeignHalfLife = foreignHalfLife
	options.HintHalfLife = time.Minute
	// Service already received hardly lowers a program's rank: a program that has got much of it is near its end.
	options.Share.AttainedMax = 1
	options.FirstCallMargin, options.Overcommit = overcommit, overcommit
	options.ConnectSeconds, options.ConnectionKeep = connectSeconds, connectionKeep
	options.CompareConnected, options.CompareOthers = comparedConnected, comparedOthers
	if s != nil && s.Engine != nil {
		options.PrefillRate, options.DecodeRate = enginePrefillRate, engineDecodeRate
	} else {
		options.PrefillRate, options.DecodeRate = enginePrefillRate, plainRate
	}
	return options
}

const (
	// connectSeconds is the cost of a new connection to a target, expressed as a longer duration of the call in seconds. A
	// connection may hold a slot of the target, and targets accept a limited number of connections from all instances
	// together.
	connectSeconds = 0.04
	// connectionKeep is how long an idle connection may still be reused.
	connectionKeep = 4 * time.Second
	// foreignHalfLife is about the duration of a call: later, a count of other instances' calls says little.
	foreignHalfLife = 200 * time.Millisecond
	// comparedConnected and comparedOthers are how many targets are compared for a request, with an open connection and without
	// one. More let instances that know the same choose the same target; docs/design/placement.md has the comparison.
	comparedConnected, comparedOthers = 3, 1
)

// Assumed speeds of a target until completed requests show its real speed.
const (
	// enginePrefillRate and engineDecodeRate are in tokens per second for one request.
	enginePrefillRate = 150_000
	engineDecodeRate  = 300
	// plainRate is in requests per second for one slot, for services without engines.
	plainRate = 10
)
