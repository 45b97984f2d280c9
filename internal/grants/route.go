package grants

import (
	"context"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/quota"
)

func (g *RateLimiter) claim(ctx context.Context, s quota.Shard) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	g.Claim(ctx, s)
}

// route returns the owner of a shard, whether this instance may claim the shard, and which other instances to ask if the owner
// does not answer. The owner is empty if none is known, or if it is this instance and is leaving or has
// given the shard up.
func (g *RateLimiter) route(s quota.Shard) (owner ids.InstanceID, free bool, candidates []ids.InstanceID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	leases := g.limiter.Leases
	owner, _ = leases.Owner(s)
	at, ok := leases.FreeAt(s)
	free = ok && !now.Before(at)
	if owner == g.Self.Instance && (leases.Leaving() || leases.GivenUp(s)) {
		return "", free, leases.Candidates(now, s, owner, claimCandidates)
	}
	limit := passOnCandidates
	if free {
		limit = claimCandidates
	}
	return owner, free, leases.Candidates(now, s, owner, limit)
}
