package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/chat"
	"github.com/comfreylink/comfreylink/internal/engine"
	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/logservice"
	"github.com/comfreylink/comfreylink/internal/peer"
	"github.com/comfreylink/comfreylink/internal/service"
	"github.com/comfreylink/comfreylink/internal/targets"
	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/member"
	"github.com/comfreylink/comfreylink/pkg/record"
	"github.com/comfreylink/comfreylink/pkg/retry"
	"github.com/comfreylink/comfreylink/pkg/suspect"
)

// peerCaller calls methods of peers that send no chunks, and records the calls in the metrics.
type peerCaller struct {
	*peer.Client
	d *Daemon
}

// Call implements members.Peers, catchup.Peers, limiter.Caller, dispatcher.Caller and liveness.Caller.
func (p peerCaller) Call(ctx context.Context, to peer.Address, m peer.Method, params, result any) error {
	began := time.Now()
	err := p.Client.Call(ctx, to, m, params, result, nil)
	p.d.metrics.PeerCalled(string(m), time.Since(began), err)
	return err
}

// owners looks up the owners of slots in the fleet and their addresses among the members.
type owners struct{ d *Daemon }

// Owner implements forward.Owners, limiter.Owners and liveness.Owners.
func (o owners) Owner(s ids.Slot) (w ids.WriterID, e ids.Epoch, changed <-chan struct{}) {
	return o.d.fleet.Owner(s)
}

// Address implements forward.Owners, limiter.Owners and liveness.Owners.
func (o owners) Address(w ids.WriterID) (a peer.Address, ok bool) { return o.d.members.Address(w) }

// LeaseValid implements limiter.Owners.
func (o owners) LeaseValid(now time.Time) bool { return o.d.fleet.LeaseValid(now) }

// ReportUnreachable implements forward.Owners.
func (o owners) ReportUnreachable(w ids.WriterID) {
	o.d.logger.Debug("peer did not accept a request", zap.String("writer", string(w)))
	o.d.members.ReportUnreachable(w)
}

// fleetLease asks d.fleet for the lease. The parts that get it are created before the fleet.
type fleetLease struct{ d *Daemon }

// LeaseValid implements slots.Lease.
func (l fleetLease) LeaseValid(now time.Time) bool { return l.d.fleet.LeaseValid(now) }

// measuredLog records the duration of appends in the metrics, and reports to d.pace, which limits the append rate, whether
// the log service accepted or throttled them.
type measuredLog struct {
	*logservice.Client
	d *Daemon
}

// Append implements journal.Log.
func (l measuredLog) Append(ctx context.Context, s ids.Stream, data []byte) (o ids.Offset, err error) {
	began := time.Now()
	o, err = l.Client.Append(ctx, s, data)
	l.d.metrics.Appended(s, time.Since(began), err)
	var refusal *logservice.Error
	switch {
	case err == nil:
		l.d.pace.Appended()
	case errors.As(err, &refusal) && refusal.Status == http.StatusTooManyRequests:
		l.d.pace.Refused()
	}
	return o, err
}

// access implements targets.Targets with the parts of the daemon.
type access struct{ d *Daemon }

func (t access) Place(ctx context.Context, pool ids.PoolID, it dispatch.Item) (targets.Placement, *peer.Refusal) {
	it.Zone = t.d.settings.Instance.Zone
	began := time.Now()
	p, r := t.d.dispatcher.Place(ctx, pool, it)
	t.d.metrics.QueueWaited(pool, time.Since(began))
	return p, r
}

func (t access) Request() { t.d.retries.Request() }

func (t access) Done(p targets.Placement, o dispatch.Outcome, u record.Usage) {
	t.d.dispatcher.Done(p, o, u)
}

func (t access) Acquire(ctx context.Context, ws ids.WorkspaceID) (targets.Grant, *peer.Refusal) {
	if ws == publicWorkspace {
		return unlimited{}, nil
	}
	g, r := t.d.limiter.Acquire(ctx, ws)
	if r != nil {
		return nil, r
	}
	return g, nil
}

func (t access) ReportDeath(ws ids.WorkspaceID, f ids.Fingerprint, target ids.TargetID) {
	events.Log(t.d.logger, events.RequestSuspected, zap.String("workspace", string(ws)), zap.String("fingerprint", string(f)), zap.String("target", string(target)))
	now := time.Now()
	t.d.suspects.DropOld(now)
	t.d.suspects.ReportDeath(now, suspect.Death{Fingerprint: f, Target: target})
	_ = t.d.fleetLog.Submit(&record.SuspectRequest{Workspace: ws, Fingerprint: f, Target: target})
}

func (t access) Survived(ws ids.WorkspaceID, f ids.Fingerprint) {
	t.d.suspects.Survived(f)
	if t.d.fleet.Suspected(ws, f) {
		_ = t.d.fleetLog.Submit(&record.ClearRequest{Workspace: ws, Fingerprint: f})
	}
}

func (t access) Suspected(ws ids.WorkspaceID, f ids.Fingerprint) bool {
	return t.d.suspects.Suspected(f) || t.d.fleet.Suspected(ws, f)
}

func (t access) Quarantined(ws ids.WorkspaceID, f ids.Fingerprint) bool {
	quarantined := t.d.fleet.Quarantined(ws, f)
	if quarantined {
		events.Log(t.d.logger, events.RequestQuarantined, zap.String("workspace", string(ws)), zap.String("fingerprint", string(f)))
	}
	return quarantined
}

func (t access) RetryAt(now time.Time, f retry.Failure) (at time.Time, why retry.Reason) {
	at, why = t.d.retries.Decide(now, f)
	if why == retry.BudgetSpent {
		events.Log(t.d.logger, events.RetryBudgetUsedUp, zap.Float64("retryBudget", t.d.settings.Dispatch.RetryBudget))
	}
	return at, why
}

func (t access) Chat(ctx context.Context, address string, r engine.Request, onChunk func(engine.Chunk) error) (engine.Answer, error) {
	return t.d.engines.Chat(ctx, address, r, onChunk)
}

func (t access) Resume(ctx context.Context, address, id string, partial engine.Answer, onChunk func(engine.Chunk) error) (engine.Answer, error) {
	return t.d.engines.Resume(ctx, address, id, partial, onChunk)
}

func (t access) Service(ctx context.Context, address string, r service.Request) (service.Answer, error) {
	return t.d.services.Do(ctx, address, r)
}

// directory implements chat.Directory.
type directory struct{ d *Daemon }

func (a directory) Authenticate(now time.Time, key string) (chat.Caller, bool) {
	ws, ok := a.d.catalog.Authenticate(key, now)
	if !ok {
		return chat.Caller{}, false
	}
	return chat.Caller{Workspace: ws, KeyHash: hashOf(key)}, true
}

// publicWorkspace is the workspace of requests without a key to public services. No workspace can be published under this
// name, so these requests share no request keys or programs with those of a configured workspace.
const publicWorkspace ids.WorkspaceID = "~public"

// unlimited is the grant of a request to a public service. The request does not count against the rate of any workspace.
type unlimited struct{}

// Usable implements targets.Grant.
func (unlimited) Usable(time.Time) bool { return true }

// Used implements targets.Grant.
func (unlimited) Used() {}

// Unused implements targets.Grant.
func (unlimited) Unused() {}

func (a directory) Public(service string) (chat.Caller, bool) {
	_, ok := a.d.catalog.PublicService(service)
	return chat.Caller{Workspace: publicWorkspace}, ok
}

func (a directory) Admitting(now time.Time) bool { return a.d.fresh(now) }

// observer implements chat.Observer.
type observer struct{ d *Daemon }

func (o observer) Answered(route string, status int, refusal *peer.Refusal, took time.Duration) {
	o.d.metrics.RequestDone(route, status, o.d.settings.Instance.Zone, took)
	if refusal == nil {
		return
	}
	o.d.metrics.Refused(string(refusal.Code))
	events.Log(o.d.logger, events.RequestRefused,
		zap.String("requestKey", string(refusal.RequestKey)), zap.String("code", string(refusal.Code)),
		zap.String("run", string(refusal.Run)), zap.String("reason", refusal.Message))
}

// handler implements peer.Handler.
type handler struct{ d *Daemon }

func (h handler) ServePeer(ctx context.Context, from ids.InstanceID, m peer.Method, params json.RawMessage, notify func(any) error) (any, error) {
	now := time.Now()
	switch m {
	case peer.MethodCall:
		return decodeAndCall(params, func(c peer.Call) any { return h.call(ctx, c, notify) })
	case peer.MethodAcquire:
		return decodeAndCall(params, func(a peer.Acquire) any { return h.d.limiter.Serve(ctx, a) })
	case peer.MethodGranted:
		return decodeAndCall(params, func(r peer.GrantReport) any { h.d.limiter.Report(now, r); return nil })
	case peer.MethodPlace:
		return decodeAndCall(params, func(p peer.Place) any { return h.d.dispatcher.Serve(ctx, p) })
	case peer.MethodDone:
		return decodeAndCall(params, func(e peer.Done) any { h.d.dispatcher.End(e); return nil })
	case peer.MethodLiveness:
		return decodeAndCall(params, func(l peer.QueryLiveness) any { return h.d.slots.QueryLiveness(l) })
	case peer.MethodPing:
		return decodeAndCall(params, func(m member.Message) any { return h.d.members.Serve(from, m) })
	case peer.MethodEntries:
		return decodeAndCall(params, func(e peer.Entries) any { return h.d.catchup.Serve(e) })
	default:
		return nil, peer.ErrUnknownMethod
	}
}

// decodeAndCall decodes the parameters of a method, calls f with them and returns its result.
func decodeAndCall[P any](params json.RawMessage, f func(P) any) (any, error) {
	var p P
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, err
	}
	return f(p), nil
}

func (h handler) call(ctx context.Context, c peer.Call, notify func(any) error) peer.Result {
	slot := h.d.slotOf(c)
	if c.Kind == peer.KindChat && c.Chat == nil || c.Kind == peer.KindService && c.Service == nil {
		return peer.Result{Refusal: &peer.Refusal{Code: peer.CodeBadRequest, Run: peer.NotRun, Message: "the call has no content"}}
	}
	onDelta := func(text string) { _ = notify(peer.Chunk{Delta: text}) }
	if c.Chat == nil || !c.Chat.Stream {
		onDelta = nil
	}
	return h.d.owner.Call(ctx, slot, c, onDelta)
}

// slotOf returns the slot of a call's program, or that of its request key if it names no program.
func (d *Daemon) slotOf(c peer.Call) ids.Slot {
	if c.Program != "" {
		return ids.SlotOf(c.Workspace, c.Program, d.settings.Ownership.Slots)
	}
	return ids.SlotOfKey(c.Workspace, c.RequestKey, d.settings.Ownership.Slots)
}
