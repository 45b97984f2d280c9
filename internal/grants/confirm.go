package grants

import (
	"context"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/quota"
)

// confirmParams name a token that was granted ahead and is due.
type confirmParams struct {
	tokenRef
	// PassOn is set if the called instance may call the owner for the caller.
	PassOn bool `json:"passOn,omitempty"`
}

// confirmTimeout bounds a call that confirms a token. It is less than tokenTTL, so that the token can be used afterwards, and
// more than callTimeout: a request that has waited for its token is not refused because one answer is late.
const confirmTimeout = 150 * time.Millisecond

type confirmResult struct {
	Valid bool `json:"valid"`
}

// confirm reports whether the run that granted a token ahead still runs, now that the token is due. If that run was killed, the
// next one on its instance grants without knowing of the token.
func (g *RateLimiter) confirm(ctx context.Context, p grantParams, d Decision) (valid bool) {
	if d.Granter == g.Self.Instance {
		return true
	}
	return g.callConfirm(ctx, d.Granter, confirmParams{tokenRef: tokenRef{Workspace: p.Workspace, Part: p.Part, Bucket: d.bucket}, PassOn: p.PassOn}, confirmTimeout)
}

// callConfirm asks an instance whether a token is valid. Without an answer it counts as invalid.
func (g *RateLimiter) callConfirm(ctx context.Context, id ids.InstanceID, p confirmParams, timeout time.Duration) (valid bool) {
	address, known := g.Address(id)
	if !known {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var r confirmResult
	return g.Client.Call(ctx, address, methodConfirm, p, &r) == nil && r.Valid
}

// confirmFor confirms a token of this run, or passes the call on to the owner, as the grant was.
func (g *RateLimiter) confirmFor(ctx context.Context, p confirmParams) (valid bool) {
	if p.Part < 0 || p.Part >= quota.Parts {
		return false
	}
	g.View(func(l *quota.Limiter) { valid = l.Granted(p.Workspace, p.Part, p.Bucket) })
	if valid || !p.PassOn {
		return valid
	}
	owner, _, _ := g.route(quota.ShardOf(p.Workspace, p.Part))
	if owner == "" || owner == g.Self.Instance {
		return false
	}
	p.PassOn = false
	return g.callConfirm(ctx, owner, p, passOnTimeout)
}
