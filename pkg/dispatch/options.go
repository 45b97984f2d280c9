package dispatch

import (
	"errors"
	"fmt"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
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
	// MaxInFlight bounds the calls at one target, those of other dispatchers included.
	MaxInFlight int
	// MaxQueued bounds the waiting items.
	MaxQueued int
	// PrefillRate and DecodeRate, in tokens a second for one call, are what a target is assumed to do until completions
	// show its speed.
	PrefillRate float64
	DecodeRate  float64
	// Credit is how many tokens of service, by weight 1, an idle workspace saves up at most.
	Credit ids.Tokens
	// Debt is how many tokens a workspace can be behind for service it got while others were idle.
	Debt ids.Tokens
	// AgingRate is how many attained tokens one second of waiting offsets within a workspace.
	AgingRate float64
	// AttainedMax bounds the attained service that counts, and so the time for which new programs go before an old one.
	AttainedMax ids.Tokens
	// HintHalfLife is the age after which a cached prefix is believed half.
	HintHalfLife time.Duration
	// Ramp is the time in which a target that came back gets its full number of calls.
	Ramp time.Duration
	// Probation is how long a target gets nothing after a failure; then it gets one repeatable call.
	Probation time.Duration
	// LeftFor is how long a target's own word that it is leaving stands against the list.
	LeftFor time.Duration
	// ProgramIdle is how long the service that a program attained is remembered after its last call.
	ProgramIdle time.Duration
}

// DefaultOptions are assumptions, to be replaced by measured values: a 70B model's prefill and decode rates, a credit
// and debt of about one second of a target, and an aging that lets an old program wait 16 s behind new ones at most.
func DefaultOptions() Options {
	return Options{
		Policy: PolicyFair, MaxInFlight: 16, MaxQueued: 10_000,
		PrefillRate: 8_000, DecodeRate: 40,
		Credit: 8_000, Debt: 32_000,
		AgingRate: 4_000, AttainedMax: 64_000,
		HintHalfLife: 10 * time.Minute,
		Ramp:         10 * time.Second, Probation: 5 * time.Second, LeftFor: time.Minute, ProgramIdle: 10 * time.Minute,
	}
}

func (o Options) withDefaults() Options {
	d := DefaultOptions()
	setDefault(&o.Policy, d.Policy)
	setDefault(&o.MaxInFlight, d.MaxInFlight)
	setDefault(&o.MaxQueued, d.MaxQueued)
	setDefault(&o.PrefillRate, d.PrefillRate)
	setDefault(&o.DecodeRate, d.DecodeRate)
	setDefault(&o.Credit, d.Credit)
	setDefault(&o.Debt, d.Debt)
	setDefault(&o.AgingRate, d.AgingRate)
	setDefault(&o.AttainedMax, d.AttainedMax)
	setDefault(&o.HintHalfLife, d.HintHalfLife)
	setDefault(&o.Ramp, d.Ramp)
	setDefault(&o.Probation, d.Probation)
	setDefault(&o.LeftFor, d.LeftFor)
	setDefault(&o.ProgramIdle, d.ProgramIdle)
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
	if o.PrefillRate <= 0 || o.DecodeRate <= 0 || o.AgingRate < 0 {
		return errors.New("prefillRate and decodeRate must be positive and agingRate not negative")
	}
	if o.HintHalfLife <= 0 || o.Ramp < 0 || o.Probation < 0 || o.LeftFor < 0 || o.ProgramIdle < 0 {
		return errors.New("durations must not be negative and hintHalfLife must be positive")
	}
	if o.Credit < 0 || o.Debt < 0 || o.AttainedMax < 0 {
		return errors.New("credit, debt and attainedMax must not be negative")
	}
	return nil
}

// NewPolicy returns the policy of a name.
func NewPolicy(name string) (p Policy, err error) {
	switch name {
	case PolicyFair:
		return &fair{}, nil
	case PolicyRoundRobin:
		return &roundRobin{}, nil
	case PolicyLeastInFlight:
		return leastInFlight{}, nil
	case PolicySticky:
		return sticky{}, nil
	default:
		return nil, fmt.Errorf("unknown dispatch policy %q", name)
	}
}
