// Package follower keeps an instance's copy of the configuration and of the targets up to date from the platform's log,
// and reports the age of the configuration.
package follower

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/pacedlog"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/registry"
	"github.com/comfreylink/comfreylink/internal/settings"
	"github.com/comfreylink/comfreylink/pkg/cold"
	"github.com/comfreylink/comfreylink/pkg/evacuation"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/logpace"
)

const (
	// readsPerRevoke is the number of reads of the configuration in the time for which a withdrawn key may still work. A
	// read waits for new records, and when it ends, the configuration is known to have been up to date only when the read
	// was sent.
	readsPerRevoke = 5
	// readsPerRemoval is the number of reads of the targets' entries in the time for which a leaving target may still get
	// requests.
	readsPerRemoval = 3
	// retryPause is the longest delay after a first failed read.
	retryPause = 100 * time.Millisecond
	// readTimeout bounds a read. The time for which the read waits for records is added. Reads that were not answered are made
	// again with more time.
	readTimeout = time.Second
)

// Source describes the partitions of the configuration and the targets and how to decode their records.
type Source struct {
	Log     partlog.Log
	Config  partlog.Partition
	Targets partlog.Partition
	// ConfigKey is the key of the configuration in the partition Config.
	ConfigKey string
	// DecodeKeyed splits a record of a keyed partition into key and value. A record without a value deletes the key.
	DecodeKeyed  func(record []byte) (key string, value []byte, ok bool)
	DecodeConfig func(data []byte) (call.Config, error)
	DecodeTarget func(id string, data []byte) (call.Target, error)
	// DecodeEvacuation decodes an entry of the partition Config that says that a zone is evacuated; ok is false for entries
	// of other kinds. Without a value the entry revokes the evacuation. If it is nil, zones cannot be evacuated.
	DecodeEvacuation func(key string, value []byte) (zone ids.Zone, ok bool, err error)
	// Self is this instance, and Zones the zones that its settings name.
	Self  ids.InstanceID
	Zones settings.Zones
}

// Follower holds an instance's copy of the configuration and the targets. It is safe for concurrent use.
type Follower struct {
	source Source
	logger *zap.Logger
	now    func() time.Time
	// configWait is how long a read of the configuration waits for new records.
	configWait time.Duration
	// targetsInterval is the time between reads of the targets' entries.
	targetsInterval time.Duration

	table atomic.Pointer[call.Table]
	// confirmed is when the last read was sent that showed the configuration to be up to date, in Unix nanoseconds; 0
	// before the first one.
	confirmed atomic.Int64
	// zonesConfirmed is the same for the evacuations.
	zonesConfirmed atomic.Int64

	mu       sync.Mutex
	registry *registry.Registry
	zones    *evacuation.Zones
	cold     *cold.Targets
	listed   bool                 // the targets were read to the end once
	started  chan struct{}        // closed when the configuration and the targets are known
	lostAt   map[string]time.Time // start of the current outage, by topic; the log's partitions may be unavailable one by one
	onChange func(now time.Time)  // called without the lock after the table or the targets changed
}

// New returns a follower that has read nothing. It calls onChange after the configuration or the targets have changed.
func New(s Source, bounds settings.Bounds, logger *zap.Logger, now func() time.Time, onChange func(now time.Time)) *Follower {
	return &Follower{
		source: s, logger: logger, now: now, configWait: configWait(bounds, s.Zones),
		targetsInterval: bounds.Removal / readsPerRemoval, registry: registry.New(), zones: evacuation.New(), cold: cold.New(), lostAt: make(map[string]time.Time), onChange: onChange,
		started: make(chan struct{}),
	}
}

// configWait returns how long a read of the configuration and the evacuations waits for new records.
func configWait(b settings.Bounds, zones settings.Zones) time.Duration {
	if b.Evacuate > 0 && len(zones) > 0 {
		return min(b.Revoke, b.Evacuate) / readsPerRevoke
	}
	return b.Revoke / readsPerRevoke
}

// Freshness returns the time since the configuration was last known to be up to date; ok is false before it was read.
func (f *Follower) Freshness(now time.Time) (age time.Duration, ok bool) {
	at := f.confirmed.Load()
	if at == 0 {
		return 0, false
	}
	return now.Sub(time.Unix(0, at)), true
}

// Table returns the configuration in force, or nil before one was read.
func (f *Follower) Table() *call.Table { return f.table.Load() }

// Targets returns the registered targets.
func (f *Follower) Targets(now time.Time) []call.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.registry.Targets(now)
	f.markEvacuated(now, list)
	return list
}

// TargetsKnown reports whether the targets were read to the end once.
func (f *Follower) TargetsKnown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed
}

// Moved records that another target answers at a target's address now.
func (f *Follower) Moved(id ids.TargetID) {
	f.mu.Lock()
	f.registry.Moved(id)
	f.mu.Unlock()
	f.onChange(f.now())
}

// Leaving records that a target has said in an answer that it is leaving. It reports whether that is news.
func (f *Follower) Leaving(t call.Target) bool {
	f.mu.Lock()
	news := f.registry.Leaving(t.ID, t.Born)
	f.mu.Unlock()
	if news {
		f.onChange(f.now())
	}
	return news
}

// IsLeaving reports whether a target is draining or has said that it is leaving.
func (f *Follower) IsLeaving(t call.Target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.registry.IsLeaving(t.ID, t.Born)
}

// recordResult records whether a read of a topic succeeded, and logs the start and the end of an outage.
func (f *Follower) recordResult(topic string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	lostAt, lost := f.lostAt[topic]
	switch {
	case err != nil && !lost:
		f.lostAt[topic] = now
		events.Log(f.logger, events.LogContactLost, zap.String("operation", topic), zap.Error(err))
	case err == nil && lost:
		delete(f.lostAt, topic)
		events.Log(f.logger, events.LogContactRegained, zap.String("stream", topic), zap.Duration("duration", now.Sub(lostAt)))
		if topic == f.source.Targets.Topic {
			f.registry.LogReturned(now)
		}
	}
}

// FollowConfig keeps the configuration up to date and returns when the context ends.
func (f *Follower) FollowConfig(ctx context.Context) error {
	readable := true
	return f.follow(ctx, f.source.Config, 0, func(sentAt time.Time, upToDate bool, entries []partlog.Entry, complete bool) {
		// The evacuations come first, so that a first configuration places no requests in an evacuated zone.
		f.applyZones(entries, complete)
		if upToDate {
			confirm(&f.zonesConfirmed, sentAt)
		}
		for _, e := range entries {
			if e.Key == f.source.ConfigKey && len(e.Value) > 0 {
				readable = f.applyConfig(e.Value)
			}
		}
		// An unreadable configuration may withdraw keys, so the previous one must not count as up to date.
		if upToDate && readable && f.table.Load() != nil {
			confirm(&f.confirmed, sentAt)
			f.markStarted()
		}
	})
}

// confirm notes that something was up to date at a time. A read through another instance may show an earlier state than one before
// it.
func confirm(confirmed *atomic.Int64, at time.Time) {
	if nanos := at.UnixNano(); nanos > confirmed.Load() { // only one goroutine stores
		confirmed.Store(nanos)
	}
}

// applyConfig puts a configuration in force if its version is newer. It reports whether it could be decoded.
func (f *Follower) applyConfig(data []byte) (readable bool) {
	c, err := f.source.DecodeConfig(data)
	if err != nil {
		events.Log(f.logger, events.ConfigIgnored, zap.String("reason", err.Error()))
		return false
	}
	old := f.table.Load()
	if old != nil && c.Version <= old.Config.Version {
		return true
	}
	f.table.Store(call.NewTable(c))
	events.Log(f.logger, events.ConfigAccepted, zap.Int64("revision", c.Version))
	for _, reason := range c.Ignored {
		events.Log(f.logger, events.FigureIgnored, zap.String("source", "configuration"), zap.String("reason", reason))
	}
	f.onChange(f.now())
	return true
}

// FollowTargets keeps the targets up to date and returns when the context ends.
func (f *Follower) FollowTargets(ctx context.Context) error {
	return f.follow(ctx, f.source.Targets, f.targetsInterval, func(_ time.Time, upToDate bool, entries []partlog.Entry, complete bool) {
		first := upToDate && !f.TargetsKnown()
		if f.applyTargets(entries, complete) || first {
			f.onChange(f.now())
		}
		if first {
			f.markTargetsKnown()
		}
	})
}

// markTargetsKnown records that the targets were read to the end once. It comes after onChange: an instance that is ready
// before its queues have the targets refuses its first requests.
func (f *Follower) markTargetsKnown() {
	f.mu.Lock()
	f.listed = true
	f.mu.Unlock()
	f.markStarted()
}

// Started returns a channel that is closed when the configuration and the targets are known.
func (f *Follower) Started() <-chan struct{} { return f.started }

// markStarted closes the channel of Started when both are known.
func (f *Follower) markStarted() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.listed || f.table.Load() == nil {
		return
	}
	select {
	case <-f.started:
	default:
		close(f.started)
	}
}

// applyTargets applies entries of targets to the registry; complete says that they are all that there are. It reports
// whether anything changed.
func (f *Follower) applyTargets(entries []partlog.Entry, complete bool) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	var list []call.Target
	for _, e := range entries {
		if len(e.Value) == 0 {
			if f.registry.Remove(now, ids.TargetID(e.Key)) {
				events.Log(f.logger, events.TargetRemoved, zap.String("target", e.Key))
				changed = true
			}
			continue
		}
		t, err := f.source.DecodeTarget(e.Key, e.Value)
		if err != nil {
			events.Log(f.logger, events.EntrySkipped, zap.String("stream", f.source.Targets.Topic),
				zap.Int64("offset", int64(e.Offset)), zap.String("reason", err.Error()))
			continue
		}
		list = append(list, t)
		f.observeReport(now, t)
		if !complete && f.registry.Put(t) {
			events.Log(f.logger, events.TargetChanged, zap.String("target", string(t.ID)), zap.String("service", string(t.Service)),
				zap.String("address", t.Address), zap.Bool("draining", t.Draining), zap.Int64("seq", t.Seq))
			changed = true
		}
	}
	if complete {
		changed = f.registry.Replace(now, list) || changed
	}
	return changed
}

// follow reads a keyed partition until the context ends: first the newest record of each key, then the records that are
// appended. With an interval, it reads once per interval; with 0, its reads wait for new records. After an error, the next read
// does not wait: its answer ends the time in which what was read last may be out of date. If records were deleted
// before it has read them, it starts with the newest records again. It passes what it read to apply, with the time as of
// which the log had this state, whether the partition's end was reached, and whether the entries are complete.
func (f *Follower) follow(ctx context.Context, p partlog.Partition, interval time.Duration,
	apply func(sentAt time.Time, upToDate bool, entries []partlog.Entry, complete bool),
) error {
	// Keys and targets that are gone must stop being used in time, also while the log throttles calls.
	ctx = pacedlog.WithKind(ctx, logpace.Lease)
	next := ids.Offset(-1)
	reads := partlog.Backoff{Timeout: readTimeout, Pause: retryPause}
	longPoll := time.Duration(0)
	if interval == 0 {
		longPoll = f.configWait
	}
	wait := longPoll
	for ctx.Err() == nil {
		sentAt := f.now()
		var err error
		readCtx, cancel := context.WithTimeout(ctx, wait+reads.Next())
		if next < 0 {
			next, err = f.readNewest(readCtx, p, sentAt, apply)
		} else {
			next, err = f.readFrom(readCtx, p, next, wait, sentAt, apply)
		}
		cancel()
		f.recordResult(p.Topic, err)
		pause := reads.Record(err)
		wait = longPoll
		if err == nil {
			pause = interval
		} else {
			wait = 0
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return nil
}

// readNewest reads the newest record of each key and returns the offset to continue at.
func (f *Follower) readNewest(ctx context.Context, p partlog.Partition, sentAt time.Time,
	apply func(time.Time, bool, []partlog.Entry, bool),
) (next ids.Offset, err error) {
	entries, end, err := f.source.Log.Newest(ctx, p)
	if err != nil {
		return -1, err
	}
	apply(sentAt, true, entries, true)
	return end, nil
}

// readFrom reads the records from an offset on and returns the offset to continue at, or -1 if the record at the offset
// was deleted.
func (f *Follower) readFrom(ctx context.Context, p partlog.Partition, from ids.Offset, wait time.Duration, sentAt time.Time,
	apply func(time.Time, bool, []partlog.Entry, bool),
) (next ids.Offset, err error) {
	page, err := f.source.Log.Read(ctx, p, from, wait)
	var truncated *partlog.TruncatedError
	if errors.As(err, &truncated) {
		return -1, nil
	}
	if err != nil {
		return from, err
	}
	var entries []partlog.Entry
	for i, record := range page.Records {
		key, value, ok := f.source.DecodeKeyed(record)
		if !ok {
			events.Log(f.logger, events.EntrySkipped, zap.String("stream", p.Topic), zap.Int64("offset", int64(page.From)+int64(i)),
				zap.String("reason", "the record is shorter than its key"))
			continue
		}
		entries = append(entries, partlog.Entry{Key: key, Value: value, Offset: page.From + ids.Offset(i)})
	}
	apply(sentAt.Add(-page.Age), page.Next() >= page.End, entries, false)
	return page.Next(), nil
}
