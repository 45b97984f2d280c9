package dispatch

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/share"
	"github.com/comfreylink/comfreylink/pkg/target"
)

// Names of policies.
const (
	PolicyFair          = "fair"
	PolicyRoundRobin    = "roundRobin"
	PolicyLeastInFlight = "leastInFlight"
	PolicySticky        = "sticky"
)

// Options are a pool's settings. Zero values take the defaults.
type Options struct {
	Policy string
	// MaxQueued bounds the waiting items.
	MaxQueued int
	// FirstCallMargin is how many slots of its target the first call of a program must leave free.
	FirstCallMargin int
	// RankMargin is how many slots of its target an item must leave free for each more urgent kind of calls.
	RankMargin int
	// CompareConnected and CompareOthers are how many targets with an open connection and how many others the policy fair
	// compares for an item, chosen at random, besides those that may have its prefix cached. If both are 0, it compares all
	// targets. Set them if many dispatchers share the targets: each knows only some of the others' calls, and those that
	// compare all targets all choose the same one.
	CompareConnected, CompareOthers int
	// Seed of the random choices. It must differ between dispatchers.
	Seed uint64
	// ZonePrice is how much delay one KiB between zones is worth, in seconds; it may be infinite. At 0, items may always leave
	// their zone.
	ZonePrice float64
	// Zone is the dispatcher's own zone. It is used only with a ZonePrice.
	Zone ids.Zone
	target.Options
	Share share.Options
}

// DefaultOptions returns estimates that are to be replaced by measured values: the prefill and decode rates of a 70B model,
// a credit and a debt of about one and four seconds of a target's prefill, and an aging rate with which an old program
// waits at most 16 s behind new ones.
func DefaultOptions() Options {
	return Options{
		Policy: PolicyFair, MaxQueued: 10_000,
		Options: target.Options{
			MaxInFlight: 16, PrefillRate: 8_000, DecodeRate: 40, HintHalfLife: 10 * time.Minute,
			Ramp: 10 * time.Second, Probation: 5 * time.Second, LeavingTimeout: time.Minute,
		},
		Share: share.Options{
			Credit: 8_000, Debt: 32_000, AgingRate: 4_000, AttainedMax: 64_000, ProgramIdle: 10 * time.Minute,
		},
	}
}

func (o Options) withDefaults() Options {
	d := DefaultOptions()
	setDefault(&o.Policy, d.Policy)
	setDefault(&o.MaxQueued, d.MaxQueued)
	setDefault(&o.MaxInFlight, d.MaxInFlight)
	setDefault(&o.PrefillRate, d.PrefillRate)
	setDefault(&o.DecodeRate, d.DecodeRate)
	setDefault(&o.HintHalfLife, d.HintHalfLife)
	setDefault(&o.Ramp, d.Ramp)
	setDefault(&o.Probation, d.Probation)
	setDefault(&o.LeavingTimeout, d.LeavingTimeout)
	setDefault(&o.Share.Credit, d.Share.Credit)
	setDefault(&o.Share.Debt, d.Share.Debt)
	setDefault(&o.Share.AgingRate, d.Share.AgingRate)
	setDefault(&o.Share.AttainedMax, d.Share.AttainedMax)
	setDefault(&o.Share.ProgramIdle, d.Share.ProgramIdle)
	return o
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

func (o Options) validate() error {
	if o.MaxInFlight < 1 || o.MaxQueued < 1 {
		return errors.New("maxInFlight and maxQueued must be at least 1")
	}
	if min(o.CompareConnected, o.CompareOthers) < 0 {
		return errors.New("compareConnected and compareOthers must not be negative")
	}
	if !(o.ZonePrice >= 0) {
		return errors.New("zonePrice must not be negative")
	}
	if o.PrefillRate <= 0 || o.DecodeRate <= 0 || o.Share.AgingRate < 0 {
		return errors.New("prefillRate, decodeRate and agingRate must be positive")
	}
	if min(o.HintHalfLife, o.Ramp, o.Probation, o.LeavingTimeout, o.Share.ProgramIdle) < 0 {
		return errors.New("durations must not be negative")
	}
	if min(o.Share.Credit, o.Share.Debt, o.Share.AttainedMax) < 0 {
		return errors.New("credit, debt and attainedMax must not be negative")
	}
	return nil
}

// newPolicy returns the policy that the options name.
func newPolicy(o Options) (p Policy, err error) {
	switch o.Policy {
	case PolicyFair:
		return &fair{deferred: make(map[*target.Target]int), random: rand.New(rand.NewPCG(o.Seed, 0))}, nil
	case PolicyRoundRobin:
		return &roundRobin{}, nil
	case PolicyLeastInFlight:
		return leastInFlight{}, nil
	case PolicySticky:
		return sticky{}, nil
	default:
		return nil, fmt.Errorf("unknown dispatch policy %q", o.Policy)
	}
}
