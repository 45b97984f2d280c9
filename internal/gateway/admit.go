package gateway

import (
	"encoding/hex"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// freshMargin is how much earlier than its bound a configuration counts as stale, because requests still travel to targets.
const freshMargin = 700 * time.Millisecond

// admit decides whether the request may run, and returns its refusal if not. The checks that depend only on this instance come
// first, so that a request that is refused by them costs its workspace no token.
func (e *exchange) admit() *refusal {
	if !e.takesRequests(e.began) {
		return &refusal{status: fasthttp.StatusServiceUnavailable, code: codeStopping, retry: shortRetryDelay}
	}
	e.awaitStart()
	if e.table = e.follower.Table(); e.table == nil {
		return &refusal{status: fasthttp.StatusServiceUnavailable, code: codeNoConfig, retry: shortRetryDelay}
	}
	if e.route = e.table.Route(e.req.Host, e.req.Path); e.route == nil {
		return e.notConfigured(fasthttp.StatusNotFound, codeNoRoute)
	}
	if !e.zonesKnown(e.began) {
		return &refusal{status: fasthttp.StatusServiceUnavailable, code: codeStale, retry: outageRetryDelay}
	}
	if !e.route.Public {
		if !e.freshEnough(e.began) {
			return &refusal{status: fasthttp.StatusServiceUnavailable, code: codeStale, retry: outageRetryDelay}
		}
		if e.workspace = e.table.Workspace(e.req.Key); e.workspace == nil {
			return e.notConfigured(fasthttp.StatusUnauthorized, codeUnknownKey)
		}
	}
	if e.req.ID == "" {
		return &refusal{status: fasthttp.StatusBadRequest, code: codeNoID}
	}
	e.deadline = e.began.Add(min(orDefault(e.req.WaitLimit, defaultTimeout), orDefault(e.route.Timeout, defaultTimeout)))
	e.fingerprint = e.makeFingerprint()
	if e.reports.Quarantined(e.fingerprint) {
		return &refusal{status: fasthttp.StatusServiceUnavailable, code: codeQuarantined, retry: e.deadline.Sub(e.began)}
	}
	if r := e.checkZones(); r != nil {
		return r
	}
	return e.admitByRate()
}

// maxStartWait is how long after its start an instance lets requests wait for the configuration and the targets. It knows them
// within a second if the log is well. After a loss of all no other instance could take the requests meanwhile.
const maxStartWait = 1500 * time.Millisecond

// awaitStart waits until the configuration and the targets are known, but for half of the time that the request has left at most.
func (e *exchange) awaitStart() {
	left := min(e.startedAt.Add(maxStartWait).Sub(e.began), orDefault(e.req.WaitLimit, defaultTimeout)/2)
	if left <= 0 {
		return
	}
	over := time.NewTimer(left)
	defer over.Stop()
	select {
	case <-e.follower.Started():
	case <-over.C:
	case <-e.ctx.Done():
	}
}

// notConfigured refuses a request for a route or key that the configuration does not contain. If the configuration may be
// stale, a newer one may contain it, and the caller is asked to retry.
func (e *exchange) notConfigured(status int, code Code) *refusal {
	if !e.freshEnough(e.began) {
		return &refusal{status: fasthttp.StatusServiceUnavailable, code: codeStale, retry: shortRetryDelay}
	}
	return &refusal{status: status, code: code}
}

// freshEnough reports whether the configuration is recent enough to accept its keys: a key may have been withdrawn since.
func (g *Gateway) freshEnough(now time.Time) bool {
	age, ok := g.follower.Freshness(now)
	return ok && age <= g.Settings.Bounds.Revoke-freshMargin
}

// makeFingerprint identifies the request however often it is sent, so that one which crashes targets is recognized. Ids that
// change with each try are not part of it.
func (e *exchange) makeFingerprint() ids.Fingerprint {
	h := xxhash.New()
	for _, s := range []string{string(e.workspaceID()), e.req.Method, e.req.Host, e.req.URI, string(e.req.Previous)} {
		_, _ = h.WriteString(s)
		_, _ = h.WriteString("\x00")
	}
	_, _ = h.Write(e.x.Body)
	return ids.Fingerprint(hex.EncodeToString(h.Sum(nil)))
}
