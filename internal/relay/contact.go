package relay

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/pkg/breaker"
	"github.com/comfreylink/comfreylink/pkg/ids"
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
	// gaveUp is set after a read that was not answered in time, until one is.
	gaveUp bool
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
	return l.reachesLocked(p)
}

func (l *Log) reachesLocked(p partlog.Partition) bool {
	c := l.contactOf(p)
	return !c.direct.Open() && (!l.all.direct.Open() || c.answeredRecently(l.Now()))
}

// reachesAfterProbe reports whether this instance reaches a partition directly. If the partition is considered unavailable and the
// last probe was long enough ago, it probes the partition and waits a short time for the answer. A later answer counts too, for the
// next call.
func (l *Log) reachesAfterProbe(ctx context.Context, p partlog.Partition) bool {
	l.mu.Lock()
	reaches := l.reachesLocked(p)
	probe := !reaches && l.contactOf(p).direct.Allow(l.Now())
	l.mu.Unlock()
	if !probe {
		return reaches
	}
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		l.probe(ctx, p)
	}()
	select {
	case <-answered:
	case <-time.After(probeWait):
	case <-ctx.Done():
	}
	return l.reaches(p)
}

// probe makes the smallest read of a partition, whose answer shows that the partition is available. The calls that are made for
// callers may be large, and an overloaded log would have to send them all.
func (l *Log) probe(ctx context.Context, p partlog.Partition) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	began := l.Now()
	_, err := partlog.End(ctx, l.Direct, p)
	l.recordDirect(p, began, err)
}

// callKind is what a call asks of the log.
type callKind int

const (
	appendCall callKind = iota
	readCall
	// smallRead is a read that is answered without records.
	smallRead
)

func kindOfRead(from ids.Offset) callKind {
	if partlog.ReadsNothing(from) {
		return smallRead
	}
	return readCall
}

func (l *Log) callDirect(ctx context.Context, p partlog.Partition, kind callKind, do func(context.Context, partlog.Log) error) error {
	if kind == readCall && !l.awaitSlow(ctx, p) {
		return errSlow
	}
	began := l.Now()
	err := do(ctx, l.Direct)
	if endedByCaller(ctx, l.Now().Sub(began)) {
		return err
	}
	if kind == readCall {
		l.mu.Lock()
		l.contactOf(p).gaveUp = ctx.Err() != nil
		l.mu.Unlock()
	}
	l.recordDirect(p, began, err)
	return err
}

// errSlow is the error of a read that was not made because the log answers too late.
var errSlow = errors.Join(partlog.ErrOutcomeUnknown, errors.New("the log answers later than the read can wait"))

// awaitSlow reports whether a read of a partition may be made now. The log makes reads one after the other, and also those that were
// given up. So after a read that was not answered in time, the next one is made only once the log has answered a small one, and only if
// its answer can be expected in time.
func (l *Log) awaitSlow(ctx context.Context, p partlog.Partition) bool {
	l.mu.Lock()
	gaveUp := l.contactOf(p).gaveUp
	l.mu.Unlock()
	if !gaveUp {
		return true
	}
	began := l.Now()
	if _, err := partlog.End(ctx, l.Direct, p); ctx.Err() != nil {
		if !endedByCaller(ctx, l.Now().Sub(began)) {
			l.recordDirect(p, began, err)
		}
		return false
	}
	took := l.Now().Sub(began)
	deadline, ok := ctx.Deadline()
	return !ok || time.Until(deadline) > took+took/2
}

// endedByCaller reports whether a call ended because its caller went away or left it too little time, which says nothing about
// the log.
func endedByCaller(ctx context.Context, took time.Duration) bool {
	return errors.Is(ctx.Err(), context.Canceled) || ctx.Err() != nil && took < minCallTime
}

// recordDirect records the result of a direct call to a partition that began at a time. Errors such as a conflict or a truncated partition are
// answers and count as successes. Paced calls do not count: the pacer tells a log that refuses this instance from one that
// throttles all.
func (l *Log) recordDirect(p partlog.Partition, began time.Time, err error) {
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
		l.recordFailure(now, began, p, err)
	} else {
		l.recordAnswer(now, p)
	}
}

// recordFailure records a call without an answer that began at a time. A call that was not answered in time while the log has answered
// another one that was made no earlier shows that the log is slow, not that it is unavailable. Calls to a partition that is known to be
// unavailable are no sign against the others while these answer. The caller holds the lock.
func (l *Log) recordFailure(now, began time.Time, p partlog.Partition, err error) {
	c := l.contactOf(p)
	silent := errors.Is(err, partlog.ErrOutcomeUnknown) && !errors.Is(err, partlog.ErrNotApplied)
	if silent && c.answeredAt.After(began) {
		return
	}
	known := c.direct.Open()
	if c.direct.Failed(now) {
		c.lostAt = now
		events.Log(l.Logger, events.PartitionLost, zap.String("stream", p.Topic), zap.Int("part", p.Part), zap.Error(err))
	}
	if known && l.all.answeredRecently(now) || silent && l.all.answeredAt.After(began) {
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
