package gateway

import (
	"errors"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/httpwire"
	"github.com/comfreylink/comfreylink/pkg/suspect"
)

// callerFailed returns the result of an attempt whose answer could not be written to the caller.
func (e *exchange) callerFailed(err error) attemptResult {
	res := e.incomplete(err)
	res.mayHaveCrashed = false
	return res
}

// errUnusable is wrapped by errors about answers that cannot be used although the target is alive.
var errUnusable = errors.New("the answer cannot be used")

// unusable reports whether an attempt failed because of an answer that cannot be used, and not because the connection ended.
func unusable(err error) bool {
	return errors.Is(err, errUnusable) || errors.Is(err, httpwire.ErrTooLarge) || errors.Is(err, httpwire.ErrFraming)
}

// reportCrash reports that the request may have crashed the target, however much of the answer the caller has received. A target
// that is leaving may cut off what it runs, so its ends are not counted. A request that is quarantined because too many targets
// died while they ran it is not tried at another one.
func (e *exchange) reportCrash(res attemptResult, t call.Target) attemptResult {
	if res.mayHaveCrashed && !e.follower.IsLeaving(t) {
		e.reports.ReportDeath(suspect.Death{Fingerprint: e.fingerprint, Target: t.ID, Born: t.Born})
		res.retryable = res.retryable && !e.reports.Quarantined(e.fingerprint)
	}
	return res
}
