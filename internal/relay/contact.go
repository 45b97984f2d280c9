package relay

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/pkg/breaker"
)

const (
	// maxThrottledInRow is the number of consecutive throttled calls after which the log is considered unavailable. The
	// log may throttle this instance alone, and then every call. When all instances together exceed its rate, it throttles
	// only some calls.
	maxThrottledInRow = 8
	// recentContact is how long an answer of the log shows that a part of it is available.
	recentContact = time.Second
	// minCallTime is how long the log must have had for an answer if none is to be a sign of an outage.
	minCallTime = 100 * time.Millisecond
	// maxContacts bounds the partitions of which the state is kept. Other instances name partitions too.
	maxContacts = 4096
)

// contact is what this instance knows of its direct calls to a part of the log: to one partition, or to all.
type contact struct {
	direct     breaker.Breaker
	lostAt     time.Time
	answeredAt time.Time // when the log last answered a call
}

func (c *contact) answeredRecently(now time.Time) bool {
	return !c.answeredAt.IsZero() && now.Sub(c.answeredAt) <= recentContact
}

// contactOf returns the contact to a partition. The caller holds the lock.
func (l *Log) contactOf(p partlog.Partition) *contact {
	c := l.contacts[p]
	if c == nil {
		if len(l.contacts) >= maxContacts {
			clear(l.contacts)
		}
		c = new(contact)
		l.contacts[p] = c
	}
	return c
}

// Reachable reports whether this instance reaches the log directly. Some partitions may be unavailable nevertheless.
func (l *Log) Reachable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.all.direct.Open()
}

// reaches reports whether this instance reaches a partition directly.
func (l *Log) reaches(p partlog.Partition) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.contactOf(p)
	return !c.direct.Open() && (!l.all.direct.Open() || c.answeredRecently(l.Now()))
}

// allowDirect reports whether a direct call to a partition may be made now, and whether it is only a probe because the
// partition, or the log as a whole, is considered unavailable.
func (l *Log) allowDirect(p partlog.Partition) (allowed, probe bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	c := l.contactOf(p)
	probe = c.direct.Open() || l.all.direct.Open() && !c.answeredRecently(now)
	return c.direct.Allow(now), probe
}

func (l *Log) callDirect(ctx context.Context, p partlog.Partition, wait time.Duration, probe bool, do func(context.Context, partlog.Log) error) error {
	if probe {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, wait+probeTimeout)
		defer cancel()
	}
	began := l.Now()
	err := do(ctx, l.Direct)
	if endedByCaller(ctx, l.Now().Sub(began)) {
		return err
	}
	l.recordDirect(p, err)
	return err
}

// endedByCaller reports whether a call ended because its caller went away or left it too little time, which says nothing about
// the log.
func endedByCaller(ctx context.Context, took time.Duration) bool {
	return errors.Is(ctx.Err(), context.Canceled) || ctx.Err() != nil && took < minCallTime
}

// recordDirect records the result of a direct call to a partition. Errors such as a conflict or a truncated partition are
// answers and count as successes. Paced calls do not count: the pacer tells a log that refuses this instance from one that
// throttles all.
func (l *Log) recordDirect(p partlog.Partition, err error) {
	if errors.Is(err, partlog.ErrPaced) {
		return
	}
	failed := errors.Is(err, partlog.ErrNotApplied) || errors.Is(err, partlog.ErrOutcomeUnknown)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	if errors.Is(err, partlog.ErrThrottled) {
		l.throttledInRow++
		failed = l.throttledInRow >= maxThrottledInRow
		if !failed {
			return
		}
	} else {
		l.throttledInRow = 0
	}
	if failed {
		l.recordFailure(now, p, err)
	} else {
		l.recordAnswer(now, p)
	}
}

// recordFailure records a call without an answer. Calls to a partition that is known to be unavailable are no sign against the
// others while these answer. The caller holds the lock.
func (l *Log) recordFailure(now time.Time, p partlog.Partition, err error) {
	c := l.contactOf(p)
	known := c.direct.Open()
	if c.direct.Failed(now) {
		c.lostAt = now
		events.Log(l.Logger, events.PartitionLost, zap.String("stream", p.Topic), zap.Int("part", p.Part), zap.Error(err))
	}
	if known && l.all.answeredRecently(now) {
		return
	}
	if l.all.direct.Failed(now) {
		l.all.lostAt = now
		events.Log(l.Logger, events.LogContactLost, zap.String("operation", "direct"), zap.Error(err))
	}
}

// recordAnswer records a call that was answered. At the end of an outage of the whole log, all partitions are probed with their
// next calls. The caller holds the lock.
func (l *Log) recordAnswer(now time.Time, p partlog.Partition) {
	l.all.answeredAt = now
	if l.all.direct.Succeeded() {
		events.Log(l.Logger, events.LogContactRegained, zap.Duration("duration", now.Sub(l.all.lostAt)))
		for _, c := range l.contacts {
			c.direct.ProbeNext()
		}
	}
	c := l.contactOf(p)
	c.answeredAt = now
	if c.direct.Succeeded() {
		events.Log(l.Logger, events.PartitionRegained, zap.String("stream", p.Topic), zap.Int("part", p.Part), zap.Duration("duration", now.Sub(c.lostAt)))
	}
}
