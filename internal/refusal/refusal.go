// Package refusal builds the answers of calls that did not complete. Their run state must be true: notRun only if the
// request did not run and will not.
package refusal

import (
	"context"
	"errors"
	"time"

	"github.com/comfreylink/comfreylink/internal/peer"
	"github.com/comfreylink/comfreylink/internal/slots"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Of returns a refusal of a call.
func Of(c peer.Call, code peer.Code, run peer.RunState, message string) peer.Result {
	return peer.Result{Refusal: &peer.Refusal{Code: code, Run: run, Message: message, RequestKey: c.RequestKey}}
}

// WithRetryAfter adds the time after which a refused call may be repeated.
func WithRetryAfter(r peer.Result, after time.Duration) peer.Result {
	r.Refusal.RetryAfterMillis = ids.Millis(after)
	return r
}

// ContextEnded explains why ctx ended: the slot was lost, so that another owner answers, or the deadline passed.
func ContextEnded(r *slots.Run, ctx context.Context, c peer.Call, run peer.RunState) peer.Result {
	if r.Lost() {
		return peer.Result{Redirect: &peer.Redirect{Epoch: r.Epoch, MayHaveRun: run != peer.NotRun}}
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || ctx.Err() == nil {
		return Of(c, peer.CodeDeadline, run, "the deadline passed")
	}
	return Of(c, peer.CodeStopping, run, "the instance is stopping")
}

// AppendFailed explains why a record could not be appended.
func AppendFailed(r *slots.Run, c peer.Call, run peer.RunState, verdict, err error) peer.Result {
	if r.Lost() || verdict != nil && run == peer.NotRun {
		return peer.Result{Redirect: &peer.Redirect{Epoch: r.Epoch, MayHaveRun: run != peer.NotRun}}
	}
	if verdict != nil {
		return Of(c, peer.CodeOwnerUnavailable, run, "the slot has another owner: "+verdict.Error())
	}
	return WithRetryAfter(Of(c, peer.CodeLogUnavailable, run, "the log did not take a record in time: "+err.Error()), time.Second)
}

// CorrectRunState changes a refusal that says notRun if an earlier attempt of the request may have run. r may be nil.
func CorrectRunState(r *peer.Refusal, mayHaveRun bool) *peer.Refusal {
	if r != nil && mayHaveRun && r.Run == peer.NotRun {
		r.Run = peer.Unknown
	}
	return r
}

// RootMessage returns the message of the innermost typed error, without the addresses of the layers above.
func RootMessage(err error) string {
	for u := errors.Unwrap(err); u != nil; u = errors.Unwrap(err) {
		err = u
	}
	return err.Error()
}
