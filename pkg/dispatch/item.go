// Package dispatch decides in which order the calls that wait before a model pool are sent, and to which targets.
//
// A queue belongs to one dispatcher. Everything it holds is soft state: a second dispatcher of the same pool costs
// quality only, and a new one learns the in-flight counts from load reports.
package dispatch

import (
	"slices"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/share"
	"github.com/comfreylink/comfreylink/pkg/target"
)

// Ticket identifies an item within one queue; the caller chooses it.
type Ticket uint64

// The words for targets, which callers of a queue need.
type (
	PrefixKey  = target.PrefixKey
	Target     = target.Report
	State      = target.State
	Outcome    = target.Outcome
	CacheEvent = target.CacheEvent
)

// States of targets.
const (
	Live    = target.Live
	Leaving = target.Leaving
	Dead    = target.Dead
)

// Outcomes of placed items.
const (
	Completed   = target.Completed
	Failed      = target.Failed
	Died        = target.Died
	NotSent     = target.NotSent
	TargetLeft  = target.TargetLeft
	Incomplete  = target.Incomplete
	TargetFull  = target.TargetFull
	Unreachable = target.Unreachable
)

// Kinds of cache events.
const (
	CacheStored  = target.CacheStored
	CacheEvicted = target.CacheEvicted
	CacheLost    = target.CacheLost
)

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
	// Parts are given instead of Prefix where a prompt is made of several parts that targets cache.
	Parts    []target.Part
	Deadline time.Time
	Zone     ids.Zone
	// Idempotent calls may run on a target that is being tried after a failure.
	Idempotent  bool `json:"Repeatable"`
	Fingerprint ids.Fingerprint
	// FirstCall: the call is the first of its program. It leaves Options.FirstCallMargin places of a target free.
	FirstCall bool `json:"Begins"`
	// Suspected: a target died while it ran the call.
	Suspected bool
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

// entry is an item in the queue or at a target.
type entry struct {
	share.Entry
	item         Item
	older, newer *entry // waiting items by arrival
	// deferredSince is when the item was first left waiting for its preferred target.
	deferredSince time.Time
	target        *target.Target
	placed        time.Time
}

// mayRun reports whether an item may go to a target when it has room.
func (q *Queue) mayRun(now time.Time, e *entry, t *target.Target) bool {
	if t.IdempotentOnly(now) && !e.item.Idempotent {
		return false
	}
	return !slices.Contains(e.item.Excluded, t.ID()) && !q.keptApart(now, e, t)
}

// roomFor reports whether a target may get an item, as far as its calls go.
func (q *Queue) roomFor(now time.Time, e *entry, t *target.Target) bool {
	if e.item.FirstCall {
		return t.HasCapacityFor(now, 1+q.opt.FirstCallMargin)
	}
	return t.HasCapacity(now)
}

// fits reports whether an item may go to a target now.
func (q *Queue) fits(now time.Time, e *entry, t *target.Target) bool {
	return q.roomFor(now, e, t) && q.mayRun(now, e, t)
}
