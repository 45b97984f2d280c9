// Package target keeps what a dispatcher knows of the targets of one pool: how many calls each may get, how fast it is
// and which prefixes its cache holds. All of it is soft state from lists, reports and completions that may be late.
package target

import (
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// State is a target's state in the platform's list.
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
	// Running and Waiting are the calls at the engine at ReportedAt, by the dispatcher's clock; the zero time means that
	// there is no report.
	Running    int
	Waiting    int
	ReportedAt time.Time
	// CacheCapacity is the size of the engine's prefix cache; 0 if unknown.
	CacheCapacity ids.Tokens
	// Slots replaces MaxInFlight for this target; 0 if it is not known.
	Slots int
}

// Outcome is how a call at a target ended.
type Outcome int

// Outcomes.
const (
	// Completed: the target answered.
	Completed Outcome = iota + 1
	// Failed: the target answered with an error of the request's own.
	Failed
	// Died: the connection broke or timed out while the call ran.
	Died
	// NotSent: the call was not sent after all.
	NotSent
	// TargetLeft: the target answered that it is leaving.
	TargetLeft
	// Incomplete: the target did not complete its answer, which may concern this call only.
	Incomplete
	// TargetFull: the target refused the call because it has no room.
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
	// CacheLost: events were missed or the engine restarted; nothing is known about the target's cache.
	CacheLost
)

// PrefixKey identifies a history whose KV cache a target may hold.
type PrefixKey string

// Part is the beginning of a prompt up to the end of one of its parts, Tokens long in all.
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
	// MaxInFlight bounds the calls at one target, those of other dispatchers included.
	MaxInFlight int
	// PrefillRate and DecodeRate, in tokens a second for one call, are what a target is assumed to do until completions
	// show its speed.
	PrefillRate float64
	DecodeRate  float64
	// HintHalfLife is the age after which a cached prefix is believed half.
	HintHalfLife time.Duration
	// Ramp is the time in which a target that came back gets its full number of calls.
	Ramp time.Duration
	// Probation is how long a target gets nothing after a failure; then it gets one repeatable call at a time, and after
	// a second probation one call of any kind.
	Probation time.Duration
	// LeavingTimeout is how long a target's own word that it is leaving stands against the list.
	LeavingTimeout time.Duration
	// ForeignHalfLife is the time in which half of the calls of other dispatchers in a load report are taken to have
	// ended; 0 keeps the count until the next report.
	ForeignHalfLife time.Duration
	// ConnectSeconds is what a new connection to a target costs, in seconds of a call; ConnectionKeep is how long an idle
	// one is kept.
	ConnectSeconds float64
	ConnectionKeep time.Duration
}
