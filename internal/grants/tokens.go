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
