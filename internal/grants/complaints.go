package grants

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/quota"
)

const (
	// silenceTTL is how long after the last failed call an owner is complained of.
	silenceTTL = 8 * time.Second
	// minSilence is how long an owner must be silent. One that answers most of the calls in time is hardly ever complained of.
	minSilence = time.Second
	// maxComplaints bounds the complaints in one report.
	maxComplaints = 16
)

// silentClaim is a claim of a shard whose owner did not answer the last calls.
type silentClaim struct {
	owner   ids.InstanceID
	claimed ids.Offset
	since   time.Time // when the first of the calls failed
	at      time.Time // when the last of them failed
}

// noteSilence notes that the owner of a shard did not answer, also not through another instance, if it has failed repeatedly. An
// instance that has had no contact to others since the first failure is more likely to be cut off itself, and notes nothing.
func (g *RateLimiter) noteSilence(s quota.Shard, owner ids.InstanceID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	if br := g.breakers[owner]; br == nil || !br.Open() || !g.contactAt.After(br.since) {
		return
	}
	if o := g.limiter.Leases.Describe(s); o.Instance == owner {
		g.silent[s] = silentClaim{owner: owner, claimed: o.Claimed, since: g.breakers[owner].since, at: now}
	}
}

// noteCall notes that another instance has called.
func (g *RateLimiter) noteCall(p grantParams) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.contactAt = g.Now()
	if p.Late {
		g.limiter.Leases.CalledAgain(g.contactAt, quota.ShardOf(p.Workspace, p.Part), p.Caller)
	}
}

// noteContact notes that another instance has answered, under the lock.
func (g *RateLimiter) noteContact(id ids.InstanceID) {
	g.contactAt = g.Now()
	for s, c := range g.silent {
		if c.owner == id {
			delete(g.silent, s)
		}
	}
}

// noteAnswer notes that the owner of a shard has answered, perhaps through another instance.
func (g *RateLimiter) noteAnswer(s quota.Shard) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.silent, s)
}

// Complaints returns the claims of owners that do not answer, the latest first, for the next report.
func (g *RateLimiter) Complaints() (list []quota.Complaint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	for s, c := range g.silent {
		o := g.limiter.Leases.Describe(s)
		if now.Sub(c.at) > silenceTTL || o.Released || o.Instance != c.owner || o.Claimed != c.claimed {
			delete(g.silent, s)
			continue
		}
		if now.Sub(c.since) >= minSilence {
			list = append(list, quota.Complaint{Shard: s, Claimed: c.claimed})
		}
	}
	slices.SortFunc(list, func(a, b quota.Complaint) int {
		return cmp.Or(g.silent[b.Shard].at.Compare(g.silent[a.Shard].at), cmp.Compare(a.Shard, b.Shard))
	})
	return list[:min(len(list), maxComplaints)]
}
