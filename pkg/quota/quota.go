// Package quota limits the request rates of workspaces across all instances. Each workspace's limit is divided into parts,
// the more of them the larger its burst is. One instance at a time owns a part and grants requests from its token bucket;
// leases in the log decide which one. What an owner has granted is not known to the next one, so the next one's bucket begins
// empty, or with the debt of the tokens that the last one has granted ahead.
//
// All instances together grant at most Rate*d + Burst + Parts requests of a workspace in any time d. While the limit is changed
// so that it has another number of parts, instances that know different limits may grant up to half more.
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
	// minPartBurst is the smallest burst of a part, unless the limit is not divided. Each part can keep a fraction of a token
	// that no request gets, and a first call needs one token and the reserve in the same part, so small parts leave much of
	// the limit unused. With one part, a silent owner takes the whole limit away until its lease ends.
	minPartBurst = 3
)

// Limit is a workspace's rate limit.
type Limit struct {
	// Rate is in requests a second; 0 means no limit.
	Rate  float64
	Burst float64
}

// parts returns the number of parts into which the limit is divided.
func (l Limit) parts() int {
	return int(min(max(l.Burst/minPartBurst, 1), Parts))
}

// part returns the limit of one part. A bucket that held less than one token would never grant.
func (l Limit) part() Limit {
	n := float64(l.parts())
	return Limit{Rate: l.Rate / n, Burst: max(l.Burst/n, 1)}
}

// Grant is the response to a request for a token.
type Grant struct {
	// Tokens is how many requests may be sent: none, one, or more than one if many tokens are left.
	Tokens int
	// Wait is how long to wait before the request is sent.
	Wait time.Duration
	// Retry is the retry delay if there are none.
	Retry time.Duration
	// Level is the number of tokens in the part's bucket before the grant.
	Level float64
	// Bucket is the bucket from which the tokens were taken.
	Bucket BucketID
}

// BucketID identifies a bucket among all that any owner of a part has ever had.
type BucketID struct {
	// Claimed is the claim of the shard to which the bucket's tokens belong.
	Claimed ids.Offset `json:"claimed"`
	// Seq numbers the buckets that one owner has made.
	Seq uint64 `json:"seq"`
}

// Usage is what this instance has granted of a workspace's requests since the last call of TakeUsage.
type Usage struct {
	Workspace ids.WorkspaceID
	Granted   int
	// WithHeadroom is how many of these had to leave headroom: first requests of programs and those of very long ones.
	WithHeadroom int
	// Level is the number of tokens in the buckets of the parts that it owns, and Owned the number of these parts.
	Level float64
	Owned int
	Limit Limit
}

// configured is the limit of a workspace and since when it has one.
type configured struct {
	Limit
	since time.Time
}

type bucketKey struct {
	workspace ids.WorkspaceID
	part      int
}

// bucket is the token bucket of one part of a workspace's limit.
type bucket struct {
	limit Limit
	level float64   // negative if tokens were granted that the bucket did not have yet
	at    time.Time // when level was last refilled
	id    BucketID
	// granted and withHeadroom count requests since the last call of TakeUsage.
	granted, withHeadroom int
}

// take takes the tokens of one grant.
func (b *bucket) take(n int, headroom float64) {
	b.level -= float64(n)
	b.granted += n
	if headroom > 0 {
		b.withHeadroom += n
	}
}

// Limiter holds the limits of the workspaces and the buckets of the parts that this instance owns. It is not safe for
// concurrent use.
type Limiter struct {
	// Leases decides which parts this instance owns.
	Leases  *Leases
	limits  map[ids.WorkspaceID]configured
	buckets map[bucketKey]*bucket
	// lastBucket is the Seq of the last bucket that was made.
	lastBucket uint64
}

// New returns a limiter without limits.
func New(l *Leases) *Limiter {
	return &Limiter{Leases: l, limits: make(map[ids.WorkspaceID]configured), buckets: make(map[bucketKey]*bucket)}
}

// Configure replaces the limits. Workspaces that are not in limits have none.
func (l *Limiter) Configure(now time.Time, limits map[ids.WorkspaceID]Limit) {
	for ws := range l.limits {
		if limits[ws].Rate <= 0 {
			delete(l.limits, ws)
		}
	}
	for ws, limit := range limits {
		if limit.Rate <= 0 {
			continue
		}
		c, known := l.limits[ws]
		if !known {
			c.since = now
		}
		c.Limit = limit
		l.limits[ws] = c
	}
	for key, b := range l.buckets {
		c, ok := l.limits[key.workspace]
		if !ok {
			delete(l.buckets, key)
			continue
		}
		b.refill(now)
		b.limit = c.part()
		b.level = min(b.level, b.limit.Burst)
	}
}

// refill adds the tokens that the rate has given since the last refill, up to the burst.
func (b *bucket) refill(now time.Time) {
	if !now.After(b.at) {
		return
	}
	b.level = min(b.level+b.limit.Rate*now.Sub(b.at).Seconds(), b.limit.Burst)
	b.at = now
}

// Limited reports whether a workspace has a limit.
func (l *Limiter) Limited(ws ids.WorkspaceID) bool {
	_, ok := l.limits[ws]
	return ok
}

// PartsOf returns the number of parts of a workspace's limit.
func (l *Limiter) PartsOf(ws ids.WorkspaceID) int { return l.limits[ws].parts() }

// Ask describes a request for tokens from one part of a workspace's limit.
type Ask struct {
	Workspace ids.WorkspaceID
	Part      int
	// Headroom is the fraction of the burst that must be left. The first request of a program asks for headroom, so that
	// running programs find tokens for their next requests.
	Headroom float64
	// MaxWait is how long the request can wait for its token. More than MaxAhead counts as MaxAhead.
	MaxWait time.Duration
}

// Grant takes one or more tokens from the bucket of a part. If the bucket has too few, it takes one that the bucket will have
// after at most MaxWait, so that waiting requests are served in the order in which they asked. It reports whether this instance
// owns the part; otherwise it grants nothing.
func (l *Limiter) Grant(now time.Time, a Ask) (g Grant, owned bool) {
	if !l.Limited(a.Workspace) {
		if IsCold(a.Workspace) {
			return Grant{Retry: minRetry}, true
		}
		return Grant{Tokens: 1}, true
	}
	if a.Part >= l.PartsOf(a.Workspace) { // the caller knows another limit
		return g, false
	}
	b := l.bucket(now, a.Workspace, a.Part)
	if b == nil {
		return g, false
	}
	// At least one token is granted from a full bucket, however small it is.
	reserve := min(a.Headroom*b.limit.Burst, b.limit.Burst-1)
	if missing := 1 + reserve - b.level; missing > 0 {
		wait := time.Duration(missing / b.limit.Rate * float64(time.Second))
		if wait > min(a.MaxWait, MaxAhead) || !now.Add(wait).Before(l.Leases.ValidUntil(ShardOf(a.Workspace, a.Part))) {
			return Grant{Retry: max(wait, minRetry), Level: b.level}, true
		}
		g = Grant{Tokens: 1, Wait: wait, Level: b.level, Bucket: b.id}
		b.take(1, a.Headroom)
		return g, true
	}
	n := 1
	if surplus := b.level - 1 - aheadThreshold*b.limit.Burst; surplus > 0 {
		n += int(min(math.Floor(surplus*aheadShare), aheadMax))
	}
	g = Grant{Tokens: n, Level: b.level, Bucket: b.id}
	b.take(n, a.Headroom)
	return g, true
}

// Return puts back the token of a request that has not run and will not. The bucket is then as if it had never granted the
// token, however long ago that was. A bucket that does not exist any more gets nothing back.
func (l *Limiter) Return(now time.Time, ws ids.WorkspaceID, part int, id BucketID) {
	if !l.Limited(ws) || part < 0 || part >= l.PartsOf(ws) {
		return
	}
	b := l.bucket(now, ws, part)
	if b == nil || b.id != id {
		return
	}
	b.level = min(b.level+1, b.limit.Burst)
	b.granted--
}

// Granted reports whether this run has made a bucket and not replaced it since, also if it does not own the part any more.
func (l *Limiter) Granted(ws ids.WorkspaceID, part int, id BucketID) bool {
	b := l.buckets[bucketKey{workspace: ws, part: part}]
	return b != nil && b.id == id
}

// bucket returns the refilled bucket of a part that this instance owns, or nil.
func (l *Limiter) bucket(now time.Time, ws ids.WorkspaceID, part int) *bucket {
	claimed, emptyAt, ok := l.Leases.Holds(now, ShardOf(ws, part))
	if !ok {
		return nil
	}
	key := bucketKey{workspace: ws, part: part}
	b := l.buckets[key]
	if b == nil || b.id.Claimed != claimed {
		c := l.limits[ws]
		if c.since.After(emptyAt) {
			emptyAt = c.since
		}
		l.lastBucket++
		b = &bucket{limit: c.part(), at: emptyAt, id: BucketID{Claimed: claimed, Seq: l.lastBucket}}
		if debt := emptyAt.Sub(now); debt > 0 {
			b.level, b.at = -b.limit.Rate*debt.Seconds(), now
		}
		l.buckets[key] = b
	}
	b.refill(now)
	return b
}

// NewReport returns this run's next report, to be sent now. If the run is leaving, the report says for each of its shards how
// long tokens that were granted ahead are still used, so that the next owner does not grant beside them.
func (l *Limiter) NewReport(now time.Time) Report {
	r := l.Leases.NewReport(now)
	if len(r.Released) == 0 {
		return r
	}
	debts := make(map[Owned]time.Duration)
	for key, b := range l.buckets {
		b.refill(now)
		o := Owned{Shard: ShardOf(key.workspace, key.part), Claimed: b.id.Claimed}
		debts[o] = max(debts[o], time.Duration(-b.level/b.limit.Rate*float64(time.Second)))
	}
	for i, o := range r.Released {
		// A bucket whose rate was lowered may owe more time, but all that it granted is used within MaxAhead.
		r.Released[i].Debt = min(max(o.Debt, debts[Owned{Shard: o.Shard, Claimed: o.Claimed}]), MaxAhead)
	}
	return r
}

// TakeUsage returns what was granted since the last call, and resets the counts.
func (l *Limiter) TakeUsage(now time.Time) (usage []Usage) {
	byWorkspace := make(map[ids.WorkspaceID]Usage)
	for key, b := range l.buckets {
		if _, _, ok := l.Leases.Holds(now, ShardOf(key.workspace, key.part)); !ok && b.granted == 0 {
			continue
		}
		b.refill(now)
		u := byWorkspace[key.workspace]
		u.Granted += b.granted
		u.WithHeadroom += b.withHeadroom
		u.Level += b.level
		u.Owned++
		byWorkspace[key.workspace] = u
		b.granted, b.withHeadroom = 0, 0
	}
	for ws, u := range byWorkspace {
		if u.Granted > 0 {
			u.Workspace, u.Limit = ws, l.limits[ws].Limit
			usage = append(usage, u)
		}
	}
	return usage
}
