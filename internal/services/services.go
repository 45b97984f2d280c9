// Package services runs requests of plain services and tool services: a non-idempotent one at most once, by its intent in
// the log, a repeatable one until a target answers.
package services

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/comfreylink/comfreylink/internal/peer"
	"github.com/comfreylink/comfreylink/internal/refusal"
	"github.com/comfreylink/comfreylink/internal/service"
	"github.com/comfreylink/comfreylink/internal/slots"
	"github.com/comfreylink/comfreylink/internal/targethttp"
	"github.com/comfreylink/comfreylink/internal/targets"
	"github.com/comfreylink/comfreylink/pkg/config"
	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/program"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// Services runs requests of services.
type Services struct {
	lease    slots.Lease
	targets  targets.Access
	attempts atomic.Int64
}

// New returns the services that are reached through targets, for slots whose ownership a lease bounds.
func New(l slots.Lease, t targets.Access) *Services { return &Services{lease: l, targets: t} }

// errLeaseEnded keeps a request from being sent by an owner that may have been replaced.
var errLeaseEnded = errors.New("the owner's lease has ended")

// Run runs a service request as the owner of its slot: a non-idempotent one at most once, by its intent in the log; a repeatable one, which
// is here because it belongs to a program, in its program's order.
func (svc *Services) Run(ctx context.Context, r *slots.Run, c peer.Call) peer.Result {
	route, refused := svc.Route(c)
	if refused != nil {
		return peer.Result{Refusal: refused}
	}
	name := "key\x00" + string(c.Workspace) + "\x00" + string(c.RequestKey)
	if c.Program != "" {
		name = slots.Program{Workspace: c.Workspace, ID: c.Program}.QueueName()
	}
	release, err := r.Queues.Acquire(ctx, name)
	if err != nil {
		return refusal.ContextEnded(r, ctx, c, peer.NotRun)
	}
	defer release()
	if route.Idempotent(c.Service.Method) {
		return svc.RunIdempotent(ctx, c, route)
	}
	return svc.runOnce(ctx, r, c, route)
}

// Route returns the service that a call is for.
func (svc *Services) Route(c peer.Call) (s config.Service, refused *peer.Refusal) {
	view := svc.targets.Catalog.Current()
	if route, ok := view.Service(c.Workspace, c.Service.Name); ok {
		return route.Service, nil
	}
	if s, ok := view.PublicService(c.Service.Name); ok {
		return s, nil
	}
	return s, &peer.Refusal{Code: peer.CodeUnknownRoute, Run: peer.NotRun, Message: "the workspace has no service " + c.Service.Name, RequestKey: c.RequestKey}
}

func (svc *Services) serviceItem(c peer.Call, repeatable bool) dispatch.Item {
	limits, _ := svc.targets.Catalog.Current().Limits(c.Workspace)
	return dispatch.Item{
		Workspace:   c.Workspace,
		Weight:      float64(limits.Weight),
		Program:     c.Program,
		Prompt:      1,
		Output:      1,
		Idempotent:  repeatable,
		Fingerprint: c.Fingerprint,
	}
}

func request(c peer.Call) service.Request {
	path := c.Service.Path
	if c.Service.Query != "" {
		path += "?" + c.Service.Query
	}
	return service.Request{
		Method:      c.Service.Method,
		Path:        path,
		ContentType: c.Service.ContentType,
		Accept:      c.Service.Accept,
		Body:        c.Service.Body,
		Workspace:   c.Workspace,
		Key:         c.RequestKey,
	}
}

// RunIdempotent sends a repeatable request to targets until one answers.
func (svc *Services) RunIdempotent(ctx context.Context, c peer.Call, route config.Service) peer.Result {
	item := svc.serviceItem(c, true)
	svc.targets.Request()
	mayHaveRun := false
	for attempt := 1; ; attempt++ {
		s, refused := svc.targets.Prepare(ctx, c, route.Pool, item, nil)
		if refused != nil {
			refused.RequestKey = c.RequestKey
			return peer.Result{Refusal: refusal.CorrectRunState(refused, mayHaveRun)}
		}
		target := s.Place.Target
		a, err := svc.targets.Service(ctx, s.Place.Address, request(c))
		s.Grant.Used()
		if err == nil && !a.Leaving {
			svc.targets.Done(s.Place, dispatch.Completed, record.Usage{})
			return peer.Result{Service: answerOf(a), Trace: peer.Trace{Target: target}}
		}
		ending := dispatch.TargetLeft
		if err != nil {
			ending = targets.OutcomeOf(err, time.Since(s.Ready))
		}
		svc.targets.Done(s.Place, ending, record.Usage{})
		if err != nil && targets.BrokeOff(err) {
			svc.targets.Died(c.Workspace, c.Fingerprint, target)
		}
		if ctx.Err() != nil {
			return refusal.Of(c, peer.CodeDeadline, peer.Unknown, "the deadline passed while a target ran the request")
		}
		if !svc.targets.MayRetry(ctx, c, err, attempt) {
			return refusal.WithRetryAfter(refusal.Of(c, peer.CodeTargetFailed, peer.Unknown, "targets failed"), time.Second)
		}
		mayHaveRun = mayHaveRun || err != nil && targets.MayHaveReached(err)
		item.Excluded = append(item.Excluded, target)
	}
}

func answerOf(a service.Answer) *peer.ServiceResult {
	return &peer.ServiceResult{Status: a.Status, ContentType: a.ContentType, Body: a.Body}
}

// runOnce drives the execution of a non-idempotent request.
func (svc *Services) runOnce(ctx context.Context, r *slots.Run, c peer.Call, route config.Service) peer.Result {
	for {
		d := admitOnce(r, c)
		switch d.Action {
		case program.ActionRun:
			return svc.execute(ctx, r, c, route)
		case program.ActionWait:
			if !waitRunning(ctx, r) {
				return refusal.ContextEnded(r, ctx, c, peer.Unknown)
			}
		case program.ActionReplay:
			return replayed(c, d.State)
		case program.ActionKeyReused:
			return refusal.Of(c, peer.CodeKeyReused, peer.NotRun, "the key belongs to a request with another content")
		case program.ActionNotOwner:
			return peer.Result{Redirect: &peer.Redirect{Epoch: r.Epoch}}
		default:
			return undecided(c)
		}
	}
}

func admitOnce(r *slots.Run, c peer.Call) (d program.Decision) {
	running := r.Executing(keyOf(c))
	r.View(func(s *program.Slot) {
		d = s.Admit(program.Request{
			Workspace:   c.Workspace,
			Key:         c.RequestKey,
			Fingerprint: c.Fingerprint,
			Epoch:       r.Epoch,
			Running:     running,
		})
	})
	return d
}

func keyOf(c peer.Call) slots.Key {
	return slots.Key{Workspace: c.Workspace, Key: c.RequestKey}
}

// runningPoll is how often a request looks whether an earlier one with its key has ended.
const runningPoll = 10 * time.Millisecond

func waitRunning(ctx context.Context, r *slots.Run) bool {
	select {
	case <-time.After(runningPoll):
		return !r.Lost()
	case <-ctx.Done():
		return false
	}
}

func undecided(c peer.Call) peer.Result {
	return refusal.Of(c, peer.CodeUndecided, peer.Unknown, "the request was sent or may have been sent, and its answer is not known")
}

func replayed(c peer.Call, s program.KeyState) peer.Result {
	if s.Status == record.StatusUnknown {
		return undecided(c)
	}
	a := &peer.ServiceResult{Status: s.Status, ContentType: s.ContentType, Body: s.Body}
	return peer.Result{Service: a, Trace: peer.Trace{Target: s.Target, Replayed: true}}
}

// execute appends the intent, sends the request once and appends the outcome. The rate token is taken after the intent,
// since it must be used at once; a request that then gets none was not sent, and its intent is cancelled.
func (svc *Services) execute(ctx context.Context, r *slots.Run, c peer.Call, route config.Service) peer.Result {
	var e *program.Execution
	svc.targets.Request()
	r.BeginExecution(keyOf(c), c.Fingerprint)
	defer func() { endExecution(r, c, e) }()
	s, refused := svc.targets.Prepare(ctx, c, route.Pool, svc.serviceItem(c, false), func(p targets.Placement) *peer.Refusal {
		e = program.NewExecution(record.Intent{
			Epoch:       r.Epoch,
			Workspace:   c.Workspace,
			Program:     c.Program,
			Key:         c.RequestKey,
			Fingerprint: c.Fingerprint,
			Target:      p.Target,
			UnixMilli:   time.Now().UnixMilli(),
		}, svc.attempts.Add(1))
		e.IntentDone(r.Append(ctx, e.Intent()))
		svc.awaitLease(ctx, r)
		return nil
	})
	if refused != nil {
		return svc.notSent(r, c, e, refused)
	}
	if e.Step() == program.StepCheck {
		var reason error
		if now := time.Now(); !svc.lease.LeaseValid(now) || r.Lost() {
			reason = errLeaseEnded
		} else if !s.Grant.Usable(now) {
			reason = errors.New("the rate token is too old")
		}
		e.Checked(reason)
	}
	if e.Step() != program.StepSend {
		s.Grant.Unused()
		svc.targets.Done(s.Place, dispatch.NotSent, record.Usage{})
		return svc.finish(r, c, e, s.Place.Target)
	}
	svc.sendOnce(ctx, r, c, route, s, e)
	if e.Step() == program.StepOutcome {
		e.OutcomeDone(r.Append(ctx, e.Outcome()))
	}
	return svc.finish(r, c, e, s.Place.Target)
}

// leasePoll is how often a waiting request looks whether the lease is valid again.
const leasePoll = 20 * time.Millisecond

// awaitLease waits until the owner's lease is valid, so that a short gap in the reads of the log delays a request and
// does not refuse it.
func (svc *Services) awaitLease(ctx context.Context, r *slots.Run) {
	for !svc.lease.LeaseValid(time.Now()) && !r.Lost() {
		select {
		case <-time.After(leasePoll):
		case <-ctx.Done():
			return
		}
	}
}

func (svc *Services) sendOnce(ctx context.Context, r *slots.Run, c peer.Call, route config.Service, s targets.Sending, e *program.Execution) {
	q := request(c)
	if route.ChecksFencing {
		q.Fence, q.FenceScope = r.Epoch, fmt.Sprintf("slot-%03d", r.Slot)
	}
	a, err := svc.targets.Service(ctx, s.Place.Address, q)
	s.Grant.Used()
	if err == nil {
		ending := dispatch.Completed
		if a.Leaving {
			ending = dispatch.TargetLeft
		}
		svc.targets.Done(s.Place, ending, record.Usage{})
		// The answer of a leaving target is no proof that the request did not run, so it is not sent to another.
		e.Answered(a.Status, a.ContentType, a.Body)
		return
	}
	svc.targets.Done(s.Place, targets.OutcomeOf(err, time.Since(s.Ready)), record.Usage{})
	if targets.BrokeOff(err) {
		svc.targets.Died(c.Workspace, c.Fingerprint, s.Place.Target)
	}
	e.Failed(targets.MayHaveReached(err), err)
}

// notSent answers a request that was refused before it was sent.
func (svc *Services) notSent(r *slots.Run, c peer.Call, e *program.Execution, refused *peer.Refusal) peer.Result {
	if e != nil {
		e.Checked(refused)
	}
	if r.Lost() {
		return peer.Result{Redirect: &peer.Redirect{Epoch: r.Epoch}}
	}
	refused.RequestKey = c.RequestKey
	return peer.Result{Refusal: refused}
}

// endExecution withdraws the intent of a request that was not sent. Until the log shows the withdrawal, a request with the
// same key waits, since this owner knows that the first one will not be sent.
func endExecution(r *slots.Run, c peer.Call, e *program.Execution) {
	if e == nil || e.Cancel() == nil {
		r.EndExecution(keyOf(c))
		return
	}
	cancel := e.Cancel()
	// The slot is not handed over before, since the next owner would have to answer that the request may have run.
	r.Hold()
	go func() {
		defer r.Leave()
		defer r.EndExecution(keyOf(c))
		_, _ = r.Append(r.Context(), cancel)
	}()
}

func (svc *Services) finish(r *slots.Run, c peer.Call, e *program.Execution, target ids.TargetID) peer.Result {
	answer := e.Answer()
	trace := peer.Trace{Target: target}
	var failed *targethttp.Error
	switch {
	case answer.Run == program.RunDone:
		result := &peer.ServiceResult{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}
		return peer.Result{Service: result, Trace: trace}
	case answer.Run == program.RunUnknown:
		result := undecided(c)
		result.Trace = trace
		return result
	case answer.Retry || r.Lost():
		return peer.Result{Redirect: &peer.Redirect{Epoch: r.Epoch}}
	case errors.Is(answer.Reason, errLeaseEnded):
		return refusal.WithRetryAfter(refusal.Of(c, peer.CodeLogUnavailable, peer.NotRun, "the owner cannot confirm its lease while the log is unavailable"), time.Second)
	case errors.As(answer.Reason, &failed):
		return refusal.WithRetryAfter(refusal.Of(c, peer.CodeTargetFailed, peer.NotRun, "the target cannot be reached: "+refusal.RootMessage(failed)), time.Second)
	default:
		return refusal.WithRetryAfter(refusal.Of(c, peer.CodeLogUnavailable, peer.NotRun, "the request was not sent: "+answer.Reason.Error()), time.Second)
	}
}
