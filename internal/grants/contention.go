package grants

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/quota"
)

const (
	// contendedTTL is how long after a refusal or a failed call an instance makes one call at a time for a part.
	contendedTTL = 2 * time.Second
	// maxHold bounds the time for which requests are refused without a call because of one answer.
	maxHold = quota.MaxAhead
	// holdPerCaller is the hold for each instance that asks for tokens of a part, so that its owner gets a bounded number of calls a
	// second from all of them. If the part's rate is high, the hold is shorter: callsPerToken calls for each token.
	holdPerCaller = 10 * time.Millisecond
	callsPerToken = 2
	// minRefused is the share of refused calls from which on requests are held.
	minRefused = 0.4
	// demandWindow is the time for which an owner counts calls, and maxDemands the number of parts that it counts them for before it
	// drops old counts.
	demandWindow = time.Second
	maxDemands   = 256
	// maxParts is the number of parts of others that are known before those that are not contended are forgotten.
	maxParts = 4096
	// probeSpacing is the time between two calls to an instance that does not answer, for each instance of the fleet, so that all of
	// them together do not keep it busy.
	probeSpacing = 8 * time.Millisecond
	// relayPause is the time between two tries to reach an owner through another instance while it does not answer.
	relayPause = 250 * time.Millisecond
)

type partKey struct {
	workspace ids.WorkspaceID
	part      int
}

// partState is what an instance knows of a part that another one owns.
type partState struct {
	notes []emptyNote // one for each headroom
	// contendedUntil is until when the instance makes one call at a time, and turn is taken by that call.
	contendedUntil time.Time
	turn           chan struct{}
	// unansweredUntil is until when the owner is called neither directly nor through another instance.
	unansweredUntil time.Time
}

// emptyNote says that a part had too few tokens for a request that had to leave headroom.
type emptyNote struct {
	headroom float64
	until    time.Time // when the part may have enough tokens
	// holdUntil is until when requests that can wait for waitMs at most are refused. It is twice the wait of the refused request, which
	// may have waited for its turn.
	holdUntil time.Time
	waitMs    int64
}

// part returns the state of a part, under the lock.
func (g *RateLimiter) part(k partKey) *partState {
	s := g.partStates[k]
	if s != nil {
		return s
	}
	if len(g.partStates) >= maxParts {
		for old, s := range g.partStates {
			if g.Now().After(s.contendedUntil) {
				delete(g.partStates, old)
			}
		}
	}
	s = &partState{turn: make(chan struct{}, 1)}
	g.partStates[k] = s
	return s
}

// refusedByNotes reports whether the owner's last answers refuse a request, and for how long. They do so if the part has no token in
// the time for which the request can wait, or if the owner told the caller to hold.
func (s *partState) refusedByNotes(now time.Time, p grantParams) (retry time.Duration, refused bool) {
	for _, n := range s.notes {
		if n.headroom > p.Headroom {
			continue
		}
		left, held := n.until.Sub(now), n.holdUntil.Sub(now)
		if held > 0 && p.WaitMs <= n.waitMs {
			left = max(left, held)
		} else if left.Milliseconds() <= p.WaitMs {
			continue
		}
		if left > 0 {
			retry, refused = max(retry, left), true
		}
	}
	return retry, refused
}

// emptyFor returns for how long the part has too few tokens for a request as far as its owner has said.
func (s *partState) emptyFor(now time.Time, p grantParams) (d time.Duration) {
	for _, n := range s.notes {
		if n.headroom <= p.Headroom {
			d = max(d, n.until.Sub(now))
		}
	}
	return d
}

// note records the answer to a request: the part has too few tokens for a time, and requests are held for a time.
func (s *partState) note(now time.Time, p grantParams, empty, hold time.Duration) {
	n := emptyNote{headroom: p.Headroom, until: now.Add(empty), holdUntil: now.Add(hold), waitMs: 2 * p.WaitMs}
	for i, old := range s.notes {
		if old.headroom != p.Headroom {
			continue
		}
		if old.holdUntil.After(now) && old.waitMs > n.waitMs {
			n.holdUntil, n.waitMs = old.holdUntil, old.waitMs
		}
		s.notes[i] = n
		return
	}
	s.notes = append(s.notes, n)
}

// refusal returns the decision about a request if the owner's last answers refuse it.
func (g *RateLimiter) refusal(now time.Time, p grantParams) (d Decision, refused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, known := g.partStates[partKey{p.Workspace, p.Part}]
	if !known {
		return d, false
	}
	retry, refused := s.refusedByNotes(now, p)
	return Decision{Retry: retry, part: p.Part}, refused
}

// noteResult notes the result of a call. The own parts are not noted, because asking them is cheap.
func (g *RateLimiter) noteResult(now time.Time, p grantParams, r grantResult) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, _, own := g.limiter.Leases.Holds(now, quota.ShardOf(p.Workspace, p.Part)); own {
		return
	}
	key := partKey{p.Workspace, p.Part}
	wait := time.Duration(r.WaitMs) * time.Millisecond
	switch {
	case r.NotOwner:
		s := g.part(key)
		contended := now.Before(s.contendedUntil)
		s.contendedUntil = now.Add(contendedTTL)
		if owner, _ := g.limiter.Leases.Owner(quota.ShardOf(p.Workspace, p.Part)); g.breakers[owner] != nil && (contended || g.breakers[owner].Open()) {
			s.unansweredUntil = g.Now().Add(relayPause)
		}
	case r.Tokens == 0:
		s := g.part(key)
		s.contendedUntil = now.Add(contendedTTL)
		hold := min(max(time.Duration(r.HoldMs)*time.Millisecond, 0), maxHold)
		s.note(now, p, time.Duration(r.RetryMs)*time.Millisecond, hold)
	case wait > 0:
		p.WaitMs = 0 // the next token is due later than this one
		g.part(key).note(now, p, wait, 0)
	case g.partStates[key] != nil:
		s := g.partStates[key]
		kept := s.notes[:0]
		for _, n := range s.notes {
			if n.headroom > p.Headroom {
				kept = append(kept, n)
			}
		}
		s.notes = kept
	}
}

// contended reports whether a part refused requests or did not answer lately.
func (g *RateLimiter) contended(now time.Time, ws ids.WorkspaceID, part int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.contention(now, partKey{ws, part}).IsZero()
}

// contention returns until when a part has no tokens if it is contended, or else zero, under the lock.
func (g *RateLimiter) contention(now time.Time, k partKey) (until time.Time) {
	s, known := g.partStates[k]
	if !known || !now.Before(s.contendedUntil) {
		return until
	}
	return now.Add(max(s.emptyFor(now, grantParams{}), 0))
}

// unanswered reports whether the owner of a part did not answer a moment ago, also not through another instance, and may still own it.
func (g *RateLimiter) unanswered(now time.Time, p grantParams) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, known := g.partStates[partKey{p.Workspace, p.Part}]
	if !known || !now.Before(s.unansweredUntil) {
		return false
	}
	free, ok := g.limiter.Leases.FreeAt(quota.ShardOf(p.Workspace, p.Part))
	return !ok || now.Before(free)
}

// awaitTurn waits until this instance has no other call for a contended part under way; ok is false if that takes too long.
func (g *RateLimiter) awaitTurn(ctx context.Context, p grantParams) (done func(), ok bool) {
	g.mu.Lock()
	s, known := g.partStates[partKey{p.Workspace, p.Part}]
	contended := known && g.Now().Before(s.contendedUntil)
	g.mu.Unlock()
	if !contended {
		return func() {}, true
	}
	timer := time.NewTimer(max(2*callTimeout, time.Duration(p.WaitMs)*time.Millisecond))
	defer timer.Stop()
	select {
	case s.turn <- struct{}{}:
		return func() { <-s.turn }, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return nil, false
}

// probePause returns a random time to the next call to an instance that does not answer, under the lock. Many instances may have begun
// to call it at once.
func (g *RateLimiter) probePause(now time.Time) time.Duration {
	mean := time.Duration(g.limiter.Leases.Members(now)) * probeSpacing
	return time.Duration((0.5 + rand.Float64()) * float64(mean))
}

// demand is what other instances ask of a part that this one owns.
type demand struct {
	since          time.Time
	asked, refused int
	callers        map[ids.InstanceID]struct{}
	last           *demand // of the window before
}

// holdFor counts a call of another instance, and returns for how long that one refuses requests without a call, under the lock. It
// is zero unless the part refuses a large share of the calls.
func (g *RateLimiter) holdFor(now time.Time, p grantParams, refused bool) time.Duration {
	key := partKey{p.Workspace, p.Part}
	d := g.demands[key]
	if d == nil || now.Sub(d.since) >= demandWindow {
		if d != nil {
			if d.last = nil; now.Sub(d.since) >= 2*demandWindow {
				d = nil
			}
		}
		if len(g.demands) >= maxDemands {
			for k, old := range g.demands {
				if now.Sub(old.since) >= 2*demandWindow {
					delete(g.demands, k)
				}
			}
		}
		d = &demand{since: now, callers: make(map[ids.InstanceID]struct{}), last: d}
		g.demands[key] = d
	}
	d.asked++
	d.callers[p.Caller] = struct{}{}
	if !refused {
		return 0
	}
	d.refused++
	most := d
	if d.last != nil && d.last.asked > d.asked {
		most = d.last
	}
	rate := g.limiter.PartRate(p.Workspace)
	if rate <= 0 || float64(most.refused) < minRefused*float64(most.asked) {
		return 0
	}
	perToken := time.Duration(float64(time.Second) / (callsPerToken * rate))
	hold := time.Duration(len(most.callers)) * min(holdPerCaller, perToken)
	return time.Duration((0.75 + rand.Float64()/2) * float64(min(maxHold, hold)))
}
