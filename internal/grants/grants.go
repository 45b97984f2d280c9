// Package grants takes tokens of workspaces' request rates from the instances that own the parts of their limits, and grants
// from the parts that this instance owns.
package grants

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/comfreylink/comfreylink/internal/rpc"
	"github.com/comfreylink/comfreylink/pkg/breaker"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/quota"
)

const (
	// callTimeout bounds a call to another instance. What the other instance does before it answers takes at most
	// claimTimeout or passOnTimeout, so that it is not mistaken for one that does not answer.
	callTimeout   = 60 * time.Millisecond
	claimTimeout  = 45 * time.Millisecond
	passOnTimeout = 30 * time.Millisecond
	// claimCandidates is the number of instances that are asked to claim a shard that is free, and passOnCandidates the number
	// of those that are asked to call an owner that does not answer this instance.
	claimCandidates  = 2
	passOnCandidates = 1
	// tokenTTL is how long after the request for its grant a token may be used. It adds to the window in which requests that
	// run together were granted.
	tokenTTL = 300 * time.Millisecond
	// claimRetry is the retry delay if a shard is free but could not be claimed yet, if one answer of its owner was late, or if a token
	// was too old to be used.
	claimRetry = 100 * time.Millisecond
)

// Names of methods.
const (
	methodGrant   = "grant"
	methodReturn  = "return"
	methodConfirm = "confirm"
)

type grantParams struct {
	Workspace ids.WorkspaceID `json:"workspace"`
	Part      int             `json:"part"`
	Headroom  float64         `json:"spare"`
	// WaitMs is how long the request can wait for a token.
	WaitMs int64 `json:"waitMs,omitempty"`
	// PassOn is set if the called instance may call the owner for the caller, which the owner did not answer.
	PassOn bool `json:"passOn,omitempty"`
	// Caller is the calling instance; empty in calls of versions without it.
	Caller ids.InstanceID `json:"caller,omitempty"`
	// Late is set if the called instance did not answer the caller's last call in time.
	Late  bool      `json:"late,omitempty"`
	Loads wireLoads `json:"loads,omitempty"`
}

type grantResult struct {
	Tokens int `json:"tokens"`
	// WaitMs is how long to wait before the request is sent.
	WaitMs  int64 `json:"waitMs,omitempty"`
	RetryMs int64 `json:"retryMs,omitempty"`
	// Level is the number of tokens that the part's bucket held before the grant.
	Level float64 `json:"level,omitempty"`
	// Bucket is where the tokens were taken from.
	Bucket quota.BucketID `json:"bucket,omitzero"`
	// NotOwner is set if the called instance does not own the part and could not claim it.
	NotOwner bool      `json:"notOwner,omitempty"`
	Loads    wireLoads `json:"loads,omitempty"`
}

// Caller calls methods of other instances.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Config holds a rate limiter's dependencies.
type Config struct {
	// Self is this run. Its claims and reports carry it.
	Self   quota.Run
	Client Caller
	Now    func() time.Time
	// Address returns the address of an instance; ok is false if it is not known.
	Address func(id ids.InstanceID) (address string, ok bool)
	// Claim claims a shard in the log if it is free. It returns when that is decided or ctx ends.
	Claim func(ctx context.Context, s quota.Shard)
	// Loads holds the load observations that are exchanged with other instances in the calls; nil exchanges none.
	Loads Loads
}

// RateLimiter takes tokens of workspaces' request rates from the instances that own the parts of the limits, and grants from
// the parts that this instance owns. It is safe for concurrent use.
type RateLimiter struct {
	Config

	mu       sync.Mutex
	limiter  *quota.Limiter
	spare    spareTokens
	empty    emptyParts
	breakers map[ids.InstanceID]*callBreaker // of instances that did not answer their last call
	silent   map[quota.Shard]silentClaim
	// contactAt is when another instance has answered or called last.
	contactAt time.Time
}

// New returns a rate limiter without limits.
func New(c Config) *RateLimiter {
	return &RateLimiter{
		Config: c, limiter: quota.New(quota.NewLeases(c.Now(), c.Self)), spare: make(spareTokens), empty: make(emptyParts),
		breakers: make(map[ids.InstanceID]*callBreaker), silent: make(map[quota.Shard]silentClaim),
	}
}

// callBreaker is the circuit breaker of an instance that has not answered since a time.
type callBreaker struct {
	breaker.Breaker
	since time.Time
}

// View runs f with the limiter under the lock.
func (g *RateLimiter) View(f func(l *quota.Limiter)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.limiter)
}

// Decision is the result of Take: whether a request fits into its workspace's rate.
type Decision struct {
	OK bool
	// Expires is when the request's token may no longer be used by another request.
	Expires time.Time
	// Unavailable is set if the request was refused although a part of the limit could not be asked. The workspace may be
	// inside its rate.
	Unavailable bool
	// Unanswered describes the parts that could not be asked.
	Unanswered []UnansweredPart
	// Retry is the retry delay if OK is false.
	Retry time.Duration
	// Granter is the instance that decided, and Level the number of tokens that the part's bucket held there before.
	Granter ids.InstanceID
	Level   float64
	// part is the part that granted the token, or else the one that has a token first.
	part int
	// bucket is where the token was taken from; zero for a token that was granted ahead of need.
	bucket quota.BucketID
}

// Take takes a token for one request of a workspace. The fraction headroom of the workspace's burst must be left after it. It
// tries the parts of the limit in an order that differs between instances. If none has a token now, it waits for the part that
// has one first, but at most maxWait.
func (g *RateLimiter) Take(ctx context.Context, ws ids.WorkspaceID, headroom float64, maxWait time.Duration) (d Decision) {
	now := g.Now()
	if expires, ok := g.takeSpare(now, ws); ok {
		return Decision{OK: true, Expires: expires, Granter: g.Self.Instance}
	}
	parts := g.parts(now, ws)
	p := grantParams{Workspace: ws, Headroom: headroom}
	for i, part := range parts {
		p.Part = part
		if len(parts) == 1 {
			p.WaitMs = maxWait.Milliseconds()
		}
		partial := g.takeFrom(ctx, p)
		if partial.OK {
			return partial
		}
		d.addRefusal(i, partial)
	}
	if len(parts) == 1 || d.Retry > maxWait {
		return d
	}
	p.Part, p.WaitMs = d.part, maxWait.Milliseconds()
	if last := g.takeFrom(ctx, p); last.OK {
		return last
	}
	return d
}

// takeFrom takes a token from one part of a limit, and waits until it may be used.
func (g *RateLimiter) takeFrom(ctx context.Context, p grantParams) (d Decision) {
	asked := g.Now()
	if retry, empty := g.knownEmpty(asked, p); empty && retry.Milliseconds() > p.WaitMs {
		return Decision{Retry: retry, part: p.Part}
	}
	unanswered := g.describe(p)
	r, granter := g.requestGrant(ctx, p, &unanswered)
	if r.Tokens == 0 {
		d = Decision{Unavailable: r.NotOwner, Retry: time.Duration(r.RetryMs) * time.Millisecond, Granter: granter, Level: r.Level, part: p.Part}
		if r.NotOwner {
			d.Unanswered = []UnansweredPart{unanswered}
		} else {
			g.noteEmpty(asked, p, d.Retry)
		}
		return d
	}
	wait := time.Duration(r.WaitMs) * time.Millisecond
	expires := asked.Add(wait + tokenTTL)
	g.addSpare(p.Workspace, r.Tokens-1, expires)
	d = Decision{OK: true, Expires: expires, Granter: granter, Level: r.Level, part: p.Part, bucket: r.Bucket}
	if wait == 0 {
		return d
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return d
	}
	if !g.confirm(ctx, p, d) {
		return Decision{Unavailable: true, Retry: claimRetry, Granter: granter, Level: r.Level, part: p.Part}
	}
	if g.Now().After(expires) {
		// The process was suspended. The token belongs to a time in which others may have used up the limit by now.
		g.Return(p.Workspace, d)
		return Decision{Retry: claimRetry, Granter: granter, Level: r.Level}
	}
	return d
}

// addRefusal adds the refusal of one more part, after i others.
func (d *Decision) addRefusal(i int, part Decision) {
	if i == 0 || part.Retry < d.Retry {
		d.Retry, d.part = part.Retry, part.part
	}
	if part.Granter != "" {
		d.Granter = part.Granter
	}
	d.Unavailable = d.Unavailable || part.Unavailable
	d.Unanswered = append(d.Unanswered, part.Unanswered...)
	d.Level += part.Level
}

// parts returns the parts of a workspace's limit in the order in which this instance tries them: its own first, because that
// needs no call, then the others from a different one at each instance.
func (g *RateLimiter) parts(now time.Time, ws ids.WorkspaceID) (order []int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := g.limiter.PartsOf(ws)
	first := int(ids.Rendezvous(string(g.Self.Instance), string(ws)) % uint64(n))
	var others []int
	for i := range n {
		part := (first + i) % n
		if _, _, ok := g.limiter.Leases.Holds(now, quota.ShardOf(ws, part)); ok {
			order = append(order, part)
		} else {
			others = append(others, part)
		}
	}
	return append(order, others...)
}

// requestGrant requests a grant from the owner of a part, or from another instance if the owner is not known or does not
// answer. If the part is free, the first candidate that answers claims it, or else this instance. Calls that led to no decision
// are added to unanswered.
func (g *RateLimiter) requestGrant(ctx context.Context, p grantParams, unanswered *UnansweredPart) (r grantResult, granter ids.InstanceID) {
	shard := quota.ShardOf(p.Workspace, p.Part)
	owner, free, candidates := g.route(shard)
	if owner == g.Self.Instance {
		if free { // it was owned by an earlier run
			g.claim(ctx, shard)
		}
		return g.grant(p), owner
	}
	ask := func(id ids.InstanceID) (r grantResult, ok bool) {
		began := g.Now()
		r, outcome := g.call(ctx, id, p, callTimeout)
		if outcome == "" {
			g.noteAnswer(shard)
			return r, true
		}
		unanswered.addFailedCall(id, outcome, g.Now().Sub(began))
		return r, false
	}
	if owner != "" {
		if r, ok := ask(owner); ok {
			return r, owner
		}
	}
	p.PassOn = true
	for _, id := range candidates {
		if id == g.Self.Instance {
			break
		}
		if r, ok := ask(id); ok {
			return r, id
		}
	}
	if free {
		g.claim(ctx, shard)
		if first, free, _ := g.route(shard); !free && first != "" && first != g.Self.Instance {
			if r, ok := ask(first); ok { // it claimed before this instance
				return r, first
			}
		}
	}
	if r = g.grant(p); !r.NotOwner {
		return r, g.Self.Instance
	}
	g.noteSilence(shard, owner)
	if g.wasLateOnce(owner) {
		r.RetryMs = claimRetry.Milliseconds()
	}
	return r, g.Self.Instance
}

// grant grants from a part if this instance owns it.
func (g *RateLimiter) grant(p grantParams) grantResult {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	grant, owned := g.limiter.Grant(now, quota.Ask{
		Workspace: p.Workspace, Part: p.Part, Headroom: p.Headroom, MaxWait: time.Duration(p.WaitMs) * time.Millisecond,
	})
	if !owned {
		retry := claimRetry
		if at, ok := g.limiter.Leases.FreeAt(quota.ShardOf(p.Workspace, p.Part)); ok {
			retry = max(retry, at.Sub(now))
		}
		return grantResult{NotOwner: true, RetryMs: retry.Milliseconds()}
	}
	if p.Caller != "" && !p.Late {
		g.limiter.Leases.Answered(now, quota.ShardOf(p.Workspace, p.Part), p.Caller)
	}
	return grantResult{
		Tokens: grant.Tokens, WaitMs: ids.Millis(grant.Wait), RetryMs: grant.Retry.Milliseconds(), Level: grant.Level,
		Bucket: grant.Bucket,
	}
}

// call requests a grant from one instance. The outcome is empty if that instance decided. The call fails at once for a time after
// the instance did not answer.
func (g *RateLimiter) call(ctx context.Context, id ids.InstanceID, p grantParams, timeout time.Duration) (r grantResult, outcome CallOutcome) {
	address, known := g.Address(id)
	switch {
	case !known:
		return r, outcomeUnknownAddress
	case !g.allow(id):
		return r, outcomePaused
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	p.Caller, p.Late, p.Loads = g.Self.Instance, g.late(id), g.ownLoads()
	err := g.Client.Call(callCtx, address, methodGrant, p, &r)
	if err == nil || !errors.Is(ctx.Err(), context.Canceled) { // a caller that goes away says nothing about the instance
		g.recordResult(id, err)
	}
	g.applyLoads(r.Loads)
	if err == nil && !r.NotOwner {
		return r, ""
	}
	return r, outcomeOf(ctx, err)
}

func (g *RateLimiter) allow(id ids.InstanceID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	br := g.breakers[id]
	return br == nil || br.Allow(g.Now())
}

// late reports whether an instance did not answer its last call.
func (g *RateLimiter) late(id ids.InstanceID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.breakers[id] != nil
}

// wasLateOnce reports whether an instance did not answer its last call, but has not failed to answer repeatedly.
func (g *RateLimiter) wasLateOnce(id ids.InstanceID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	br := g.breakers[id]
	return br != nil && !br.Open()
}

func (g *RateLimiter) recordResult(id ids.InstanceID, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil {
		delete(g.breakers, id)
		g.noteContact(id)
		return
	}
	if g.breakers[id] == nil {
		g.breakers[id] = &callBreaker{since: g.Now()}
	}
	g.breakers[id].Failed(g.Now())
}

// Methods returns the methods that other instances call.
func (g *RateLimiter) Methods() map[string]rpc.Method {
	return map[string]rpc.Method{
		methodGrant: rpc.Typed(func(ctx context.Context, p grantParams) (any, error) {
			g.applyLoads(p.Loads)
			g.noteCall(p)
			r := g.serve(ctx, p)
			r.Loads = g.ownLoads()
			return r, nil
		}),
		methodReturn: rpc.Typed(func(_ context.Context, p tokenRef) (any, error) {
			g.takeBack(p)
			return struct{}{}, nil
		}),
		methodConfirm: rpc.Typed(func(ctx context.Context, p confirmParams) (any, error) {
			return confirmResult{Valid: g.confirmFor(ctx, p)}, nil
		}),
	}
}

// serve grants from a part for another instance. If the part is free, this instance claims it first.
func (g *RateLimiter) serve(ctx context.Context, p grantParams) grantResult {
	if p.Part < 0 || p.Part >= quota.Parts {
		return grantResult{NotOwner: true}
	}
	shard := quota.ShardOf(p.Workspace, p.Part)
	owner, free, _ := g.route(shard)
	switch {
	case free:
		g.claim(ctx, shard)
	case p.PassOn && owner != "" && owner != g.Self.Instance:
		p.PassOn = false
		r, outcome := g.call(ctx, owner, p, passOnTimeout)
		if outcome == "" || outcome == outcomeNotOwner {
			return r
		}
		g.noteSilence(shard, owner)
	}
	return g.grant(p)
}
