// Package target tracks what a dispatcher knows of the targets of one pool: how many calls each may get, how fast it is
// and which prefixes its cache holds. All of this is soft state, derived from instance lists, load reports and completions
// that may be late.
package target

import (
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// State is a target's state in the platform's instance list.
type State int

// States of targets.
const (
	Live State = iota + 1
	Leaving
	Dead
)

// Report is what the instance list and the load reports say about a target.
type Report struct {
	ID    ids.TargetID
	Zone  ids.Zone
	State State
	// Running and Waiting are the calls at the engine at the time ReportedAt of the dispatcher's clock. A zero ReportedAt
	// means that there is no load report.
	Running    int
	Waiting    int
	ReportedAt time.Time
	// CacheCapacity is the size of the engine's prefix cache; 0 if unknown.
	CacheCapacity ids.Tokens
	// Slots replaces Options.MaxInFlight for this target; 0 if unknown.
	Slots int
}

// Outcome is how a call at a target ended.
type Outcome int

// Outcomes.
const (
	// Completed: the target answered.
	Completed Outcome = iota + 1
	// Failed: the target answered with an error that the request itself caused.
	Failed
	// Died: the connection broke or timed out while the call ran.
	Died
	// NotSent: the call was not sent although it had been placed.
	NotSent
	// AnsweredLeaving: the target answered that it is leaving.
	AnsweredLeaving
	// Incomplete: the target did not complete its answer. The reason may concern this call only.
	Incomplete
	// TargetFull: the target refused the call because it has no free capacity.
	TargetFull
	// Unreachable: the target could not be reached, and the call was not sent.
	Unreachable
)

// CacheChange is the kind of a cache event.
type CacheChange int

// Kinds of cache events.
const (
	// CacheStored: the target holds Tokens of the prefix.
	CacheStored CacheChange = iota + 1
	// CacheEvicted: the target dropped the prefix.
	CacheEvicted
	// CacheLost: events were missed or the engine restarted, so nothing is known about the target's cache.
	CacheLost
)

// PrefixKey identifies a prompt prefix whose KV cache a target may hold.
type PrefixKey string

// Part is the prefix of a prompt that ends with one of its parts. Tokens is the length of the whole prefix.
type Part struct {
	Key    PrefixKey
	Tokens ids.Tokens
}

// CacheEvent is an engine's report about its prefix cache.
type CacheEvent struct {
	Target ids.TargetID
	Change CacheChange
	Prefix PrefixKey
	Tokens ids.Tokens
}

// Options are a pool's settings.
type Options struct {
	// MaxInFlight bounds the calls at one target, including those of other dispatchers.
	MaxInFlight int
	// Overcommit is how many of the calls that a target may get it queues itself; 0 if it runs all of them at once.
	Overcommit int
	// PrefillRate and DecodeRate are the assumed speed of a target for one call, in tokens per second. Completions correct
	// them by a factor for each target.
	PrefillRate float64
	DecodeRate  float64
	// HintHalfLife is the age at which only half of a prefix is expected to be still cached.
	HintHalfLife time.Duration
	// Ramp is the time over which the calls allowed at a new or recovered target grow from one to the full number.
	Ramp time.Duration
	// Probation is how long a target gets no calls after a failure. Then it gets one idempotent call at a time, and after a
	// second period of this length one call of any kind.
	Probation time.Duration
	// LeavingTimeout is how long a target that answered that it is leaving gets no calls, even if the list says it is live.
	LeavingTimeout time.Duration
	// ForeignHalfLife is the time after which the number of other dispatchers' calls in a load report has come halfway to the
	// pool's mean; 0 keeps the count until the next report.
	ForeignHalfLife time.Duration
	// ConnectSeconds is how much longer a call takes that needs a new connection to its target. ConnectionKeep is how long
	// an idle connection is kept open.
	ConnectSeconds float64
	ConnectionKeep time.Duration
}
