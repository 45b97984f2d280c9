// Package grants asks for requests of workspaces' rates: the instance that grants a workspace's requests is asked, or
// the next one where that does not answer.
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
	// granters is how many instances are asked before this one grants itself.
	granters = 2
	// aheadFor is how long a request that was granted ahead of need may be used.
	aheadFor = 300 * time.Millisecond
)

const methodGrant = "grant"

type grantParams struct {
	Workspace ids.WorkspaceID `json:"workspace"`
	Spare     float64         `json:"spare"`
	// Deputy is set if the first granter did not answer.
	Deputy bool  `json:"deputy,omitempty"`
	Loads  loads `json:"loads,omitempty"`
}

type grantResult struct {
	Tokens  int   `json:"tokens"`
	RetryMs int64 `json:"retryMs,omitempty"`
	// Level is what was left of the workspace's burst.
	Level float64 `json:"level,omitempty"`
	Loads loads   `json:"loads,omitempty"`
}

// Config is what a grantor needs.
type Config struct {
	Self   ids.InstanceID
	Client *rpc.Client
	Now    func() time.Time
	// Address returns where an instance is called; ok is false if that is not known.
	Address func(id ids.InstanceID) (address string, ok bool)
	// Loads are told to the instances that are asked, and those that they know taken over.
	Loads Loads
}

// stash are requests that were granted ahead of need.
type stash struct {
	tokens int
	until  time.Time
}

// Grantor takes requests of workspaces' rates, and grants those of the workspaces that fall to this instance. It is safe
// for concurrent use.
type Grantor struct {
	Config

	mu       sync.Mutex
	keeper   *quota.Limiter
	members  *quota.Members
	stashes  map[ids.WorkspaceID]stash
	breakers map[ids.InstanceID]*breaker.Breaker // of instances that did not answer last
}

// New returns a grantor without limits.
func New(c Config) *Grantor {
	return &Grantor{
		Config: c, keeper: quota.New(), members: quota.NewMembers(), stashes: make(map[ids.WorkspaceID]stash),
		breakers: make(map[ids.InstanceID]*breaker.Breaker),
	}
}

// View runs f with the limits and the instances, while nothing changes them.
func (g *Grantor) View(f func(k *quota.Limiter, m *quota.Members)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.keeper, g.members)
}

// Decision answers a request of a workspace's rate.
type Decision struct {
	OK bool
	// Retry is when to ask again.
	Retry time.Duration
	// Granter is the instance that decided, and Level what it had left of the workspace's burst.
	Granter ids.InstanceID
	Level   float64
}

// Take uses one request of a workspace. A part spare of the workspace's burst must be left besides.
func (g *Grantor) Take(ctx context.Context, ws ids.WorkspaceID, spare float64) Decision {
	if g.takeStashed(ws) {
		return Decision{OK: true, Granter: g.Self}
	}
	grant, by := g.ask(ctx, ws, spare)
	if grant.Tokens == 0 {
		return Decision{Retry: grant.Retry, Granter: by, Level: grant.Level}
	}
	if grant.Tokens > 1 {
		g.mu.Lock()
		g.stashes[ws] = stash{tokens: grant.Tokens - 1, until: g.Now().Add(aheadFor)}
		g.mu.Unlock()
	}
	return Decision{OK: true, Granter: by, Level: grant.Level}
}

// takeStashed uses a request that needs no grant or was granted ahead.
func (g *Grantor) takeStashed(ws ids.WorkspaceID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.keeper.Limited(ws) {
		return true
	}
	s, ok := g.stashes[ws]
	if !ok || s.tokens == 0 || !g.Now().Before(s.until) {
		delete(g.stashes, ws)
		return false
	}
	s.tokens--
	g.stashes[ws] = s
	return true
}

// Return gives back a request that was taken and has not run.
func (g *Grantor) Return(ws ids.WorkspaceID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.keeper.Limited(ws) {
		return
	}
	s := g.stashes[ws]
	if s.tokens == 0 || !g.Now().Before(s.until) {
		s = stash{until: g.Now().Add(aheadFor)}
	}
	s.tokens++
	g.stashes[ws] = s
}

// ask asks the granting instances in order; if none answers, this one grants.
func (g *Grantor) ask(ctx context.Context, ws ids.WorkspaceID, spare float64) (grant quota.Grant, by ids.InstanceID) {
	for i, id := range g.granters(ws) {
		if id == g.Self {
			break
		}
		if grant, ok := g.call(ctx, id, grantParams{Workspace: ws, Spare: spare, Deputy: i > 0}); ok {
			return grant, id
		}
	}
	return g.grant(ws, spare), g.Self
}

func (g *Grantor) granters(ws ids.WorkspaceID) []ids.InstanceID {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.Granters(g.Now(), ws, granters)
}

func (g *Grantor) grant(ws ids.WorkspaceID, spare float64) quota.Grant {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.keeper.Grant(g.Now(), ws, spare)
}

// call asks one instance. An instance that has not answered is left out for a time.
func (g *Grantor) call(ctx context.Context, id ids.InstanceID, p grantParams) (grant quota.Grant, ok bool) {
	address, known := g.Address(id)
	if !known || !g.allow(id) {
		return grant, false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	p.Loads = g.tell()
	var r grantResult
	err := g.Client.Call(ctx, address, methodGrant, p, &r)
	g.note(id, err)
	g.hear(r.Loads)
	return quota.Grant{Tokens: r.Tokens, Retry: time.Duration(r.RetryMs) * time.Millisecond, Level: r.Level}, err == nil
}

func (g *Grantor) allow(id ids.InstanceID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.breakers[id]
	return b == nil || b.Allow(g.Now())
}

func (g *Grantor) note(id ids.InstanceID, err error) {
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

// Methods are the calls of other instances.
func (g *Grantor) Methods() map[string]rpc.Method {
	return map[string]rpc.Method{methodGrant: rpc.Typed(func(ctx context.Context, p grantParams) (any, error) {
		g.hear(p.Loads)
		grant, ok := quota.Grant{}, false
		// The first granter may be out of the caller's reach only.
		if first := g.granters(p.Workspace); p.Deputy && len(first) > 0 && first[0] != g.Self {
			grant, ok = g.call(ctx, first[0], grantParams{Workspace: p.Workspace, Spare: p.Spare})
		}
		if !ok {
			grant = g.grant(p.Workspace, p.Spare)
		}
		return grantResult{Tokens: grant.Tokens, RetryMs: grant.Retry.Milliseconds(), Level: grant.Level, Loads: g.tell()}, nil
	})}
}
