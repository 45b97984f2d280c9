// Package grants takes tokens of workspaces' request rates from the instances that grant them. If a workspace's first
// granter does not answer, the next one is called.
package grants

import (
	"context"
	"sync"
	"time"

	"github.com/comfreylink/comfreylink/internal/rpc"
	"github.com/comfreylink/comfreylink/pkg/breaker"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/quota"
)

const (
	// callTimeout bounds a call to the granting instance.
	callTimeout = 60 * time.Millisecond
	// granters is the maximum number of granters of a workspace. If none of them answers, this instance grants itself.
	granters = 2
	// prefetchTTL is how long a token that was granted ahead of need may be used.
	prefetchTTL = 300 * time.Millisecond
)

const methodGrant = "grant"

type grantParams struct {
	Workspace ids.WorkspaceID `json:"workspace"`
	Headroom  float64         `json:"spare"`
	// Deputy is set if the called instance is not the first granter, which did not answer.
	Deputy bool      `json:"deputy,omitempty"`
	Loads  wireLoads `json:"loads,omitempty"`
}

type grantResult struct {
	Tokens  int   `json:"tokens"`
	RetryMs int64 `json:"retryMs,omitempty"`
	// Level is the number of tokens that the workspace's bucket held before the grant.
	Level float64   `json:"level,omitempty"`
	Loads wireLoads `json:"loads,omitempty"`
}

// Caller calls methods of other instances.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Config holds a rate limiter's dependencies.
type Config struct {
	Self   ids.InstanceID
	Client Caller
	Now    func() time.Time
	// Address returns the address of an instance; ok is false if it is not known.
	Address func(id ids.InstanceID) (address string, ok bool)
	// Loads holds the load observations that are exchanged with other instances in the calls; nil exchanges none.
	Loads Loads
}

// prefetchedTokens holds a workspace's tokens that were granted ahead of need.
type prefetchedTokens struct {
	tokens int
	until  time.Time
}

// RateLimiter takes tokens of workspaces' request rates from the instances that grant them, and grants those of the
// workspaces whose granter this instance is. It is safe for concurrent use.
type RateLimiter struct {
	Config

	mu         sync.Mutex
	limiter    *quota.Limiter
	members    *quota.Members
	prefetched map[ids.WorkspaceID]prefetchedTokens
	breakers   map[ids.InstanceID]*breaker.Breaker // of instances that did not answer their last call
}

// New returns a rate limiter without limits.
func New(c Config) *RateLimiter {
	return &RateLimiter{
		Config: c, limiter: quota.New(), members: quota.NewMembers(), prefetched: make(map[ids.WorkspaceID]prefetchedTokens),
		breakers: make(map[ids.InstanceID]*breaker.Breaker),
	}
}

// View runs f with the limiter and the members under the lock.
func (g *RateLimiter) View(f func(l *quota.Limiter, m *quota.Members)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.limiter, g.members)
}

// Decision is the result of Take: whether a request fits into its workspace's rate.
type Decision struct {
	OK bool
	// Retry is the retry delay if OK is false.
	Retry time.Duration
	// Granter is the instance that decided, and Level the number of tokens that the workspace's bucket held there before.
	Granter ids.InstanceID
	Level   float64
}

// Take takes a token for one request of a workspace. The fraction headroom of the workspace's burst must be left after it.
func (g *RateLimiter) Take(ctx context.Context, ws ids.WorkspaceID, headroom float64) Decision {
	if g.takePrefetched(ws) {
		return Decision{OK: true, Granter: g.Self}
	}
	grant, granter := g.requestGrant(ctx, ws, headroom)
	if grant.Tokens == 0 {
		return Decision{Retry: grant.Retry, Granter: granter, Level: grant.Level}
	}
	if grant.Tokens > 1 {
		g.mu.Lock()
		g.prefetched[ws] = prefetchedTokens{tokens: grant.Tokens - 1, until: g.Now().Add(prefetchTTL)}
		g.mu.Unlock()
	}
	return Decision{OK: true, Granter: granter, Level: grant.Level}
}

// takePrefetched takes a token that was granted ahead of need. It reports whether there was one or the workspace has no
// limit.
func (g *RateLimiter) takePrefetched(ws ids.WorkspaceID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.limiter.Limited(ws) {
		return true
	}
	s, ok := g.prefetched[ws]
	if !ok || s.tokens == 0 || !g.Now().Before(s.until) {
		delete(g.prefetched, ws)
		return false
	}
	s.tokens--
	g.prefetched[ws] = s
	return true
}

// Return returns the token of a request that has not run. The workspace's next request at this instance uses it.
func (g *RateLimiter) Return(ws ids.WorkspaceID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.limiter.Limited(ws) {
		return
	}
	s := g.prefetched[ws]
	if s.tokens == 0 || !g.Now().Before(s.until) {
		s = prefetchedTokens{until: g.Now().Add(prefetchTTL)}
	}
	s.tokens++
	g.prefetched[ws] = s
}

// requestGrant calls the granters of a workspace in order until one answers. This instance grants itself if it is next in
// the order or if none answers.
func (g *RateLimiter) requestGrant(ctx context.Context, ws ids.WorkspaceID, headroom float64) (grant quota.Grant, granter ids.InstanceID) {
	for i, id := range g.granters(ws) {
		if id == g.Self {
			break
		}
		if grant, ok := g.call(ctx, id, grantParams{Workspace: ws, Headroom: headroom, Deputy: i > 0}); ok {
			return grant, id
		}
	}
	return g.grant(ws, headroom), g.Self
}

func (g *RateLimiter) granters(ws ids.WorkspaceID) []ids.InstanceID {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.Granters(g.Now(), ws, granters)
}

func (g *RateLimiter) grant(ws ids.WorkspaceID, headroom float64) quota.Grant {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limiter.Grant(g.Now(), ws, headroom)
}

// call requests a grant from one instance. It fails at once for a time after the instance did not answer.
func (g *RateLimiter) call(ctx context.Context, id ids.InstanceID, p grantParams) (grant quota.Grant, ok bool) {
	address, known := g.Address(id)
	if !known || !g.allow(id) {
		return grant, false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	p.Loads = g.ownLoads()
	var r grantResult
	err := g.Client.Call(ctx, address, methodGrant, p, &r)
	g.recordResult(id, err)
	g.applyLoads(r.Loads)
	return quota.Grant{Tokens: r.Tokens, Retry: time.Duration(r.RetryMs) * time.Millisecond, Level: r.Level}, err == nil
}

func (g *RateLimiter) allow(id ids.InstanceID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	br := g.breakers[id]
	return br == nil || br.Allow(g.Now())
}

func (g *RateLimiter) recordResult(id ids.InstanceID, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil {
		delete(g.breakers, id)
		return
	}
	if g.breakers[id] == nil {
		g.breakers[id] = new(breaker.Breaker)
	}
	g.breakers[id].Failed(g.Now())
}

// Methods returns the methods that other instances call.
func (g *RateLimiter) Methods() map[string]rpc.Method {
	return map[string]rpc.Method{methodGrant: rpc.Typed(func(ctx context.Context, p grantParams) (any, error) {
		g.applyLoads(p.Loads)
		grant, ok := quota.Grant{}, false
		// Perhaps only the caller cannot reach the first granter, so try it from here.
		if first := g.granters(p.Workspace); p.Deputy && len(first) > 0 && first[0] != g.Self {
			grant, ok = g.call(ctx, first[0], grantParams{Workspace: p.Workspace, Headroom: p.Headroom})
		}
		if !ok {
			grant = g.grant(p.Workspace, p.Headroom)
		}
		return grantResult{Tokens: grant.Tokens, RetryMs: grant.Retry.Milliseconds(), Level: grant.Level, Loads: g.ownLoads()}, nil
	})}
}
