package pacedlog

import (
	"time"

	"github.com/comfreylink/comfreylink/pkg/logpace"
)

// decision is what a queued call is told.
type decision int

const (
	proceed decision = iota
	drop
)

// class makes the calls of one class as its pacer allows. Its methods need the lock of the Log.
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
func (l *class) submit(now time.Time, c *logpace.Call) (decided chan decision, accepted bool) {
	accepted, evicted := l.pacer.Submit(now, c)
	if evicted != nil {
		l.tell(evicted, drop)
	}
	if accepted {
		decided = make(chan decision, 1)
		l.waiting[c] = decided
	}
	return decided, accepted
}

func (l *class) tell(c *logpace.Call, v decision) {
	l.waiting[c] <- v
	if v == drop {
		delete(l.waiting, c)
	}
}

// cancel removes a call whose context has ended. It reports whether the call was still queued.
func (l *class) cancel(c *logpace.Call) bool {
	queued := l.pacer.Cancel(c)
	if queued {
		delete(l.waiting, c)
	}
	return queued
}

// release lets the calls proceed that may be made now, and calls wake when the next one may be.
func (l *class) release(now time.Time, wake func()) {
	for {
		c, expired, again := l.pacer.Next(now)
		for _, e := range expired {
			l.tell(e, drop)
		}
		if c == nil {
			l.wakeAt(now, again, wake)
			return
		}
		l.tell(c, proceed)
	}
}

func (l *class) wakeAt(now, at time.Time, wake func()) {
	if at.IsZero() || at.Equal(l.wakeTime) {
		return
	}
	if l.timer != nil {
		l.timer.Stop()
	}
	l.wakeTime = at
	l.timer = time.AfterFunc(at.Sub(now), wake)
}
