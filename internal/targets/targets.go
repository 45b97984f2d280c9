// Package targets prepares attempts at targets: it waits in the queue of a pool for a target, waits for a rate token,
// and makes the checks directly before a call is sent.
package targets

import (
	"context"
	"time"

	"github.com/comfreylink/comfreylink/internal/engine"
	"github.com/comfreylink/comfreylink/internal/peer"
	"github.com/comfreylink/comfreylink/internal/service"
	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
	"github.com/comfreylink/comfreylink/pkg/retry"
)

// Targets assigns targets and rate tokens to calls, sends the calls, and records how they ended.
type Targets interface {
	// Place blocks until a target of a pool is free for the call.
	Place(ctx context.Context, pool ids.PoolID, it dispatch.Item) (p Placement, r *peer.Refusal)
	// Done ends a placement and reports to its dispatcher how the call ended.
	Done(p Placement, o dispatch.Outcome, u record.Usage)
	// Acquire blocks until a rate token of a workspace is granted.
	Acquire(ctx context.Context, ws ids.WorkspaceID) (g Grant, r *peer.Refusal)
	// ReportDeath reports that a target's connection broke while it ran a request, so that the request is suspected.
	ReportDeath(ws ids.WorkspaceID, f ids.Fingerprint, t ids.TargetID)
	// Survived reports that a target answered a request, so that the request is no longer suspected.
	Survived(ws ids.WorkspaceID, f ids.Fingerprint)
	// Suspected reports whether a target may have died of a request.
	Suspected(ws ids.WorkspaceID, f ids.Fingerprint) bool
	// Quarantined reports whether a request is refused because targets died while they ran it.
	Quarantined(ws ids.WorkspaceID, f ids.Fingerprint) bool
	// Request counts a first attempt. The retry budget is a share of the first attempts.
	Request()
	// RetryAt returns when a failed call may be repeated, or why not.
	RetryAt(now time.Time, f retry.Failure) (at time.Time, why retry.Reason)
	// Chat sends a model call to a target once.
	Chat(ctx context.Context, address string, r engine.Request, onChunk func(engine.Chunk) error) (a engine.Answer, err error)
	// Resume continues a model call whose stream broke.
	Resume(ctx context.Context, address, id string, partial engine.Answer, onChunk func(engine.Chunk) error) (a engine.Answer, err error)
	// Service sends a request to a target of a service once.
	Service(ctx context.Context, address string, r service.Request) (a service.Answer, err error)
}

// Placement is a target that the dispatcher of a pool has assigned to a call.
type Placement struct {
	Target  ids.TargetID
	Address string
	Pool    ids.PoolID
	Ticket  dispatch.Ticket
	// Dispatcher is the instance that placed the call.
	Dispatcher ids.InstanceID
}

// Grant is a rate token.
type Grant interface {
	// Usable reports whether a request may still be sent with the token.
	Usable(now time.Time) bool
	// Used reports that the target has begun to answer or that the request failed. The token starts to refill then. If
	// it started at the sending, it could refill before its request arrives, and the target could see one request too
	// many within a time window.
	Used()
	// Unused returns the token, because no request was sent with it.
	Unused()
}

// PrefixOf returns the key of a program's history in the index of cached prefixes.
func PrefixOf(ws ids.WorkspaceID, p ids.ProgramID) dispatch.PrefixKey {
	return dispatch.PrefixKey(string(ws) + "/" + string(p))
}
