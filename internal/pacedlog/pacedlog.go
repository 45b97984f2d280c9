// Package pacedlog paces an instance's calls to the platform's log, which throttles calls above a limit for all instances.
// pkg/logpace decides when a call may be made.
package pacedlog

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/logpace"
)

const (
	// initialPart is the rate of an instance's appends at the start, as a part of the limit of all instances. It is more than an
	// instance of a small fleet needs; in a large one, throttled answers lower it.
	initialPart = 1.0 / 16
	// maxQueueTime bounds the time in the queue of calls without a deadline, such as those for other instances.
	maxQueueTime = time.Second
	// lowerEventInterval is the least time between two log events about a lowered rate.
	lowerEventInterval = 5 * time.Second
)

// Outcome is how a call ended, in metrics.
type Outcome string

// Outcomes of calls. A call that is retried counts once for each time that it was made.
const (
	// Made: the log answered.
	Made Outcome = "made"
	// Throttled: the log refused the call because there were too many.
	Throttled Outcome = "throttled"
	// Failed: the log did not answer or was unavailable.
	Failed Outcome = "failed"
	// Dropped: the call was not sent, because its context ended, the queue was full or the retry budget was used up.
	Dropped Outcome = "dropped"
)

// Observer is notified of each call.
type Observer interface {
	PacedCall(kind, outcome string)
}

// Config holds a log's dependencies.
type Config struct {
	// Direct calls the log.
	Direct partlog.Log
	// CallsPerSecond is the log's limit of append calls of all instances. It must be above 0.
	CallsPerSecond float64
	Now            func() time.Time
	Observer       Observer
	Logger         *zap.Logger
}

// Log is a paced partlog.Log. It is safe for concurrent use.
type Log struct {
	Config
	mu      sync.Mutex
	refusal logpace.Refusal // of appends and reads together
	appends *class
	// reads begin at the whole limit, because the log counts only appends. Throttled reads lower their rate.
	reads   *class
	repeats repeats
}

// New returns a paced log that begins at initialPart of the limit.
func New(c Config) *Log {
	l := &Log{Config: c, repeats: make(repeats)}
	now := c.Now()
	newPacer := func(reads bool, initial float64) *logpace.Pacer {
		random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		o := logpace.Options{Limit: c.CallsPerSecond, Initial: initial, Reads: reads, Random: random}
		return logpace.New(now, o, &l.refusal)
	}
	l.appends = newClass(newPacer(false, c.CallsPerSecond*initialPart))
	l.reads = newClass(newPacer(true, c.CallsPerSecond))
	return l
}

// State is a snapshot for metrics and dumps.
type State struct {
	// AppendRate and ReadRate are in calls per second.
	AppendRate float64 `json:"appendRate"`
	ReadRate   float64 `json:"readRate"`
	// Queued is the number of calls that wait.
	Queued int `json:"queued"`
	// Refused: the log refuses this instance alone.
	Refused bool `json:"refused"`
}

// State returns the current rates and the length of the queue.
func (l *Log) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return State{
		AppendRate: l.appends.pacer.Rate(), ReadRate: l.reads.pacer.Rate(),
		Queued: l.appends.pacer.Queued() + l.reads.pacer.Queued(), Refused: l.refusal.Alone(),
	}
}

// Append implements partlog.Log.
func (l *Log) Append(ctx context.Context, p partlog.Partition, at ids.Offset, records ...[]byte) (first ids.Offset, err error) {
	err = l.do(ctx, l.appends, hashCall(p, at, records), false, func() (err error) {
		first, err = l.Direct.Append(ctx, p, at, records...)
		return err
	})
	return first, err
}

// Read implements partlog.Log.
func (l *Log) Read(ctx context.Context, p partlog.Partition, from ids.Offset, wait time.Duration) (page partlog.Page, err error) {
	err = l.do(ctx, l.reads, hashCall(p, from, nil), wait > 0, func() (err error) {
		page, err = l.Direct.Read(ctx, p, from, wait)
		return err
	})
	return page, err
}

// Newest implements partlog.Log.
func (l *Log) Newest(ctx context.Context, p partlog.Partition) (entries []partlog.Entry, end ids.Offset, err error) {
	err = l.do(ctx, l.reads, hashCall(p, partlog.AnyOffset, nil), false, func() (err error) {
		entries, end, err = l.Direct.Newest(ctx, p)
		return err
	})
	return entries, end, err
}

// do makes a call when the class's pacer allows it, and again as long as the pacer retries it.
func (l *Log) do(ctx context.Context, class *class, hash callHash, longPoll bool, call func() error) error {
	c := &logpace.Call{Kind: KindOf(ctx), LongPoll: longPoll}
	decided, accepted := l.submit(ctx, class, hash, c)
	if !accepted {
		l.Observer.PacedCall(c.Kind.String(), string(Dropped))
		return errDropped
	}
	for {
		if !l.await(ctx, class, c, decided) {
			l.drop(hash, c)
			return errors.Join(errDropped, context.Cause(ctx))
		}
		again, err := l.finish(class, hash, c, call())
		if !again {
			return err
		}
	}
}

// await waits until a queued call may be made. It reports false if the call was dropped or its context has ended.
func (l *Log) await(ctx context.Context, class *class, c *logpace.Call, decided <-chan decision) bool {
	var v decision
	select {
	case v = <-decided:
	case <-ctx.Done():
		if l.cancel(class, c) {
			return false
		}
		v = <-decided
	}
	if v == proceed && ctx.Err() != nil {
		l.abandon(class, c)
		return false
	}
	return v == proceed
}

// submit queues a call and releases what may be made now.
func (l *Log) submit(ctx context.Context, class *class, hash callHash, c *logpace.Call) (decided chan decision, accepted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	c.Deadline = now.Add(maxQueueTime)
	if deadline, ok := ctx.Deadline(); ok {
		c.Deadline = now.Add(time.Until(deadline))
	}
	l.repeats.mark(now, hash, c)
	decided, accepted = class.submit(now, c)
	if !accepted {
		l.repeats.addDropped(now, hash)
	}
	l.release(class, now)
	return decided, accepted
}

// release releases what a class may call now. The caller holds the lock.
func (l *Log) release(class *class, now time.Time) {
	class.release(now, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		class.wakeTime = time.Time{}
		l.release(class, l.Now())
	})
}

// cancel removes a call whose context has ended. It reports whether the call was still queued.
func (l *Log) cancel(class *class, c *logpace.Call) (queued bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return class.cancel(c)
}

// errDropped is the error of calls that were not sent.
var errDropped = errors.Join(partlog.ErrNotApplied, partlog.ErrThrottled, partlog.ErrPaced)

// drop records that a queued call was not sent.
func (l *Log) drop(hash callHash, c *logpace.Call) {
	l.mu.Lock()
	l.repeats.addDropped(l.Now(), hash)
	l.mu.Unlock()
	l.Observer.PacedCall(c.Kind.String(), string(Dropped))
}

// abandon gives back the slot of a call whose context ended when it was released.
func (l *Log) abandon(class *class, c *logpace.Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	class.pacer.Done(now, c, logpace.Failed)
	delete(class.waiting, c)
	l.release(class, now)
}

// finish records the result of a call. It reports whether the pacer has queued the call again, and otherwise the error for
// the caller.
func (l *Log) finish(class *class, hash callHash, c *logpace.Call, err error) (again bool, result error) {
	outcome, name := logpace.Answered, Made
	switch {
	case errors.Is(err, partlog.ErrThrottled):
		outcome, name = logpace.Throttled, Throttled
	case errors.Is(err, partlog.ErrNotApplied) || errors.Is(err, partlog.ErrOutcomeUnknown):
		outcome, name = logpace.Failed, Failed
	}
	l.Observer.PacedCall(c.Kind.String(), string(name))
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	before := class.pacer.Rate()
	r := class.pacer.Done(now, c, outcome)
	l.logChanges(class, now, before, r)
	l.release(class, now)
	if r.Retried {
		return true, nil
	}
	delete(class.waiting, c)
	switch {
	case outcome == logpace.Answered:
		delete(l.repeats, hash)
		return false, err
	case outcome == logpace.Failed:
		l.repeats.add(hash, ending{at: now, failed: true})
		return false, err
	case l.refusal.Alone():
		// Without ErrThrottled, the caller goes through another instance, whose calls the log accepts.
		return false, errRefused
	default:
		l.repeats.add(hash, ending{at: now})
		return false, errors.Join(partlog.ErrPaced, err)
	}
}

// errRefused is the error of throttled calls while the log refuses this instance alone.
var errRefused = errors.Join(partlog.ErrNotApplied, partlog.ErrUnavailable, errors.New("the log throttles every call of this instance"))

// logChanges logs a lowered rate and changes of refusals. The caller holds the lock.
func (l *Log) logChanges(class *class, now time.Time, before float64, r logpace.Result) {
	if r.RefusalChanged {
		events.Log(l.Logger, events.LogRefusesInstance, zap.Bool("refused", l.refusal.Alone()))
	}
	if !r.Lowered {
		return
	}
	if class.lowered.count == 0 {
		class.lowered.from = before
	}
	class.lowered.count++
	if now.Sub(class.lowered.loggedAt) < lowerEventInterval {
		return
	}
	name := "append"
	if class == l.reads {
		name = "read"
	}
	events.Log(l.Logger, events.LogRateLowered, zap.String("class", name), zap.Float64("from", class.lowered.from),
		zap.Float64("to", class.pacer.Rate()), zap.Int("count", class.lowered.count), zap.Int("queued", class.pacer.Queued()))
	class.lowered = lowered{loggedAt: now}
}
