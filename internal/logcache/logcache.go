// Package logcache lets the instances of a zone read the partitions that all of them follow through one of them. The log sends
// everything that it is asked for with one bandwidth. If each of hundreds of instances reads every configuration and all reports
// itself, the reads of a start, or of a few configurations in a row, take longer together than each of them waits: they are given
// up and made again, while the log still sends what was asked for before.
//
// Appends to these partitions go through the readers as well, which append what waits in one call. A directory in the log tells new runs
// the readers of each zone (docs/design/shared-reads.md).
//
// A reader of a zone is chosen by hashing, without agreement. It only saves calls: an instance whose reader does not answer asks
// the next one, and then the log. What a reader returns is what the log had at a stated time, so a reader that has lost the log
// makes nobody believe that old state is new.
package logcache

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/rpc"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/leader"
)

const (
	// maxReaders is the number of readers that are asked before the log is read directly.
	maxReaders = 2
	// answerTimeout is how long after the time for which a read waits for records a reader is asked whether it is alive. One that waits
	// for a slow log is.
	answerTimeout = 300 * time.Millisecond
	// maxAnswerTime bounds a call to a reader that is alive, in addition to the time for which the read waits.
	maxAnswerTime = 5 * time.Second
	// silentPause is how long a reader is not asked for a partition after it did not answer, and refusedPause after it answered that
	// it cannot read the partition.
	silentPause  = 2 * time.Second
	refusedPause = 250 * time.Millisecond
	// directInterval is the longest time between two direct reads of a partition while its readers answer that they cannot read it.
	// If all instances read directly at the end of an outage, their reads would overload the log.
	directInterval = 2 * time.Second
	// discoveryTimeout is how long after its start a run waits to learn which other instances there are, if the directory does not say it.
	discoveryTimeout = 600 * time.Millisecond
	// startTime is how long after its start a run asks readers again soon that are not reachable. They may have been started with it.
	startTime = 1500 * time.Millisecond
	// startPause is how long it does not ask such a reader.
	startPause = 50 * time.Millisecond
	// orderTTL is how long the order of a partition's readers is kept.
	orderTTL = 500 * time.Millisecond
)

// Caller calls methods of other instances.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Config holds a log's dependencies.
type Config struct {
	Self ids.InstanceID
	Zone ids.Zone
	// Log is read by this instance if it is the reader, or if no reader answers.
	Log partlog.Log
	// Members returns the instances that are known, this one included.
	Members func() []leader.Member
	// Discovered reports whether Members has looked for other instances since the start.
	Discovered func() bool
	Caller     Caller
	// ReadRate is the number of bytes a second that the log sends to all instances together; 0 if it is not limited.
	ReadRate int
	// Backlogs holds the partitions that are read through readers. The value is how many records before the first one that it is
	// asked for a reader keeps: instances that start together begin to read at different records.
	Backlogs map[partlog.Partition]ids.Offset
	// Discovery is the partition from which Members is learned. Until that is done, it is read directly if the directory is empty.
	Discovery partlog.Partition
	// Directory tells new runs the readers; without Encode they learn them from the reports.
	Directory Directory
	Now       func() time.Time
	Logger    *zap.Logger
}

// Log is a partlog.Log that reads some partitions through other instances. It is safe for concurrent use.
type Log struct {
	Config
	began time.Time

	mu     sync.Mutex
	paused map[readerOf]pause
	direct map[partlog.Partition]time.Time // when a partition may be read directly although its readers cannot read it
	orders map[partlog.Partition]order
	tails  map[partlog.Partition]*tail
	newest map[partlog.Partition]*newestReads
	// combiners append what other instances of the zone append through this one.
	combiners map[partlog.Partition]*combiner

	budget readBudget

	directory directory
}

// readerOf is a reader and a partition.
type readerOf struct {
	instance  ids.InstanceID
	partition partlog.Partition
}

// pause says until when a reader is not asked, and whether it answered that it cannot read the partition, or may be starting.
type pause struct {
	until             time.Time
	refused, starting bool
}

// order is the order of a partition's readers, and the number of instances, as it was at a time.
type order struct {
	readers   []leader.Member
	instances int
	at        time.Time
}

// New returns a log of a run that begins now.
func New(c Config) *Log {
	l := &Log{
		directory: directory{loaded: make(chan struct{})}, budget: readBudget{readRate: c.ReadRate, at: c.Now()},
		Config: c, began: c.Now(), paused: make(map[readerOf]pause),
		direct: make(map[partlog.Partition]time.Time), orders: make(map[partlog.Partition]order),
		tails: make(map[partlog.Partition]*tail), newest: make(map[partlog.Partition]*newestReads),
		combiners: make(map[partlog.Partition]*combiner),
	}
	if l.ReadRate == 0 {
		l.Directory = Directory{}
	}
	if l.Directory.Encode == nil {
		close(l.directory.loaded)
	}
	return l
}

// Read implements partlog.Log.
func (l *Log) Read(ctx context.Context, p partlog.Partition, from ids.Offset, wait time.Duration) (page partlog.Page, err error) {
	done, err := l.askReaders(ctx, p, func(m leader.Member) (err error) {
		if m.Instance == l.Self {
			page, err = l.tailOf(p).read(ctx, from, wait)
		} else {
			page, err = l.readThrough(ctx, m, p, from, wait)
		}
		if err != nil {
			wait = 0 // time has passed
		}
		return err
	})
	if done {
		return page, err
	}
	page, err = l.Log.Read(ctx, p, from, wait)
	bytes := 0
	for _, r := range page.Records {
		bytes += len(r)
	}
	l.recordDirect(bytes, err)
	return page, err
}

// Newest implements partlog.Log.
func (l *Log) Newest(ctx context.Context, p partlog.Partition) (entries []partlog.Entry, end ids.Offset, err error) {
	done, err := l.askReaders(ctx, p, func(m leader.Member) (err error) {
		if m.Instance != l.Self {
			entries, end, err = l.newestThrough(ctx, m, p)
			return err
		}
		r, err := l.readNewest(ctx, p)
		if err == nil {
			entries, end = r.entries, r.end
		}
		return err
	})
	if done {
		return entries, end, err
	}
	entries, end, err = l.Log.Newest(ctx, p)
	bytes := 0
	for _, e := range entries {
		bytes += len(e.Value)
	}
	l.recordDirect(bytes, err)
	return entries, end, err
}

func (l *Log) recordDirect(bytes int, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.record(bytes, err)
}

// errRefused is the error of a read that the readers have refused, because they cannot read the log.
var errRefused = errors.Join(partlog.ErrNotApplied, partlog.ErrUnavailable, errors.New("no instance that reads for this one can read the log"))

// askReaders asks readers of a partition until one answers. done is false if the partition is to be read directly.
func (l *Log) askReaders(ctx context.Context, p partlog.Partition, ask func(m leader.Member) error) (done bool, err error) {
	for {
		readers, state := l.readersToAsk(ctx, p, false)
		for _, m := range readers {
			if err = ask(m); err == nil {
				return true, nil
			}
			notCached := errors.Is(err, errNotCached)
			if !notCached {
				state.refused = l.recordFailure(ctx, m, p, err) || state.refused
				state.starting = state.starting || l.mayBeStarting(err)
			}
			if ctx.Err() != nil {
				return true, unknownIfEnded(ctx, err)
			}
			if notCached {
				break
			}
		}
		switch {
		case !state.shared:
			return false, nil
		case state.starting && !state.refused:
			select {
			case <-time.After(startPause):
				continue
			case <-ctx.Done():
				return true, unknownIfEnded(ctx, ctx.Err())
			}
		case l.mayReadDirectly(p, state.refused):
			return false, nil
		}
		return true, errRefused
	}
}

// unknownIfEnded adds to the error of a read through a reader that the log did not answer if the read's time was over. The caller then
// gives the next read more time, which suffices for the log after the readers.
func unknownIfEnded(ctx context.Context, err error) error {
	if err == nil || ctx.Err() == nil {
		return err
	}
	return errors.Join(partlog.ErrOutcomeUnknown, err)
}

// mayReadDirectly reports whether a partition may be read directly now although it has readers, which do not answer or have refused.
// Instances whose readers refuse do that at random times.
func (l *Log) mayReadDirectly(p partlog.Partition, refused bool) bool {
	instances := l.instances()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	if !l.budget.allow(now, instances) {
		return false
	}
	if !refused {
		return true
	}
	at, ok := l.direct[p]
	if ok && now.Before(at) {
		return false
	}
	l.direct[p] = now.Add(rand.N(directInterval))
	return ok && now.Sub(at) < directInterval
}

// instances returns the number of instances, as far as it is known.
func (l *Log) instances() int {
	n := len(l.Members())
	if !l.Discovered() {
		select {
		case <-l.directory.loaded:
			n = max(n, l.directorySize())
		default:
		}
	}
	return n
}

// directorySize returns the number of instances in the directory.
func (l *Log) directorySize() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.directory.instances
}

// readerState says how a partition is read.
type readerState struct {
	// shared is set if the partition has readers, refused if one of them has just answered that it cannot read the partition, and
	// starting if one may not be reachable only because it has been started with this run.
	shared, refused, starting bool
}

// readersToAsk returns the instances through which a partition should be read now, or appended to.
func (l *Log) readersToAsk(ctx context.Context, p partlog.Partition, appending bool) (readers []leader.Member, s readerState) {
	if _, shared := l.Backlogs[p]; !shared || l.ReadRate == 0 {
		return nil, s
	}
	l.awaitReaders(ctx, p)
	now := l.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.orderOf(now, p)
	if !appending && !sharesReads(o.instances, l.ReadRate) {
		return nil, s
	}
	s.shared = len(o.readers) > 0
	for _, m := range o.readers {
		if left := l.paused[readerOf{m.Instance, p}]; now.Before(left.until) {
			s.refused = s.refused || left.refused
			s.starting = s.starting || left.starting
			continue
		}
		if readers = append(readers, m); len(readers) == maxReaders || m.Instance == l.Self {
			break
		}
	}
	return readers, s
}

// orderOf returns the readers of a partition in order. The caller holds the lock.
func (l *Log) orderOf(now time.Time, p partlog.Partition) (o order) {
	if !l.Discovered() {
		select {
		case <-l.directory.loaded:
			return order{readers: l.directory.readersOf(l.Zone, p), instances: l.directory.instances}
		default:
			return order{}
		}
	}
	o, ok := l.orders[p]
	if !ok || now.Sub(o.at) >= orderTTL {
		members := l.Members()
		o = order{readers: rotate(zoneReaders(members, l.Zone), p), instances: len(members), at: now}
		l.orders[p] = o
	}
	return o
}

// awaitReaders blocks until this run knows the readers of a partition, or until it is clear that it has to read directly to learn them.
// If the directory is empty, all instances may have just been started for the first time, and the others report soon.
func (l *Log) awaitReaders(ctx context.Context, p partlog.Partition) {
	if l.Now().Sub(l.began) >= discoveryTimeout && l.Discovered() {
		return
	}
	select {
	case <-l.directory.loaded:
	case <-ctx.Done():
		return
	}
	if l.directorySize() > 0 || p == l.Discovery || l.Directory.Encode == nil && l.Discovered() {
		return
	}
	left := l.began.Add(discoveryTimeout).Sub(l.Now())
	if left <= 0 {
		return
	}
	select {
	case <-time.After(left):
	case <-ctx.Done():
	}
}

// recordFailure records that a reader did not answer, or that it answered that it cannot read a partition, which refused reports. One
// that is alive and did not answer before the caller's time was over counts as refusing.
func (l *Log) recordFailure(ctx context.Context, m leader.Member, p partlog.Partition, err error) (refused bool) {
	refused = m.Instance == l.Self || rpc.IsAnswer(err) || ctx.Err() != nil
	l.mu.Lock()
	now := l.Now()
	length := silentPause
	switch {
	case refused:
		length = refusedPause
	case l.mayBeStarting(err):
		length = startPause
	}
	maps.DeleteFunc(l.paused, func(_ readerOf, old pause) bool { return now.Sub(old.until) > silentPause })
	_, known := l.paused[readerOf{m.Instance, p}]
	l.paused[readerOf{m.Instance, p}] = pause{now.Add(length), refused, l.mayBeStarting(err)}
	l.mu.Unlock()
	if !known {
		events.Log(l.Logger, events.ReaderFailed, zap.String("stream", p.Topic), zap.Int("part", p.Part),
			zap.String("reader", string(m.Instance)), zap.Error(err))
	}
	return refused
}

// mayBeStarting reports whether a reader may not be reachable only because it has been started with this run.
func (l *Log) mayBeStarting(err error) bool {
	return errors.Is(err, rpc.ErrUnreachable) && l.Now().Sub(l.began) < startTime
}
