// Package targets takes a call to a target: a place in the queue of its pool, a rate token, and the checks right before
// it is sent.
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

// Targets finds targets and speaks to them.
type Targets interface {
	// Place waits for a target of a pool.
	Place(ctx context.Context, pool ids.PoolID, it dispatch.Item) (p Placement, r *peer.Refusal)
	// Done ends a placement.
	Done(p Placement, o dispatch.Outcome, u record.Usage)
	// Acquire waits for a rate token of a workspace.
	Acquire(ctx context.Context, ws ids.WorkspaceID) (g Grant, r *peer.Refusal)
	// Died tells that a target's connection broke while it ran a request.
	Died(ws ids.WorkspaceID, f ids.Fingerprint, t ids.TargetID)
	// Survived tells that a target answered a request.
	Survived(ws ids.WorkspaceID, f ids.Fingerprint)
	// Suspected reports whether a target died while it ran a request.
	Suspected(ws ids.WorkspaceID, f ids.Fingerprint) bool
	// Quarantined reports whether a request is refused because targets died while they ran it.
	Quarantined(ws ids.WorkspaceID, f ids.Fingerprint) bool
	// Request counts a first attempt towards the retry budget.
	Request()
	// RetryAt returns when a failed call may be repeated, or why not.
	RetryAt(now time.Time, f retry.Failure) (at time.Time, why retry.Reason)
	// Chat makes a model call.
	Chat(ctx context.Context, address string, r engine.Request, chunk func(engine.Chunk) error) (a engine.Answer, err error)
	// Resume continues a model call whose stream broke.
	Resume(ctx context.Context, address, id string, partial engine.Answer, chunk func(engine.Chunk) error) (a engine.Answer, err error)
	// Service sends a request to a service once.
	Service(ctx context.Context, address string, r service.Request) (a service.Answer, err error)
}

// Placement is a target that a call was given.
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
	// Usable reports whether the request may still be sent with it.
	Usable(now time.Time) bool
	// Used tells that the target has begun to answer or the request failed, so that the token starts to refill. Reported at
	// the sending, a token could refill before its request arrives, and a window at the target could hold one run too many.
	Used()
	// Unused gives the token back.
	Unused()
}

// PrefixOf returns the key of a program's history in the index of cached prefixes.
func PrefixOf(ws ids.WorkspaceID, p ids.ProgramID) dispatch.PrefixKey {
	return dispatch.PrefixKey(string(ws) + "/" + string(p))
}
