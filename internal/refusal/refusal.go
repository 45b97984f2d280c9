// Package refusal builds the results of calls that did not complete. Their run state must be true: a result may say
// notRun only if the request did not run and will not run.
package refusal

import (
	"context"
	"errors"
	"time"

	"github.com/comfreylink/comfreylink/internal/peer"
	"github.com/comfreylink/comfreylink/internal/slots"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Of returns a result that refuses a call.
func Of(c peer.Call, code peer.Code, run peer.RunState, message string) peer.Result {
	return peer.Result{Refusal: &peer.Refusal{Code: code, Run: run, Message: message, RequestKey: c.RequestKey}}
}

// WithRetryAfter adds the time after which a refused call may be repeated.
func WithRetryAfter(r peer.Result, after time.Duration) peer.Result {
	r.Refusal.RetryAfterMillis = ids.Millis(after)
	return r
}

// ContextEnded returns the result of a call whose ctx ended: a redirect if the slot was lost, because another owner
// then answers, and otherwise a refusal because the deadline passed or the instance is stopping.
func ContextEnded(r *slots.Run, ctx context.Context, c peer.Call, run peer.RunState) peer.Result {
	if r.Lost() {
		return peer.Result{Redirect: &peer.Redirect{Epoch: r.Epoch, MayHaveRun: run != peer.NotRun}}
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || ctx.Err() == nil {
		return Of(c, peer.CodeDeadline, run, "the deadline passed")
	}
	return Of(c, peer.CodeStopping, run, "the instance is stopping")
}

// AppendFailed returns the result of a call whose record was rejected or could not be appended. rejection is the reason
// why the fold did not accept the record; err is set if it is not known whether the record was accepted.
func AppendFailed(r *slots.Run, c peer.Call, run peer.RunState, rejection, err error) peer.Result {
	if r.Lost() || rejection != nil && run == peer.NotRun {
		return peer.Result{Redirect: &peer.Redirect{Epoch: r.Epoch, MayHaveRun: run != peer.NotRun}}
	}
	if rejection != nil {
		return Of(c, peer.CodeOwnerUnavailable, run, "the slot has another owner: "+rejection.Error())
	}
	return WithRetryAfter(Of(c, peer.CodeLogUnavailable, run, "the log did not take a record in time: "+err.Error()), time.Second)
}

// CorrectRunState changes the run state of a refusal from notRun to unknown if an earlier attempt of the request may
// have run. r may be nil.
func CorrectRunState(r *peer.Refusal, mayHaveRun bool) *peer.Refusal {
	if r != nil && mayHaveRun && r.Run == peer.NotRun {
		r.Run = peer.Unknown
	}
	return r
}

// RootMessage returns the message of the innermost wrapped error. The messages of the outer errors are left out because
// they hold addresses.
func RootMessage(err error) string {
	for u := errors.Unwrap(err); u != nil; u = errors.Unwrap(err) {
		err = u
	}
	return err.Error()
}
