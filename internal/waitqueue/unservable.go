package waitqueue

import (
	"time"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/pkg/dispatch"
)

// Reasons for refusals because no target of the service may get the request.
const (
	// ReasonNoTarget: the service has no targets.
	ReasonNoTarget dispatch.Reason = "noTarget"
	// ReasonEvacuated: all targets that the request might run at are in evacuated zones.
	ReasonEvacuated dispatch.Reason = "evacuated"
	// ReasonRegion: the service has no target in a zone where the request may run.
	ReasonRegion dispatch.Reason = "region"
)

// noTargetRetry is the retry delay of a request that no target may get. Targets register, and evacuations are revoked, at
// any time.
const noTargetRetry = time.Second

// CheckZones returns the refusal of a request that would be refused at once because of the zones in which it may run; nil if it would
// not be.
func (q *Queues) CheckZones(service call.ServiceName, item dispatch.Item) *Refusal {
	q.mu.Lock()
	sq := q.queues[service]
	q.mu.Unlock()
	if sq == nil {
		return nil
	}
	sq.mu.Lock()
	defer sq.mu.Unlock()
	if r := sq.unservable(item); r != nil && r.Reason != ReasonNoTarget {
		return r
	}
	return nil
}

// unservable returns the refusal of a request that no target may get, whatever its load; nil if one may. The caller must
// hold mu.
func (q *serviceQueue) unservable(item dispatch.Item) *Refusal {
	if len(q.targets) == 0 {
		return &Refusal{Reason: ReasonNoTarget, RetryAfter: noTargetRetry}
	}
	reason := ReasonRegion
	for _, t := range q.targets {
		if !item.MayRunIn(t.Zone) {
			continue
		}
		if !t.Evacuated {
			return nil
		}
		reason = ReasonEvacuated
	}
	return &Refusal{Reason: reason, RetryAfter: noTargetRetry}
}

// refuseUnservable ends the waits of requests that no target may get any more because zones were evacuated. Requests whose
// service has lost all targets wait on, since targets may only be late to renew their entries. The caller must hold mu.
func (q *serviceQueue) refuseUnservable(now time.Time) {
	if len(q.targets) == 0 {
		return
	}
	for ticket, w := range q.waiting {
		if r := q.unservable(w.item); r != nil {
			delete(q.waiting, ticket)
			q.queue.Cancel(now, ticket)
			w.result <- waitResult{refusal: r}
		}
	}
}
