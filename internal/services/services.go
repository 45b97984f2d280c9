// Package services runs requests to plain services and tool services. A non-idempotent request runs at most once: its
// intent is appended to the log before it is sent. An idempotent request is sent again until a target answers.
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

// Services runs requests to services.
type Services struct {
	lease   slots.Lease
	targets targets.Access
	// attempts numbers the executions of non-idempotent requests.
	attempts atomic.Int64
}

// New returns Services that send requests through t while the lease of this instance's slots is valid.
func New(l slots.Lease, t targets.Access) *Services { return &Services{lease: l, targets: t} }

// errLeaseEnded is the reason not to send a request: without a valid lease the slot may have a new owner.
var errLeaseEnded = errors.New("the owner's lease has ended")

// Run runs a service request as the owner of its slot. Requests of a program run one at a time in the order of arrival,
// and requests without a program wait only for those with the same request key. Idempotent requests come here only if
// they belong to a program.
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

// Route returns the service of a call: one of its workspace or a public one.
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

// serviceItem returns the description of a service request for the dispatcher.
func (svc *Services) serviceItem(c peer.Call, idempotent bool) dispatch.Item {
	limits, _ := svc.targets.Catalog.Current().Limits(c.Workspace)
	return dispatch.Item{
		Workspace:   c.Workspace,
		Weight:      float64(limits.Weight),
		Program:     c.Program,
		Prompt:      1,
		Output:      1,
		Idempotent:  idempotent,
		Fingerprint: c.Fingerprint,
	}
}

// request returns the request to send to the service for a call.
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

// RunIdempotent sends an idempotent request to one target after another until one answers or no retry is allowed.
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
			return peer.Result{Service: resultOf(a), Trace: peer.Trace{Target: target}}
		}
		outcome := dispatch.AnsweredLeaving
		if err != nil {
			outcome = targets.OutcomeOf(err, time.Since(s.Ready))
		}
		svc.targets.Done(s.Place, outcome, record.Usage{})
		if err != nil && targets.ConnectionBroke(err) {
			svc.targets.ReportDeath(c.Workspace, c.Fingerprint, target)
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

// resultOf returns a service's answer as the result of a call.
func resultOf(a service.Answer) *peer.ServiceResult {
	return &peer.ServiceResult{Status: a.Status, ContentType: a.ContentType, Body: a.Body}
}

// runOnce runs a non-idempotent request, or returns the result of an earlier request with the same key. It waits while
// the earlier one is in progress.
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

// admitOnce decides from the log and the executions in progress what to do with a non-idempotent request.
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

// runningPollInterval is how often a request checks whether an earlier one with the same key has ended.
const runningPollInterval = 10 * time.Millisecond

// waitRunning waits for one poll interval. It returns false if the slot was lost or ctx ended.
func waitRunning(ctx context.Context, r *slots.Run) bool {
	select {
	case <-time.After(runningPollInterval):
		return !r.Lost()
	case <-ctx.Done():
		return false
	}
}

// undecided returns the refusal of a request that may have run and whose answer is not known.
func undecided(c peer.Call) peer.Result {
	return refusal.Of(c, peer.CodeUndecided, peer.Unknown, "the request was sent or may have been sent, and its answer is not known")
}

// replayed returns the stored outcome of an earlier request with the same key.
func replayed(c peer.Call, s program.KeyState) peer.Result {
	if s.Status == record.StatusUnknown {
		return undecided(c)
	}
	a := &peer.ServiceResult{Status: s.Status, ContentType: s.ContentType, Body: s.Body}
	return peer.Result{Service: a, Trace: peer.Trace{Target: s.Target, Replayed: true}}
}

// execute appends the intent, sends the request once and appends the outcome. The rate token is acquired after the
// intent is appended, because it must be used at once. If no token is granted, the request was not sent and its intent
// is cancelled.
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

// leasePollInterval is how often a waiting request checks whether the lease is valid again.
const leasePollInterval = 20 * time.Millisecond

// awaitLease blocks until the owner's lease is valid, the slot is lost or ctx ends. With it, a request is delayed and
// not refused if the log was not readable for a short time.
func (svc *Services) awaitLease(ctx context.Context, r *slots.Run) {
	for !svc.lease.LeaseValid(time.Now()) && !r.Lost() {
		select {
		case <-time.After(leasePollInterval):
		case <-ctx.Done():
			return
		}
	}
}

// sendOnce sends a request to its target and records the answer or the failure in e.
func (svc *Services) sendOnce(ctx context.Context, r *slots.Run, c peer.Call, route config.Service, s targets.Attempt, e *program.Execution) {
	q := request(c)
	if route.ChecksFencing {
		q.Fence, q.FenceScope = r.Epoch, fmt.Sprintf("slot-%03d", r.Slot)
	}
	a, err := svc.targets.Service(ctx, s.Place.Address, q)
	s.Grant.Used()
	if err == nil {
		outcome := dispatch.Completed
		if a.Leaving {
			outcome = dispatch.AnsweredLeaving
		}
		svc.targets.Done(s.Place, outcome, record.Usage{})
		// The answer of a leaving target does not prove that the request did not run, so it is not sent to another
		// target.
		e.Answered(a.Status, a.ContentType, a.Body)
		return
	}
	svc.targets.Done(s.Place, targets.OutcomeOf(err, time.Since(s.Ready)), record.Usage{})
	if targets.ConnectionBroke(err) {
		svc.targets.ReportDeath(c.Workspace, c.Fingerprint, s.Place.Target)
	}
	e.Failed(targets.MayHaveReached(err), err)
}

// notSent returns the result of a request that was refused before it was sent. e is nil if there is no intent yet.
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

// endExecution ends an execution, and appends a cancel record if its intent may be in the log but the request was not
// sent. Until that append has ended, a request with the same key waits, because this owner knows that the first one
// will not be sent.
func endExecution(r *slots.Run, c peer.Call, e *program.Execution) {
	if e == nil || e.Cancel() == nil {
		r.EndExecution(keyOf(c))
		return
	}
	cancel := e.Cancel()
	// A handover of the slot waits for the cancel record, since without it the next owner would have to answer that the
	// request may have run.
	r.EnterBackground()
	go func() {
		defer r.Leave()
		defer r.EndExecution(keyOf(c))
		_, _ = r.Append(r.Context(), cancel)
	}()
}

// finish returns the result of an execution that has ended.
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
