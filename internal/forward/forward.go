// Package forward brings a caller's request from the entry instance to the owner of its slot and its answer back.
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

// retryPause is the wait before a request is sent to an owner again. It is short beside a take-over, which takes a
// lease, and long enough that waiting requests do not load the new owner.
const retryPause = 25 * time.Millisecond

// Owners tells who owns a slot.
type Owners interface {
	// Owner returns the owner of a slot, its epoch, and a channel that is closed when any ownership changes.
	Owner(s ids.Slot) (w ids.WriterID, e ids.Epoch, changed <-chan struct{})
	// Address returns where an owner listens for peers.
	Address(w ids.WriterID) (a peer.Address, ok bool)
	// Unreachable reports that a peer did not take a request.
	Unreachable(w ids.WriterID)
}

// Local runs calls on this instance.
type Local interface {
	// Call runs a call as the owner of its slot, or answers with a redirect.
	Call(ctx context.Context, s ids.Slot, c peer.Call, onDelta func(string)) peer.Result
	// RunUnowned runs a repeatable call that belongs to no program.
	RunUnowned(ctx context.Context, c peer.Call, onDelta func(string)) peer.Result
	// Unowned reports whether a call needs no owner.
	Unowned(c peer.Call) bool
}

// Caller sends requests to peers.
type Caller interface {
	Call(ctx context.Context, to peer.Address, m peer.Method, params, result any, onChunk func(json.RawMessage)) error
}

// Forwarder implements the entry side of a call.
type Forwarder struct {
	self   ids.WriterID
	slots  int
	owners Owners
	local  Local
	peers  Caller
}

// New returns a forwarder for an instance.
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

// Run brings a call to its owner and repeats it, with the same request key, until an owner answers or ctx ends. The
// request key makes the repetition safe: an owner never runs a non-idempotent request again.
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
			return out.check(result)
		}
		mayHaveRun = mayHaveRun || sent
		f.pause(ctx)
	}
	return peer.Result{Refusal: timeoutRefusal(c, mayHaveRun)}
}

func (f *Forwarder) pause(ctx context.Context) {
	select {
	case <-time.After(retryPause):
	case <-ctx.Done():
	}
}

// attempt sends the call to the present owner. It reports whether the owner may have seen the call, and whether the
// result is an answer.
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
		return r, redirectedLate(r), r.Redirect == nil
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
		f.owners.Unreachable(owner)
		return r, !errors.Is(err, peer.ErrNotSent), false
	}
	return r, redirectedLate(r), r.Redirect == nil
}

func redirectedLate(r peer.Result) bool { return r.Redirect != nil && r.Redirect.MayHaveRun }

// untilTakeover returns a context that also ends when the slot gets a new epoch, so that a call does not wait for an
// owner that was replaced.
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

func remaining(ctx context.Context, atMost int64) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return atMost
	}
	return min(atMost, ids.Millis(time.Until(deadline)))
}

const (
	// answerMargin is the time that an owner's last answer has for its way back, so that the caller gets the owner's
	// reason and run state and not the entry instance's ignorance. On a machine with a load of 30 on 10 cores, 100 ms were
	// not enough.
	answerMargin = 500 * time.Millisecond
	// answerMarginPart bounds the margin to a part of short deadlines.
	answerMarginPart = 10
)

// ownerDeadline returns the time that the owner of a call has, out of the time that its caller has.
func ownerDeadline(caller int64) int64 {
	return caller - min(answerMargin.Milliseconds(), caller/answerMarginPart)
}

func timeoutRefusal(c peer.Call, mayHaveRun bool) *peer.Refusal {
	r := &peer.Refusal{Code: peer.CodeOwnerUnavailable, Run: peer.NotRun, RequestKey: c.RequestKey, RetryAfterMillis: 1000}
	r.Message = "no instance owned the request's slot before its deadline"
	if mayHaveRun {
		r.Run = peer.Unknown
		r.Message = "the owner of the request's slot did not answer before the deadline; repeat the request with its key"
	}
	return r
}

// deltas passes on the parts of a streamed answer. After a repetition only the first attempt's parts stand.
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

// check refuses an answer that does not continue what the caller has seen: after a repetition the model may have
// answered differently.
func (d *deltas) check(r peer.Result) peer.Result {
	if r.Chat == nil || strings.HasPrefix(r.Chat.Content, d.emitted.String()) {
		return r
	}
	r.Chat = nil
	r.Refusal = &peer.Refusal{
		Code:    peer.CodeTargetFailed,
		Run:     peer.Ran,
		Message: "the stream was interrupted and the model answered anew; repeat the request with its key for the whole answer",
		// The turn is in the history, so a caller that does not repeat the request would not know of it.
		RetryAfterMillis: 1,
	}
	return r
}
