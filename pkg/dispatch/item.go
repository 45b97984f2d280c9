// Package dispatch queues the calls to one pool of targets and decides in which order they are sent, and to which target.
//
// A queue belongs to one dispatcher, and all of its state is soft: if two dispatchers serve the same pool, only the quality
// of their decisions suffers, and a new dispatcher learns the in-flight counts from load reports.
package dispatch

import (
	"slices"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/share"
	"github.com/comfreylink/comfreylink/pkg/target"
	"github.com/comfreylink/comfreylink/pkg/zonecost"
)

// Ticket identifies an item within one queue; the caller chooses it.
type Ticket uint64

// Types of package target that callers of a queue need.
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
	Completed       = target.Completed
	Failed          = target.Failed
	Died            = target.Died
	NotSent         = target.NotSent
	AnsweredLeaving = target.AnsweredLeaving
	Incomplete      = target.Incomplete
	TargetFull      = target.TargetFull
	Unreachable     = target.Unreachable
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
	// Output estimates the tokens to be generated; 0 means the pool's mean.
	Output ids.Tokens
	// Prefix is the history that the prompt starts with, of PrefixTokens tokens; empty if there is none.
	Prefix       PrefixKey
	PrefixTokens ids.Tokens
	// Parts replaces Prefix if the prompt has several parts that targets cache.
	Parts    []target.Part
	Deadline time.Time
	Zone     ids.Zone
	// Bytes estimates the size of the request and its answer.
	Bytes int
	// Idempotent calls may run on a target that is on probation after a failure.
	Idempotent  bool `json:"Repeatable"`
	Fingerprint ids.Fingerprint
	// FirstCall marks the first call of a program. It must leave Options.FirstCallMargin slots of its target free, unless
	// the target is idle.
	FirstCall bool `json:"Begins"`
	// Rank is the number of more urgent kinds of calls in the pool. The item must leave Options.RankMargin slots of its target
	// free for each.
	Rank int
	// Suspected marks a call that was running at a target when the target died.
	Suspected bool
	// Excluded lists the targets on which the call already failed.
	Excluded []ids.TargetID
	// Zones are the only zones in which the call may run; nil means all.
	Zones []ids.Zone
}

// MayRunIn reports whether the call may run in a zone.
func (i Item) MayRunIn(zone ids.Zone) bool { return i.Zones == nil || slices.Contains(i.Zones, zone) }

// Placement assigns an item to the target to which it is sent now.
type Placement struct {
	Ticket Ticket
	Target ids.TargetID
	// Cached is how many of the prompt's tokens the target's prefix cache is expected to hold.
	Cached ids.Tokens
	// Expected is how long the item is expected to take at the target; 0 if the target has not completed a call yet.
	Expected time.Duration
	// ZoneReason says why the item leaves its zone, and ZoneCost what that was taken to cost; zero if it does not leave.
	ZoneReason zonecost.Reason
	ZoneCost   time.Duration
}

// Reason says why an item was refused.
type Reason string

// Reasons for refusals. A refused item was not sent to a target.
const (
	// ReasonDeadline: the estimated wait exceeds the time to the item's deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonShed: the item's workspace exceeds its share, and the item was removed so that an item of a workspace within its
	// share can wait.
	ReasonShed Reason = "shed"
	// ReasonExpired: the deadline passed in the queue.
	ReasonExpired Reason = "expired"
	// ReasonFull: the queue holds MaxQueued items.
	ReasonFull Reason = "full"
	// ReasonDuplicate: the ticket is already in use.
	ReasonDuplicate Reason = "duplicate"
)

// Refusal reports an item that leaves the queue without having been placed.
type Refusal struct {
	Ticket Ticket
	Reason Reason
	// RetryAt is the time from which the item's estimated wait would fit its deadline, if nothing else changes.
	RetryAt time.Time
}

// entry is an item in the queue or at a target.
type entry struct {
	share.Entry
	item         Item
	older, newer *entry // neighbors in the list of waiting items, which is ordered by arrival
	// deferredSince is when the item was first kept waiting for a full target; zero if it never was.
	deferredSince time.Time
	zoneDraw      float64 // compared with the share of items that may leave the zone
	target        *target.Target
	placed        time.Time
}

// mayRun reports whether an item may run at a target, regardless of the target's free capacity.
func (q *Queue) mayRun(now time.Time, e *entry, t *target.Target) bool {
	if t.IdempotentOnly(now) && !e.item.Idempotent {
		return false
	}
	return e.item.MayRunIn(t.Zone()) && !slices.Contains(e.item.Excluded, t.ID()) && q.mayUseZone(now, e, t) && !q.mustIsolate(now, e, t)
}

// hasCapacityFor reports whether a target has the free capacity that an item needs.
func (q *Queue) hasCapacityFor(now time.Time, e *entry, t *target.Target) bool {
	return t.HasCapacityFor(now, 1+q.margin(e))
}

// margin returns how many slots of its target an item must leave free. Targets know no priorities, so when there are too few
// slots, an item gets one before others only if these have left some.
func (q *Queue) margin(e *entry) int {
	margin := q.opt.RankMargin * max(e.item.Rank, 0)
	if e.item.FirstCall {
		margin += q.opt.FirstCallMargin
	}
	return margin
}

// fits reports whether an item may be sent to a target now.
func (q *Queue) fits(now time.Time, e *entry, t *target.Target) bool {
	return q.hasCapacityFor(now, e, t) && q.mayRun(now, e, t)
}
