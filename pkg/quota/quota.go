// Package quota limits the request rates of workspaces across all instances. Each workspace has one granting instance,
// found by rendezvous hashing, so no request is refused while the workspace has tokens left. Every instance keeps a copy
// of the token bucket: it deducts its own grants at once, and those of others when it reads their reports in the log. An
// instance that becomes the granting one therefore misses only the grants since the last report.
package quota

import (
	"math"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

const (
	// minRetry is the minimum retry delay of a refused request.
	minRetry = 40 * time.Millisecond
	// aheadThreshold is the fraction of the burst that must be left for tokens to be granted ahead of need. Of the tokens
	// above it, one grant also includes the fraction aheadShare, but at most aheadMax tokens.
	aheadThreshold = 0.6
	aheadMax       = 4
	aheadShare     = 0.1
)

// Limit is a workspace's rate limit.
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

// State is the state of a workspace's bucket.
type State struct {
	Limit Limit
	// Level is the number of tokens in the bucket; it is negative if other instances' grants exceeded it.
	Level float64
	// Age is how long this instance has had the bucket.
	Age time.Duration
}

// Grant is the response to a request for a token.
type Grant struct {
	// Tokens is how many requests may be sent now: none, one, or more than one if many tokens are left.
	Tokens int
	// Retry is the retry delay if there are none.
	Retry time.Duration
	// Level is the number of tokens in the bucket before the grant.
	Level float64
}

// bucket is the token bucket of one workspace.
type bucket struct {
	limit   Limit
	level   float64   // tokens left; negative if other instances' grants exceeded it
	at      time.Time // when level was last refilled
	granted int       // since the last report
	// created is when this instance created the bucket, full.
	created time.Time
}

// Limiter holds the buckets of one instance. It is not safe for concurrent use.
type Limiter struct {
	buckets map[ids.WorkspaceID]*bucket
}

// New returns a limiter without limits.
func New() *Limiter { return &Limiter{buckets: make(map[ids.WorkspaceID]*bucket)} }

// Configure replaces the limits. Workspaces that are not in limits have none.
func (l *Limiter) Configure(now time.Time, limits map[ids.WorkspaceID]Limit) {
	for ws, newLimit := range limits {
		b := l.buckets[ws]
		switch {
		case newLimit.Rate <= 0:
			delete(l.buckets, ws)
		case b == nil:
			l.buckets[ws] = &bucket{limit: newLimit, level: newLimit.Burst, at: now, created: now}
		default:
			b.refill(now)
			b.limit = newLimit
			b.level = min(b.level, newLimit.Burst)
		}
	}
	for ws := range l.buckets {
		if _, ok := limits[ws]; !ok {
			delete(l.buckets, ws)
		}
	}
}

// refill adds the tokens that the rate has given since the last refill, up to the burst.
func (b *bucket) refill(now time.Time) {
	seconds := max(now.Sub(b.at).Seconds(), 0)
	b.at = now
	b.level = min(b.level+b.limit.Rate*seconds, b.limit.Burst)
}

// Limited reports whether a workspace has a limit.
func (l *Limiter) Limited(ws ids.WorkspaceID) bool { return l.buckets[ws] != nil }

// Grant takes one or more tokens from a workspace's bucket. It takes none if one token would leave less than the fraction
// headroom of the burst. The first request of a program asks for headroom, so that running programs find tokens for their
// next requests.
func (l *Limiter) Grant(now time.Time, ws ids.WorkspaceID, headroom float64) Grant {
	b := l.buckets[ws]
	if b == nil {
		return Grant{Tokens: 1}
	}
	b.refill(now)
	if missing := 1 + headroom*b.limit.Burst - b.level; missing > 0 {
		return Grant{Retry: max(time.Duration(missing/b.limit.Rate*float64(time.Second)), minRetry), Level: b.level}
	}
	n := 1
	if surplus := b.level - 1 - aheadThreshold*b.limit.Burst; surplus > 0 {
		n += int(min(math.Floor(surplus*aheadShare), aheadMax))
	}
	level := b.level
	b.level -= float64(n)
	b.granted += n
	return Grant{Tokens: n, Level: level}
}

// State returns the state of a workspace's bucket; ok is false if the workspace has no limit.
func (l *Limiter) State(now time.Time, ws ids.WorkspaceID) (s State, ok bool) {
	b := l.buckets[ws]
	if b == nil {
		return s, false
	}
	b.refill(now)
	return State{Limit: b.limit, Level: b.level, Age: now.Sub(b.created)}, true
}

// Return gives back unused tokens that this instance granted.
func (l *Limiter) Return(now time.Time, ws ids.WorkspaceID, n int) {
	if b := l.buckets[ws]; b != nil {
		b.refill(now)
		b.level = min(b.level+float64(n), b.limit.Burst)
		b.granted -= n
	}
}

// Report returns what was granted since the last report and resets the counts. The caller passes the report to Restore if
// it could not be written.
func (l *Limiter) Report() (usage []Usage) {
	for ws, b := range l.buckets {
		if b.granted != 0 {
			usage = append(usage, Usage{Workspace: ws, Granted: b.granted})
			b.granted = 0
		}
	}
	return usage
}

// Restore adds the counts of a report that was not written to the next one.
func (l *Limiter) Restore(usage []Usage) {
	for _, u := range usage {
		if b := l.buckets[u.Workspace]; b != nil {
			b.granted += u.Granted
		}
	}
}

// Merge deducts the grants in another instance's report, written at the time at. If the report is older than this
// instance's bucket, which was created full, it deducts only the grants that the rate has not refilled since then.
func (l *Limiter) Merge(now, at time.Time, usage []Usage) {
	for _, u := range usage {
		b := l.buckets[u.Workspace]
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
