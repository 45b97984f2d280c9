package grants

import (
	"context"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/quota"
)

// tokenRef names a token that a run has granted. It is also the content of the call that returns a token.
type tokenRef struct {
	Workspace ids.WorkspaceID `json:"workspace"`
	Part      int             `json:"part"`
	Bucket    quota.BucketID  `json:"bucket"`
}

// Return returns the token of a request that has not run and will not, to the owner that granted it. A token that was granted
// ahead of need is kept for the workspace's next request at this instance, while it is young enough. Return does not block.
func (g *RateLimiter) Return(ws ids.WorkspaceID, d Decision) {
	switch p := (tokenRef{Workspace: ws, Part: d.part, Bucket: d.bucket}); {
	case d.bucket == quota.BucketID{}:
		if d.Expires.After(g.Now()) {
			g.addSpare(ws, 1, d.Expires)
		}
	case d.Granter == g.Self.Instance:
		g.takeBack(p)
	default:
		go g.sendBack(d.Granter, p)
	}
}

// sendBack returns a token to its owner. If the owner does not answer, the token is lost.
func (g *RateLimiter) sendBack(owner ids.InstanceID, p tokenRef) {
	address, known := g.Address(owner)
	if !known || !g.allow(owner) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	g.recordResult(owner, g.Client.Call(ctx, address, methodReturn, p, nil))
}

func (g *RateLimiter) takeBack(p tokenRef) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.Return(g.Now(), p.Workspace, p.Part, p.Bucket)
}
