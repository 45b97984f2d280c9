// Package quota keeps the rates of workspaces across all instances. Each workspace has one instance that grants its
// requests, found by rendezvous hashing, so that nobody is refused while there is room. Every instance keeps the same
// bucket: its own grants are deducted at once, those of others when it reads their reports in the log. An instance that
// takes over therefore knows the bucket but for the last report's age.
package quota

import (
	"math"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

const (
	// minRetry is the shortest time after which a refused caller is asked to come back.
	minRetry = 40 * time.Millisecond
	// aheadPart is the part of a burst above which requests are granted ahead of need, aheadMost how many at most and
	// aheadShare the share of the room that one instance gets ahead.
	aheadPart  = 0.6
	aheadMost  = 4
	aheadShare = 0.1
)

// Limit is a workspace's setting.
type Limit struct {
	// Rate is in requests a second; 0 means no limit.
	Rate  float64
	Burst float64
}

// Usage is how many requests of a workspace an instance has granted since its last report.
type Usage struct {
	Workspace ids.WorkspaceID
	Granted   int
}

// Grant answers a request for tokens.
type Grant struct {
	// Tokens may be used now; more than asked for if there is plenty.
	Tokens int
	// Retry is when to ask again if there are none.
	Retry time.Duration
	// Level is what was left of the burst before.
	Level float64
}

// bucket is the state of one workspace.
type bucket struct {
	limit   Limit
	level   float64
	at      time.Time
	granted int // since the last report
	// created is when this instance began to keep the bucket, taken as full then.
	created time.Time
}

// Limiter holds the buckets of one instance. It is not safe for concurrent use.
type Limiter struct {
	buckets map[ids.WorkspaceID]*bucket
}

// New returns a keeper without limits.
func New() *Limiter { return &Limiter{buckets: make(map[ids.WorkspaceID]*bucket)} }

// Configure takes over the limits in force. Workspaces that are not named have none.
func (k *Limiter) Configure(now time.Time, limits map[ids.WorkspaceID]Limit) {
	for ws, l := range limits {
		b := k.buckets[ws]
		switch {
		case l.Rate <= 0:
			delete(k.buckets, ws)
		case b == nil:
			k.buckets[ws] = &bucket{limit: l, level: l.Burst, at: now, created: now}
		default:
			b.refill(now)
			b.limit = l
			b.level = min(b.level, l.Burst)
		}
	}
	for ws := range k.buckets {
		if _, ok := limits[ws]; !ok {
			delete(k.buckets, ws)
		}
	}
}

// refill adds what the rate gave since the last time.
func (b *bucket) refill(now time.Time) {
	seconds := max(now.Sub(b.at).Seconds(), 0)
	b.at = now
	b.level = min(b.level+b.limit.Rate*seconds, b.limit.Burst)
}

// Limited reports whether a workspace has a limit.
func (k *Limiter) Limited(ws ids.WorkspaceID) bool { return k.buckets[ws] != nil }

// Grant gives tokens of a workspace, if besides them a part spare of the burst is left: a request that begins something
// of many requests leaves room for what has begun before.
func (k *Limiter) Grant(now time.Time, ws ids.WorkspaceID, spare float64) Grant {
	b := k.buckets[ws]
	if b == nil {
		return Grant{Tokens: 1}
	}
	b.refill(now)
	if missing := 1 + spare*b.limit.Burst - b.level; missing > 0 {
		return Grant{Retry: max(time.Duration(missing/b.limit.Rate*float64(time.Second)), minRetry), Level: b.level}
	}
	n := 1
	if room := b.level - 1 - aheadPart*b.limit.Burst; room > 0 {
		n += int(min(math.Floor(room*aheadShare), aheadMost))
	}
	level := b.level
	b.level -= float64(n)
	b.granted += n
	return Grant{Tokens: n, Level: level}
}

// Return gives back tokens that this instance granted and that were not used.
func (k *Limiter) Return(now time.Time, ws ids.WorkspaceID, n int) {
	if b := k.buckets[ws]; b != nil {
		b.refill(now)
		b.level = min(b.level+float64(n), b.limit.Burst)
		b.granted -= n
	}
}

// Report returns what was granted since the last report, and begins a new one. Give it back with Restore if it could not
// be written.
func (k *Limiter) Report() (l []Usage) {
	for ws, b := range k.buckets {
		if b.granted != 0 {
			l = append(l, Usage{Workspace: ws, Granted: b.granted})
			b.granted = 0
		}
	}
	return l
}

// Restore takes back a report that was not written.
func (k *Limiter) Restore(l []Usage) {
	for _, u := range l {
		if b := k.buckets[u.Workspace]; b != nil {
			b.granted += u.Granted
		}
	}
}

// Merge takes over another instance's report, written at the time at. Of a report from before this instance kept the
// bucket, only what the rate has not given back since then is missing.
func (k *Limiter) Merge(now, at time.Time, l []Usage) {
	for _, u := range l {
		b := k.buckets[u.Workspace]
		if b == nil {
			continue
		}
		b.refill(now)
		refilled := 0.0
		if at.Before(b.created) {
			refilled = b.limit.Rate * now.Sub(at).Seconds()
		}
		b.level -= max(float64(u.Granted)-refilled, 0)
	}
}
