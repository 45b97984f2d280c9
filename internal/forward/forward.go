// Package forward sends a caller's request from the entry instance to the owner of its slot, and returns the owner's
// answer.
package forward

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/comfreylink/comfreylink/internal/peer"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// retryPause is the wait before a request is sent to an owner again. It is short compared with a takeover of a slot,
// which takes as long as a lease, and long enough that waiting requests do not overload the new owner.
const retryPause = 25 * time.Millisecond

// Owners provides the owners of slots and their addresses.
type Owners interface {
	// Owner returns the owner of a slot, its epoch, and a channel that is closed when any ownership changes.
	Owner(s ids.Slot) (w ids.WriterID, e ids.Epoch, changed <-chan struct{})
	// Address returns where an owner listens for peers.
	Address(w ids.WriterID) (a peer.Address, ok bool)
	// ReportUnreachable reports that a request to a peer failed.
	ReportUnreachable(w ids.WriterID)
}

// Local runs calls on this instance.
type Local interface {
	// Call runs a call as the owner of its slot, or returns a redirect if this instance does not own the slot.
	Call(ctx context.Context, s ids.Slot, c peer.Call, onDelta func(string)) peer.Result
	// RunUnowned runs an idempotent call that belongs to no program.
	RunUnowned(ctx context.Context, c peer.Call, onDelta func(string)) peer.Result
	// Unowned reports whether a call needs no owner.
	Unowned(c peer.Call) bool
}

// Caller sends requests to peers.
type Caller interface {
	Call(ctx context.Context, to peer.Address, m peer.Method, params, result any, onChunk func(json.RawMessage)) error
}

// Forwarder sends the calls that this instance receives to their owners.
type Forwarder struct {
	self   ids.WriterID
	slots  int // number of slots
	owners Owners
	local  Local
	peers  Caller
}

// New returns the forwarder of the instance that writes as self. slots is the number of slots in the fleet.
func New(self ids.WriterID, slots int, o Owners, l Local, p Caller) *Forwarder {
	return &Forwarder{self: self, slots: slots, owners: o, local: l, peers: p}
}

// Slot returns the slot that a call belongs to.
func (f *Forwarder) Slot(c peer.Call) ids.Slot {
	if c.Program != "" {
		return ids.SlotOf(c.Workspace, c.Program, f.slots)
	}
	return ids.SlotOfKey(c.Workspace, c.RequestKey, f.slots)
}

// Run sends a call to its owner, and repeats it with the same request key until an owner answers or ctx ends. The
// request key makes the repetition safe, because an owner never runs a non-idempotent request again. A call that needs
// no owner runs on this instance.
func (f *Forwarder) Run(ctx context.Context, c peer.Call, onDelta func(string)) peer.Result {
	if f.local.Unowned(c) {
		return f.local.RunUnowned(ctx, c, onDelta)
	}
	out := &deltas{forward: onDelta}
	slot := f.Slot(c)
	mayHaveRun := false
	for ctx.Err() == nil {
		out.startAttempt()
		result, sent, answered := f.attempt(ctx, slot, c, out)
		if answered {
			if mayHaveRun && result.Refusal != nil && result.Refusal.Run == peer.NotRun {
				// The owner that refused may not know of an earlier attempt at another owner.
				result.Refusal.Run = peer.Unknown
			}
			return out.checkPrefix(result)
		}
		mayHaveRun = mayHaveRun || sent
		f.pause(ctx)
	}
	return peer.Result{Refusal: timeoutRefusal(c, mayHaveRun)}
}

// pause waits for retryPause or until ctx ends.
func (f *Forwarder) pause(ctx context.Context) {
	select {
	case <-time.After(retryPause):
	case <-ctx.Done():
	}
}

// attempt sends the call to the current owner. sent reports whether the call may have run there, and answered whether r
// is the answer to return to the caller.
func (f *Forwarder) attempt(ctx context.Context, slot ids.Slot, c peer.Call, out *deltas) (r peer.Result, sent, answered bool) {
	owner, epoch, changed := f.owners.Owner(slot)
	if owner == "" {
		return r, false, false
	}
	ctx, cancel := f.untilTakeover(ctx, slot, epoch, changed)
	defer cancel()
	c.DeadlineMillis = ownerDeadline(remaining(ctx, c.DeadlineMillis))
	if owner == f.self {
		var onDelta func(string)
		if out.forward != nil {
			onDelta = out.add
		}
		r = f.local.Call(ctx, slot, c, onDelta)
		return r, redirectMayHaveRun(r), r.Redirect == nil
	}
	address, ok := f.owners.Address(owner)
	if !ok {
		return r, false, false
	}
	err := f.peers.Call(ctx, address, peer.MethodCall, c, &r, func(raw json.RawMessage) {
		var chunk peer.Chunk
		if json.Unmarshal(raw, &chunk) == nil {
			out.add(chunk.Delta)
		}
	})
	if err != nil {
		f.owners.ReportUnreachable(owner)
		return r, !errors.Is(err, peer.ErrNotSent), false
	}
	return r, redirectMayHaveRun(r), r.Redirect == nil
}

// redirectMayHaveRun reports whether the result is a redirect of a call that may have run at the redirecting instance.
func redirectMayHaveRun(r peer.Result) bool { return r.Redirect != nil && r.Redirect.MayHaveRun }

// untilTakeover returns a context that also ends when the epoch of the slot changes, so that a call does not wait for
// an owner that was replaced.
func (f *Forwarder) untilTakeover(ctx context.Context, slot ids.Slot, epoch ids.Epoch, changed <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for {
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
			var now ids.Epoch
			if _, now, changed = f.owners.Owner(slot); now != epoch {
				cancel()
				return
			}
		}
	}()
	return ctx, cancel
}

// remaining returns the time in milliseconds until ctx ends, but not more than atMost.
func remaining(ctx context.Context, atMost int64) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return atMost
	}
	return min(atMost, ids.Millis(time.Until(deadline)))
}

const (
	// answerMargin is how much earlier the owner's deadline is than the caller's, so that the owner's last answer
	// reaches the entry instance in time. Without it the caller would get the entry instance's timeout refusal, which
	// does not know the reason and the run state. On a machine with a load of 30 on 10 cores, 100 ms were not enough.
	answerMargin = 500 * time.Millisecond
	// answerMarginDivisor limits the margin to a tenth of the time that is left.
	answerMarginDivisor = 10
)

// ownerDeadline returns the time in milliseconds that the owner gets for a call, given the time that its caller has.
func ownerDeadline(caller int64) int64 {
	return caller - min(answerMargin.Milliseconds(), caller/answerMarginDivisor)
}

// timeoutRefusal returns the refusal of a call that no owner answered before its deadline.
func timeoutRefusal(c peer.Call, mayHaveRun bool) *peer.Refusal {
	r := &peer.Refusal{Code: peer.CodeOwnerUnavailable, Run: peer.NotRun, RequestKey: c.RequestKey, RetryAfterMillis: 1000}
	r.Message = "no instance owned the request's slot before its deadline"
	if mayHaveRun {
		r.Run = peer.Unknown
		r.Message = "the owner of the request's slot did not answer before the deadline; repeat the request with its key"
	}
	return r
}

// deltas forwards the parts of a streamed answer to the caller. After the first attempt, a part is forwarded only if
// none has been forwarded before, because the model may have answered differently.
type deltas struct {
	forward  func(string)
	attempts int
	emitted  strings.Builder
}

func (d *deltas) startAttempt() { d.attempts++ }

func (d *deltas) add(text string) {
	if d.forward == nil {
		return
	}
	if d.attempts > 1 && d.emitted.Len() > 0 {
		return
	}
	d.emitted.WriteString(text)
	d.forward(text)
}

// checkPrefix returns the result, or a refusal if the answer does not begin with the text that the caller has received.
// That happens if a repeated call got a different answer from the model.
func (d *deltas) checkPrefix(r peer.Result) peer.Result {
	if r.Chat == nil || strings.HasPrefix(r.Chat.Content, d.emitted.String()) {
		return r
	}
	r.Chat = nil
	r.Refusal = &peer.Refusal{
		Code:    peer.CodeTargetFailed,
		Run:     peer.Ran,
		Message: "the stream was interrupted and the model answered anew; repeat the request with its key for the whole answer",
		// The turn is in the program's history, and a caller that did not repeat the request would not know of it.
		RetryAfterMillis: 1,
	}
	return r
}
