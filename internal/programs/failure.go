package programs

import (
	"errors"
	"fmt"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/comfreylink/comfreylink/internal/partlog"
)

// failure says why the leader of a partition could not use the log; empty if it could.
type failure string

const (
	failureThrottled   failure = "throttled"
	failureUnavailable failure = "unavailable"
	failureNotApplied  failure = "notApplied"
	failureUnknown     failure = "unknown"
)

func toFailure(err error) failure {
	switch {
	case err == nil:
		return ""
	case errors.Is(err, partlog.ErrUnavailable):
		return failureUnavailable
	case errors.Is(err, partlog.ErrThrottled):
		return failureThrottled
	case errors.Is(err, partlog.ErrNotApplied):
		return failureNotApplied
	default:
		return failureUnknown
	}
}

// errLeader is wrapped by errors of the log that the leader of a partition has reported.
var errLeader = errors.New("the partition's leader could not use the log")

func (f failure) err() error {
	switch f {
	case "":
		return nil
	case failureUnavailable:
		return errors.Join(errLeader, partlog.ErrNotApplied, partlog.ErrUnavailable)
	case failureThrottled:
		return errors.Join(errLeader, partlog.ErrNotApplied, partlog.ErrThrottled)
	case failureNotApplied:
		return errors.Join(errLeader, partlog.ErrNotApplied)
	default:
		return errors.Join(errLeader, partlog.ErrOutcomeUnknown)
	}
}

// codeLogFailed is the code of an answer that says that the leader could not use the log. The message is the failure. Another
// leader may be able to.
const codeLogFailed = 1

func (f failure) toAnswer() error { return &jsonrpc2.Error{Code: codeLogFailed, Message: string(f)} }

// answeredFailure returns the error of a failure that a leader has answered with, and any other error as it is.
func answeredFailure(err error) error {
	var answered *jsonrpc2.Error
	if errors.As(err, &answered) && answered.Code == codeLogFailed {
		return failure(answered.Message).err()
	}
	return err
}

// errLeaderUnanswered is the error of a write that failed after a leader that did not answer may have applied it. It does
// not wrap the errors of the later attempts, which may wrap partlog.ErrNotApplied.
func errLeaderUnanswered(later error) error {
	return errors.Join(partlog.ErrOutcomeUnknown, fmt.Errorf("a leader did not answer, and then: %s", later.Error()))
}

// errUnknownAppend is the error of a write that failed after an append whose outcome is unknown. It does not wrap the later
// error, which may wrap partlog.ErrNotApplied.
func errUnknownAppend(later error) error {
	return errors.Join(partlog.ErrOutcomeUnknown, fmt.Errorf("the outcome of an append is unknown, and then: %s", later.Error()))
}
