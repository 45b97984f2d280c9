// Package dispatch decides in which order the calls that wait before a model pool are sent, and to which targets.
//
// A queue belongs to one dispatcher. Everything it holds is soft state: a second dispatcher of the same pool costs
// quality only, and a new one learns the in-flight counts from load reports.
package dispatch

import (
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Ticket identifies an item within one queue; the caller chooses it.
type Ticket uint64

// PrefixKey identifies a history whose KV cache a target may hold.
type PrefixKey string

// Item is one call that waits for a target.
type Item struct {
	Ticket    Ticket
	Workspace ids.WorkspaceID
	// Weight is the workspace's share relative to others; 0 means 1.
	Weight  float64
	Program ids.ProgramID
	// Prompt estimates the prompt's tokens, the prefix included.
	Prompt ids.Tokens
	// Output estimates the tokens to be generated; 0 takes the pool's mean.
	Output ids.Tokens
	// Prefix is the history that the prompt starts with, of PrefixTokens tokens; empty if there is none.
	Prefix       PrefixKey
	PrefixTokens ids.Tokens
	Deadline     time.Time
	Zone         ids.Zone
	// Repeatable calls may run on a target that is being tried after a failure.
	Repeatable  bool
	Fingerprint ids.Fingerprint
	// Excluded are targets on which the call already failed.
	Excluded []ids.TargetID
}

// Placement says that an item goes to a target now.
type Placement struct {
	Ticket Ticket
	Target ids.TargetID
	// Cached is how many of the prompt's tokens the target is believed to hold.
	Cached ids.Tokens
}

// Reason says why an item was refused.
type Reason string

// Reasons of refusals. None of the refused items was sent to a target.
const (
	// ReasonDeadline: the estimated wait exceeds the item's deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonShed: the item gave way to a workspace within its share.
	ReasonShed Reason = "shed"
	// ReasonExpired: the deadline passed in the queue.
	ReasonExpired Reason = "expired"
	// ReasonFull: the queue holds MaxQueued items.
	ReasonFull Reason = "full"
	// ReasonDuplicate: the ticket is already in use.
	ReasonDuplicate Reason = "duplicate"
)

// Refusal ends an item that was not placed.
type Refusal struct {
	Ticket Ticket
	Reason Reason
	// RetryAt is when the item's wait would fit its deadline, by the present estimate.
	RetryAt time.Time
}

// Outcome is how a placed item ended.
type Outcome int

// Outcomes.
const (
	// Completed: the target answered.
	Completed Outcome = iota + 1
	// Failed: the target answered with an error of the request's own.
	Failed
	// Died: the connection broke or timed out while the item ran.
	Died
	// Unsent: the item was not sent after all.
	Unsent
	// Left: the target answered that it is leaving.
	Left
)

// State is a target's state in the platform's list.
type State int

// States of targets.
const (
	Live State = iota + 1
	Leaving
	Dead
)

// Target is what the instance list and the load reports say about a target.
type Target struct {
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
}

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

// CacheEvent is an engine's report about its prefix cache.
type CacheEvent struct {
	Target ids.TargetID
	Change CacheChange
	Prefix PrefixKey
	Tokens ids.Tokens
}
