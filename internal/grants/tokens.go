package grants

import (
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/quota"
)

// maxSpare is the number of spare tokens that are kept for a workspace.
const maxSpare = 64

// spareTokens holds the times at which tokens expire that were granted ahead of need, or returned by requests that have not
// run.
type spareTokens map[ids.WorkspaceID][]time.Time

// takeSpare takes a spare token. It reports whether there was one or the workspace has no limit. Cold targets whose
// limit is not known get none.
func (g *RateLimiter) takeSpare(now time.Time, ws ids.WorkspaceID) (expires time.Time, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.limiter.Limited(ws) {
		return now, !quota.IsCold(ws)
	}
	l := g.spare[ws]
	for len(l) > 0 {
		expires, l = l[len(l)-1], l[:len(l)-1]
		if ok = now.Before(expires); ok {
			break
		}
	}
	if len(l) == 0 {
		delete(g.spare, ws)
	} else {
		g.spare[ws] = l
	}
	return expires, ok
}

func (g *RateLimiter) addSpare(ws ids.WorkspaceID, n int, expires time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for range n {
		if len(g.spare[ws]) < maxSpare {
			g.spare[ws] = append(g.spare[ws], expires)
		}
	}
}

// emptyParts holds which parts had too few tokens for a request, so that they are not asked again before they have enough.
type emptyParts map[partKey]emptyPart

type partKey struct {
	workspace ids.WorkspaceID
	part      int
}

type emptyPart struct {
	until    time.Time
	headroom float64
}

// knownEmpty reports whether a part has too few tokens for a request, and for how long.
func (g *RateLimiter) knownEmpty(now time.Time, p grantParams) (retry time.Duration, empty bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, ok := g.empty[partKey{p.Workspace, p.Part}]
	if !ok || !now.Before(e.until) || p.Headroom < e.headroom {
		return 0, false
	}
	return e.until.Sub(now), true
}

// noteEmpty notes that a part had too few tokens for a request. The own parts are not noted, because asking them is cheap.
func (g *RateLimiter) noteEmpty(now time.Time, p grantParams, retry time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, _, own := g.limiter.Leases.Holds(now, quota.ShardOf(p.Workspace, p.Part)); own {
		return
	}
	g.empty[partKey{p.Workspace, p.Part}] = emptyPart{until: now.Add(retry), headroom: p.Headroom}
}
