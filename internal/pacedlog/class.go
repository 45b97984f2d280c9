package pacedlog

import (
	"time"

	"github.com/comfreylink/comfreylink/pkg/logpace"
)

// decision is what becomes of a queued call.
type decision int

const (
	proceed decision = iota // the call is made now
	drop                    // the call is not made
)

// class holds the waiting calls of one class, which are the appends or the reads, and releases them as its pacer allows. Its
// methods need the lock of the Log.
type class struct {
	pacer    *logpace.Pacer
	waiting  map[*logpace.Call]chan decision
	lowered  lowered
	timer    *time.Timer
	wakeTime time.Time // when the timer fires; zero if it is not set
}

// lowered collects decreases of the rate for a log event.
type lowered struct {
	loggedAt time.Time
	count    int
	from     float64 // rate before the first one
}

func newClass(p *logpace.Pacer) *class {
	return &class{pacer: p, waiting: make(map[*logpace.Call]chan decision)}
}

// submit queues a call. The channel gets one decision each time that the call was queued.
func (q *class) submit(now time.Time, c *logpace.Call) (decided chan decision, accepted bool) {
	accepted, evicted := q.pacer.Submit(now, c)
	if evicted != nil {
		q.tell(evicted, drop)
	}
	if accepted {
		decided = make(chan decision, 1)
		q.waiting[c] = decided
	}
	return decided, accepted
}

// tell passes on the decision about a call to the goroutine that waits for it.
func (q *class) tell(c *logpace.Call, v decision) {
	q.waiting[c] <- v
	if v == drop {
		delete(q.waiting, c)
	}
}

// cancel removes a call whose context has ended. It reports whether the call was still queued.
func (q *class) cancel(c *logpace.Call) bool {
	queued := q.pacer.Cancel(c)
	if queued {
		delete(q.waiting, c)
	}
	return queued
}

// release lets the calls proceed that may be made now, and calls wake when the next one may be.
func (q *class) release(now time.Time, wake func()) {
	for {
		c, expired, again := q.pacer.Next(now)
		for _, e := range expired {
			q.tell(e, drop)
		}
		if c == nil {
			q.wakeAt(now, again, wake)
			return
		}
		q.tell(c, proceed)
	}
}

// wakeAt makes wake be called at a time instead of the one that was set before. A zero time changes nothing.
func (q *class) wakeAt(now, at time.Time, wake func()) {
	if at.IsZero() || at.Equal(q.wakeTime) {
		return
	}
	if q.timer != nil {
		q.timer.Stop()
	}
	q.wakeTime = at
	q.timer = time.AfterFunc(at.Sub(now), wake)
}
