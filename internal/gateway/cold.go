package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/grants"
	"github.com/comfreylink/comfreylink/internal/waitqueue"
	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/quota"
)

const (
	// maxColdRefusals is how many refusals by owners of cold targets' limits a request may get. Each costs a call to an
	// instance, but none concerns a target, so they do not count as placements.
	maxColdRefusals = 8
	// coldRefusalsBeforeWarm is after how many of them a request goes only to targets that are not cold.
	coldRefusalsBeforeWarm = 2
)

// coldToken allows one request to a cold target.
type coldToken struct {
	name     ids.WorkspaceID // of the target's limit
	decision grants.Decision
}

// takeCold takes a token for the request if its target is cold. It returns the result of the attempt if there is none.
func (e *exchange) takeCold(p waitqueue.Placement) *attemptResult {
	e.cold = nil
	if !e.follower.Cold(e.now(), p.Target) {
		return nil
	}
	ctx, cancel := context.WithTimeout(e.ctx, grants.ColdTimeout)
	defer cancel()
	name := quota.ColdName(p.Target.ID, p.Target.Born)
	d := e.grants.TakeCold(ctx, name)
	if d.OK {
		e.follower.ColdGranted(p.Target)
		e.cold = &coldToken{name: name, decision: d}
		return nil
	}
	e.coldRefusals++
	hold := e.holdCold(p, d.Retry)
	events.Log(e.Logger, events.ColdNotGranted, zap.String("requestId", string(e.req.ID)), zap.String("target", string(p.Target.ID)),
		zap.String("granter", string(d.Granter)), zap.Bool("unavailable", d.Unavailable), zap.Duration("retryAfter", d.Retry), zap.Duration("hold", hold))
	res := e.notSent("coldNotGranted", dispatch.NotSent, nil)
	res.coldRefused = true
	return &res
}

// holdCold keeps the requests of this instance from a cold target for a while, and returns for how long.
func (e *exchange) holdCold(p waitqueue.Placement, retry time.Duration) time.Duration {
	now := e.now()
	hold := e.follower.ColdRefused(now, p.Target, retry, rand.Float64())
	p.Hold(now.Add(hold))
	return hold
}

// returnCold returns the token of an attempt whose request was not written.
func (e *exchange) returnCold() {
	if e.cold != nil {
		e.grants.Return(e.cold.name, e.cold.decision)
		e.cold = nil
	}
}

// coldWithdrawn returns the result of an attempt whose target has become cold since it was chosen, or whose token is too old,
// because others may have used up the target's limit by now; nil if the request may be written.
func (e *exchange) coldWithdrawn(p waitqueue.Placement) *attemptResult {
	now := e.now()
	if e.cold == nil && !e.follower.Cold(now, p.Target) || e.cold != nil && now.Before(e.cold.decision.Expires) {
		return nil
	}
	e.coldRefusals++
	res := e.notSent("coldGrantExpired", dispatch.NotSent, nil)
	res.coldRefused = true
	return &res
}

// excludeCold returns the cold targets of a service that the request no longer tries, because it was refused several of them
// and the service has others.
func (e *exchange) excludeCold(service call.ServiceName) []ids.TargetID {
	if e.coldRefusals < coldRefusalsBeforeWarm {
		return nil
	}
	l, others := e.follower.ColdOf(e.now(), service)
	if !others {
		return nil
	}
	return l
}

// noteCold applies what an answer says about the target's cold time. A cold target that refuses a request is left alone for a
// moment.
func (e *exchange) noteCold(p waitqueue.Placement, a call.Answer) {
	now := e.now()
	switch {
	case a.WrongTarget:
		return
	case a.ColdLeft < 0:
		events.Log(e.Logger, events.FigureIgnored, zap.String("source", "answer"), zap.String("target", string(p.Target.ID)),
			zap.String("reason", "the time for which the target stays cold is malformed"))
	case a.ColdLeft > 0:
		e.follower.ColdAnswer(now, p.Target, a.ColdLeft)
	}
	if a.NotRun && e.follower.Cold(now, p.Target) {
		e.holdCold(p, 0)
	}
}
