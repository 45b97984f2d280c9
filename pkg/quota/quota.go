// Package quota keeps a workspace's rate across all instances without an owner. Instances report what they used and what
// was asked of them to one log; each computes the same bucket from the same reports, and between two reports uses only
// its own share of what the bucket holds. The shares of all instances add up to one.
package quota

import (
	"math"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

const (
	// demandHalfLife is the time in which a reported demand loses half of its weight.
	demandHalfLife = time.Second
	// evenShare is the part of a bucket that is divided evenly, so that an instance can begin at once when callers come.
	evenShare = 0.4
	// minRetry is the shortest time after which a refused caller is asked to come back.
	minRetry = 50 * time.Millisecond
)

// Limit is a workspace's setting.
type Limit struct {
	// Rate is in requests a second; 0 means no limit.
	Rate  float64
	Burst float64
}

// Usage is what one instance reports of a workspace since its last report.
type Usage struct {
	Workspace ids.WorkspaceID
	Used      int
	// Asked counts the requests that came, those that were refused included.
	Asked int
}

type demand struct {
	weight float64
	at     time.Time
}

// bucket is the state of one workspace.
type bucket struct {
	limit Limit
	// level is what the whole fleet may still use at the time at, as far as reports tell.
	level float64
	at    time.Time
	// allowance is what this instance may use until the next report is read.
	allowance float64
	share     float64
	demands   map[ids.InstanceID]demand
	used      int // since the last report
	asked     int
}

// Keeper holds the buckets of one instance. It is not safe for concurrent use.
type Keeper struct {
	self     ids.InstanceID
	buckets  map[ids.WorkspaceID]*bucket
	seen     map[ids.InstanceID]time.Time // instances by their last report
	seenSelf bool
	keep     time.Duration
}

// New returns a keeper. An instance that has not reported for the time keep is no longer counted.
func New(self ids.InstanceID, keep time.Duration) *Keeper {
	return &Keeper{
		self: self, keep: keep, buckets: make(map[ids.WorkspaceID]*bucket), seen: make(map[ids.InstanceID]time.Time),
	}
}

// Configure takes over the limits in force. Workspaces that are not named have none.
func (k *Keeper) Configure(now time.Time, limits map[ids.WorkspaceID]Limit) {
	for ws, l := range limits {
		if l.Rate <= 0 {
			delete(k.buckets, ws)
			continue
		}
		b := k.buckets[ws]
		if b == nil {
			// Earlier use is not known yet; reports that are read next are deducted.
			k.buckets[ws] = &bucket{limit: l, level: l.Burst, at: now, demands: make(map[ids.InstanceID]demand)}
			continue
		}
		b.refill(now)
		b.limit = l
		b.level = min(b.level, l.Burst)
		b.allowance = min(b.allowance, l.Burst)
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
	b.allowance = min(b.allowance+b.limit.Rate*seconds*b.share, max(b.limit.Burst*b.share, 1))
}

// Take uses one request of a workspace, or says when to ask again.
func (k *Keeper) Take(now time.Time, ws ids.WorkspaceID) (ok bool, retry time.Duration) {
	b := k.buckets[ws]
	if b == nil {
		return true, 0
	}
	b.refill(now)
	b.asked++
	if b.allowance < 1 || !k.seenSelf {
		return false, b.retry()
	}
	b.allowance--
	b.level--
	b.used++
	return true, 0
}

// retry returns when the instance's share has grown to one request.
func (b *bucket) retry() time.Duration {
	perSecond := b.limit.Rate * max(b.share, 0.01)
	return max(time.Duration((1-b.allowance)/perSecond*float64(time.Second)), minRetry)
}

// Return gives back a request that was taken and has not run.
func (k *Keeper) Return(ws ids.WorkspaceID) {
	if b := k.buckets[ws]; b != nil && b.used > 0 {
		b.used--
		b.level++
		b.allowance++
	}
}

// Report returns what was used and asked since the last report, and begins a new one. Give it back with Restore if it
// could not be written.
func (k *Keeper) Report() (l []Usage) {
	for ws, b := range k.buckets {
		if b.used > 0 || b.asked > 0 {
			l = append(l, Usage{Workspace: ws, Used: b.used, Asked: b.asked})
			b.used, b.asked = 0, 0
		}
	}
	return l
}

// Restore takes back a report that was not written.
func (k *Keeper) Restore(l []Usage) {
	for _, u := range l {
		if b := k.buckets[u.Workspace]; b != nil {
			b.used += u.Used
			b.asked += u.Asked
		}
	}
}

// Read takes over a report from the log, written at the time at by the clock of its writer. Reports of this instance
// were deducted when the requests were taken, except those of an earlier run, which others deduct as well.
func (k *Keeper) Read(now, at time.Time, from ids.InstanceID, own bool, l []Usage) {
	if at.After(now) {
		at = now
	}
	if at.After(k.seen[from]) {
		k.seen[from] = at
	}
	k.seenSelf = k.seenSelf || own
	for _, u := range l {
		b := k.buckets[u.Workspace]
		if b == nil {
			continue
		}
		b.refill(now)
		if !own {
			b.deduct(now, at, u.Used)
		}
		d := b.demands[from]
		d.weight = d.weight*decay(at.Sub(d.at)) + float64(u.Asked)
		d.at = at
		b.demands[from] = d
	}
}

// deduct takes off what others used; what the rate has given since then has refilled it.
func (b *bucket) deduct(now, at time.Time, used int) {
	refilled := b.limit.Rate * now.Sub(at).Seconds()
	b.level -= max(float64(used)-max(refilled, 0)*oldReport(now.Sub(at)), 0)
}

// reportLag is the age up to which a report counts as new.
const reportLag = 2 * time.Second

// oldReport is 1 for reports that were written before this instance read the log, and 0 for new ones.
func oldReport(age time.Duration) float64 {
	if age > reportLag {
		return 1
	}
	return 0
}

func decay(age time.Duration) float64 {
	return math.Exp2(-max(age.Seconds(), 0) / demandHalfLife.Seconds())
}

// Share divides what the buckets hold anew. Call it after reports were read up to the end of the log.
func (k *Keeper) Share(now time.Time) {
	for id, at := range k.seen {
		if now.Sub(at) > k.keep {
			delete(k.seen, id)
		}
	}
	for _, b := range k.buckets {
		b.refill(now)
		b.share = b.shareOf(now, k.self, len(k.seen))
		b.allowance = max(b.level, 0) * b.share
	}
}

func (b *bucket) shareOf(now time.Time, self ids.InstanceID, instances int) float64 {
	if instances == 0 {
		return 0
	}
	even := 1 / float64(instances)
	total, own := 0.0, 0.0
	for id, d := range b.demands {
		w := d.weight * decay(now.Sub(d.at))
		if w < 1e-3 {
			delete(b.demands, id)
			continue
		}
		total += w
		if id == self {
			own = w
		}
	}
	if total == 0 {
		return even
	}
	return evenShare*even + (1-evenShare)*own/total
}

// Instances returns how many instances are counted.
func (k *Keeper) Instances() int { return len(k.seen) }

// Busy reports whether anything was asked since the last report.
func (k *Keeper) Busy() bool {
	for _, b := range k.buckets {
		if b.asked > 0 {
			return true
		}
	}
	return false
}
