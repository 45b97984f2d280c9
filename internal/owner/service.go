package owner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/comfreylink/comfreylink/internal/peer"
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

// errLeaseEnded keeps a request from being sent by an owner that may have been replaced.
var errLeaseEnded = errors.New("the owner's lease has ended")

// service runs a service request: a non-idempotent one at most once, by its intent in the log; a repeatable one, which
// is here because it belongs to a program, in its program's order.
func (o *Owner) service(ctx context.Context, r *slots.Run, c peer.Call) peer.Result {
	route, refusal := o.routeService(c)
	if refusal != nil {
		return peer.Result{Refusal: refusal}
	}
	name := "key\x00" + string(c.Workspace) + "\x00" + string(c.RequestKey)
	if c.Program != "" {
		name = lineOf(c)
	}
	release, err := r.Lines.Acquire(ctx, name)
	if err != nil {
		return ended(r, ctx, c, peer.NotRun)
	}
	defer release()
	if route.Repeatable(c.Service.Method) {
		return o.runRepeatable(ctx, c, route)
	}
	return o.runOnce(ctx, r, c, route)
}

func (o *Owner) routeService(c peer.Call) (s config.Service, refusal *peer.Refusal) {
	view := o.Targets.Catalog.Current()
	if route, ok := view.Service(c.Workspace, c.Service.Name); ok {
		return route.Service, nil
	}
	if s, ok := view.PublicService(c.Service.Name); ok {
		return s, nil
	}
	return s, &peer.Refusal{Code: peer.CodeUnknownRoute, Run: peer.NotRun, Message: "the workspace has no service " + c.Service.Name, RequestKey: c.RequestKey}
}

func (o *Owner) serviceItem(c peer.Call, repeatable bool) dispatch.Item {
	limits, _ := o.Targets.Catalog.Current().Limits(c.Workspace)
	return dispatch.Item{
		Workspace:   c.Workspace,
		Weight:      float64(limits.Weight),
		Program:     c.Program,
		Prompt:      1,
		Output:      1,
		Repeatable:  repeatable,
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

// runRepeatable sends a repeatable request to targets until one answers.
func (o *Owner) runRepeatable(ctx context.Context, c peer.Call, route config.Service) peer.Result {
	item := o.serviceItem(c, true)
	o.Targets.Request()
	mayHaveRun := false
	for attempt := 1; ; attempt++ {
		s, refusal := o.Targets.Prepare(ctx, c, route.Pool, item, nil)
		if refusal != nil {
			refusal.RequestKey = c.RequestKey
			return peer.Result{Refusal: truthful(refusal, mayHaveRun)}
		}
		target := s.Place.Target
		a, err := o.Targets.Service(ctx, s.Place.Address, request(c))
		s.Grant.Used()
		if err == nil && !a.Leaving {
			o.Targets.Done(s.Place, dispatch.Completed, record.Usage{})
			return peer.Result{Service: answerOf(a), Trace: peer.Trace{Target: target}}
		}
		ending := dispatch.Left
		if err != nil {
			ending = targets.OutcomeOf(err, time.Since(s.Ready))
		}
		o.Targets.Done(s.Place, ending, record.Usage{})
		if err != nil && targets.BrokeOff(err) {
			o.Targets.Died(c.Workspace, c.Fingerprint, target)
		}
		if ctx.Err() != nil {
			return refused(c, peer.CodeDeadline, peer.Unknown, "the deadline passed while a target ran the request")
		}
		if !o.Targets.MayRetry(ctx, c, err, attempt) {
			return retryLater(refused(c, peer.CodeTargetFailed, peer.Unknown, "targets failed"), time.Second)
		}
		mayHaveRun = mayHaveRun || err != nil && targets.MayHaveReached(err)
		item.Excluded = append(item.Excluded, target)
	}
}

// truthful changes a refusal that says notRun if an earlier attempt of the request may have run. r may be nil.
func truthful(r *peer.Refusal, mayHaveRun bool) *peer.Refusal {
	if r != nil && mayHaveRun && r.Run == peer.NotRun {
		r.Run = peer.Unknown
	}
	return r
}

func answerOf(a service.Answer) *peer.ServiceResult {
	return &peer.ServiceResult{Status: a.Status, ContentType: a.ContentType, Body: a.Body}
}

// runOnce drives the execution of a non-idempotent request.
func (o *Owner) runOnce(ctx context.Context, r *slots.Run, c peer.Call, route config.Service) peer.Result {
	for {
		d := admitOnce(r, c)
		switch d.Action {
		case program.ActionRun:
			return o.execute(ctx, r, c, route)
		case program.ActionWait:
			if !waitRunning(ctx, r) {
				return ended(r, ctx, c, peer.Unknown)
			}
		case program.ActionReplay:
			return replayed(c, d.State)
		case program.ActionKeyReused:
			return refused(c, peer.CodeKeyReused, peer.NotRun, "the key belongs to a request with another content")
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
	return refused(c, peer.CodeUndecided, peer.Unknown, "the request was sent or may have been sent, and its answer is not known")
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
func (o *Owner) execute(ctx context.Context, r *slots.Run, c peer.Call, route config.Service) peer.Result {
	var e *program.Execution
	o.Targets.Request()
	r.Begin(keyOf(c), c.Fingerprint)
	defer func() { endExecution(r, c, e) }()
	s, refusal := o.Targets.Prepare(ctx, c, route.Pool, o.serviceItem(c, false), func(p targets.Placement) *peer.Refusal {
		e = program.NewExecution(record.Intent{
			Epoch:       r.Epoch,
			Workspace:   c.Workspace,
			Program:     c.Program,
			Key:         c.RequestKey,
			Fingerprint: c.Fingerprint,
			Target:      p.Target,
			UnixMilli:   time.Now().UnixMilli(),
		}, o.attempts.Add(1))
		e.IntentDone(r.Append(ctx, e.Intent()))
		o.awaitLease(ctx, r)
		return nil
	})
	if refusal != nil {
		return o.notSent(r, c, e, refusal)
	}
	if e.Step() == program.StepCheck {
		var reason error
		if now := time.Now(); !o.Lease.LeaseValid(now) || r.Lost() {
			reason = errLeaseEnded
		} else if !s.Grant.Usable(now) {
			reason = errors.New("the rate token is too old")
		}
		e.Checked(reason)
	}
	if e.Step() != program.StepSend {
		s.Grant.Unused()
		o.Targets.Done(s.Place, dispatch.Unsent, record.Usage{})
		return o.finish(r, c, e, s.Place.Target)
	}
	o.sendOnce(ctx, r, c, route, s, e)
	if e.Step() == program.StepOutcome {
		e.OutcomeDone(r.Append(ctx, e.Outcome()))
	}
	return o.finish(r, c, e, s.Place.Target)
}

// leasePoll is how often a waiting request looks whether the lease is valid again.
const leasePoll = 20 * time.Millisecond

// awaitLease waits until the owner's lease is valid, so that a short gap in the reads of the log delays a request and
// does not refuse it.
func (o *Owner) awaitLease(ctx context.Context, r *slots.Run) {
	for !o.Lease.LeaseValid(time.Now()) && !r.Lost() {
		select {
		case <-time.After(leasePoll):
		case <-ctx.Done():
			return
		}
	}
}

func (o *Owner) sendOnce(ctx context.Context, r *slots.Run, c peer.Call, route config.Service, s targets.Sending, e *program.Execution) {
	q := request(c)
	if route.ChecksFencing {
		q.Fence, q.FenceScope = r.Epoch, fmt.Sprintf("slot-%03d", r.Slot)
	}
	a, err := o.Targets.Service(ctx, s.Place.Address, q)
	s.Grant.Used()
	if err == nil {
		ending := dispatch.Completed
		if a.Leaving {
			ending = dispatch.Left
		}
		o.Targets.Done(s.Place, ending, record.Usage{})
		// The answer of a leaving target is no proof that the request did not run, so it is not sent to another.
		e.Answered(a.Status, a.ContentType, a.Body)
		return
	}
	o.Targets.Done(s.Place, targets.OutcomeOf(err, time.Since(s.Ready)), record.Usage{})
	if targets.BrokeOff(err) {
		o.Targets.Died(c.Workspace, c.Fingerprint, s.Place.Target)
	}
	e.Failed(targets.MayHaveReached(err), err)
}

// notSent answers a request that was refused before it was sent.
func (o *Owner) notSent(r *slots.Run, c peer.Call, e *program.Execution, refusal *peer.Refusal) peer.Result {
	if e != nil {
		e.Checked(refusal)
	}
	if r.Lost() {
		return peer.Result{Redirect: &peer.Redirect{Epoch: r.Epoch}}
	}
	refusal.RequestKey = c.RequestKey
	return peer.Result{Refusal: refusal}
}

// endExecution withdraws the intent of a request that was not sent. Until the log shows the withdrawal, a request with the
// same key waits, since this owner knows that the first one will not be sent.
func endExecution(r *slots.Run, c peer.Call, e *program.Execution) {
	if e == nil || e.Cancel() == nil {
		r.End(keyOf(c))
		return
	}
	cancel := e.Cancel()
	// The slot is not handed over before, since the next owner would have to answer that the request may have run.
	r.Hold()
	go func() {
		defer r.Leave()
		defer r.End(keyOf(c))
		_, _ = r.Append(r.Context(), cancel)
	}()
}

func (o *Owner) finish(r *slots.Run, c peer.Call, e *program.Execution, target ids.TargetID) peer.Result {
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
		return retryLater(refused(c, peer.CodeLogUnavailable, peer.NotRun, "the owner cannot confirm its lease while the log is unavailable"), time.Second)
	case errors.As(answer.Reason, &failed):
		return retryLater(refused(c, peer.CodeTargetFailed, peer.NotRun, "the target cannot be reached: "+root(failed)), time.Second)
	default:
		return retryLater(refused(c, peer.CodeLogUnavailable, peer.NotRun, "the request was not sent: "+answer.Reason.Error()), time.Second)
	}
}
