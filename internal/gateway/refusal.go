package gateway

import (
	"encoding/json"
	"errors"
	"math"
	"strconv"
	"time"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/httpwire"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Code says why a request was refused or failed.
type Code string

// Codes of refusals and failures.
const (
	codeNoConfig          Code = "noConfiguration"
	codeStale             Code = "stale"
	codeNoRoute           Code = "noRoute"
	codeUnknownKey        Code = "unknownKey"
	codeNoID              Code = "noRequestId"
	codeRate              Code = "rateExceeded"
	codeRateUnavailable   Code = "rateUnavailable"
	codeBudget            Code = "budgetSpent"
	codeNoTurn            Code = "noSuchTurn"
	codeTurnUnavailable   Code = "turnUnavailable"
	codeLedgerUnavailable Code = "accountUnavailable"
	codeTooLarge          Code = "turnTooLarge"
	codeQuarantined       Code = "quarantined"
	codeNoTarget          Code = "noTarget"
	codeQueueWait         Code = "queueTimeout"
	codeDeadline          Code = "deadline"
	codeTargetFull        Code = "targetsFull"
	codeBroken            Code = "answerBroken"
	codeTurnNotKept       Code = "turnNotKept"
	codeCallerGone        Code = "callerGone"
	codeStopping          Code = "stopping"
	codeNoMemory          Code = "memoryShort"
	codeOverBudget        Code = "overBudget"
	codeLogUnavailable    Code = "logUnavailable"
	codeEvacuated         Code = "zonesEvacuated"
	codeRegion            Code = "noAllowedRegion"
)

// RunState states whether a request has run.
type RunState string

// Run states. notRun and runUnknown are for requests that were not answered by a target.
const (
	notRun     RunState = "notRun"
	runUnknown RunState = "unknown"
	ran        RunState = "ran"
)

// shortRetryDelay is the retry delay for a request that another instance may be able to run.
const shortRetryDelay = 250 * time.Millisecond

// outageRetryDelay is the retry delay while the platform's log is unavailable to all instances. An earlier
// retry is of no use, and with a longer delay callers give up.
const outageRetryDelay = 900 * time.Millisecond

// maxSlowRetryDelay bounds the retry delay while the log is slow: it may be fast again at any time.
const maxSlowRetryDelay = 2 * time.Second

// logRetryDelay returns the retry delay for a request that failed because of an error of the log, or did not wait any longer for it.
// write is the expected time of a write: a slow log needs it at any instance.
func logRetryDelay(err error, write time.Duration) time.Duration {
	if errors.Is(err, partlog.ErrUnavailable) {
		return outageRetryDelay
	}
	return min(max(shortRetryDelay, write), maxSlowRetryDelay)
}

// refusal is an answer made by the gateway itself. retry is the delay after which the caller should retry, 0 for none.
type refusal struct {
	status int
	code   Code
	retry  time.Duration
	err    error
}

// refuse answers the caller with a refusal. If an answer has already begun, it is left incomplete instead.
func (e *exchange) refuse(r *refusal) {
	run := e.runState()
	status := r.status
	if !e.x.Started() && !e.x.ClientDisconnected() {
		headers := httpwire.AppendHeader(nil, "Content-Type", "application/json")
		if r.retry > 0 {
			headers = httpwire.AppendHeader(headers, "Retry-After", strconv.FormatFloat(math.Ceil(r.retry.Seconds()*1000)/1000, 'f', -1, 64))
		}
		e.x.Answer(status, headers, refusalBody(r, run, e.req.ID))
	}
	e.Metrics.Refused(string(r.code))
	e.log(status, string(r.code), run, r.retry, r.err)
}

func (e *exchange) runState() RunState {
	if e.mayHaveRun {
		return runUnknown
	}
	return notRun
}

type wireRefusal struct {
	Error wireError `json:"error"`
}

type wireError struct {
	Code         Code     `json:"code"`
	RunState     RunState `json:"run"`
	RetryAfterMs int64    `json:"retryAfterMs,omitempty"`
	RequestID    call.ID  `json:"requestId,omitempty"`
}

func refusalBody(r *refusal, run RunState, id call.ID) []byte {
	// Marshal cannot fail: every field of the type can be encoded.
	data, _ := json.Marshal(wireRefusal{wireError{Code: r.code, RunState: run, RetryAfterMs: ids.Millis(r.retry), RequestID: id}})
	return append(data, '\n')
}
