// Package follower keeps what an instance knows of the configuration and of the targets up to date from the platform's
// log, and tells how fresh that is.
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
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/registry"
	"github.com/comfreylink/comfreylink/internal/settings"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

const (
	// readsPerRevoke is how many reads of the configuration fit into the time for which a withdrawn key may work. A read
	// waits for news, and the configuration is that much older than the last read that ended.
	readsPerRevoke = 5
	// readsPerRemoval is how many reads of the targets' entries fit into the time for which a target that leaves may still
	// get requests.
	readsPerRemoval = 3
	// failPause is the wait after a failed read.
	failPause = 100 * time.Millisecond
	// readTimeout bounds a read without the time for which it waits.
	readTimeout = time.Second
)

// Source is where the configuration and the targets come from.
type Source struct {
	Log     partlog.Log
	Config  partlog.Partition
	Targets partlog.Partition
	// ConfigKey is the key of the configuration.
	ConfigKey string
	// DecodeKeyed splits a record of a keyed partition; one without a value drops the key.
	DecodeKeyed  func(record []byte) (key string, value []byte, ok bool)
	DecodeConfig func(data []byte) (call.Config, error)
	DecodeTarget func(id string, data []byte) (call.Target, error)
}

// Follower is what an instance knows of the configuration and the targets. It is safe for concurrent use.
type Follower struct {
	source Source
	logger *zap.Logger
	now    func() time.Time
	// configWait is how long a read of the configuration waits for news.
	configWait time.Duration
	// targetsInterval is the time between reads of the targets' entries.
	targetsInterval time.Duration

	table atomic.Pointer[call.Table]
	// fresh is when the last read was sent that showed the configuration up to date, in Unix nanoseconds; 0 before.
	fresh atomic.Int64

	mu       sync.Mutex
	registry *registry.Registry
	listed   bool // the targets were read once
	logLost  time.Time
	changed  func(now time.Time) // called when the table or the targets changed, without the lock
}

// New returns a follower that has read nothing. It calls changed when the configuration or the targets have changed.
func New(s Source, bounds settings.Bounds, logger *zap.Logger, now func() time.Time, changed func(now time.Time)) *Follower {
	return &Follower{
		source: s, logger: logger, now: now, configWait: bounds.Revoke / readsPerRevoke,
		targetsInterval: bounds.Removal / readsPerRemoval, registry: registry.New(), changed: changed,
	}
}

// Freshness returns the age of the configuration; ok is false before it was read.
func (f *Follower) Freshness(now time.Time) (age time.Duration, ok bool) {
	at := f.fresh.Load()
	if at == 0 {
		return 0, false
	}
	return now.Sub(time.Unix(0, at)), true
}

// Table returns the configuration in force, or nil before the first one.
func (f *Follower) Table() *call.Table { return f.table.Load() }

// Targets returns the registered targets.
func (f *Follower) Targets(now time.Time) []call.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.registry.Targets(now)
}

// TargetsKnown reports whether the targets were read once.
func (f *Follower) TargetsKnown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed
}

// Moved notes that a target's address belongs to another one now.
func (f *Follower) Moved(id ids.TargetID) {
	f.mu.Lock()
	f.registry.Moved(id)
	f.mu.Unlock()
	f.changed(f.now())
}

// reached notes the outcome of a call to the log.
func (f *Follower) reached(operation string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	switch {
	case err != nil && f.logLost.IsZero():
		f.logLost = now
		events.Log(f.logger, events.LogContactLost, zap.String("operation", operation), zap.Error(err))
	case err == nil && !f.logLost.IsZero():
		events.Log(f.logger, events.LogContactRegained, zap.Duration("duration", now.Sub(f.logLost)))
		f.logLost = time.Time{}
		f.registry.LogReturned(now)
	}
}

// FollowConfig keeps the configuration up to date until the context ends.
func (f *Follower) FollowConfig(ctx context.Context) error {
	readable := true
	return f.follow(ctx, f.source.Config, 0, func(asked time.Time, upToDate bool, entries []partlog.Entry, _ bool) {
		for _, e := range entries {
			if e.Key == f.source.ConfigKey && len(e.Value) > 0 {
				readable = f.takeConfig(e.Value)
			}
		}
		// An unreadable configuration may withdraw keys, so the one before it grows old.
		if upToDate && readable && f.table.Load() != nil {
			f.fresh.Store(asked.UnixNano())
		}
	})
}

// takeConfig puts a configuration in force if it is a newer one. It reports whether it could be read.
func (f *Follower) takeConfig(data []byte) (readable bool) {
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
	f.changed(f.now())
	return true
}

// FollowTargets keeps the targets up to date until the context ends.
func (f *Follower) FollowTargets(ctx context.Context) error {
	return f.follow(ctx, f.source.Targets, f.targetsInterval, func(_ time.Time, upToDate bool, entries []partlog.Entry, whole bool) {
		if f.takeTargets(entries, whole, upToDate) {
			f.changed(f.now())
		}
	})
}

func (f *Follower) takeTargets(entries []partlog.Entry, whole, upToDate bool) (changed bool) {
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
		if !whole && f.registry.Put(t) {
			events.Log(f.logger, events.TargetChanged, zap.String("target", string(t.ID)), zap.String("service", string(t.Service)),
				zap.String("address", t.Address), zap.Bool("draining", t.Draining), zap.Int64("seq", t.Seq))
			changed = true
		}
	}
	if whole {
		changed = f.registry.Replace(now, list) || changed
	}
	if upToDate && !f.listed {
		f.listed, changed = true, true
	}
	return changed
}

// follow reads a keyed partition for ever: its newest records first, then what is appended. With an interval it asks
// again after that time; otherwise its reads wait for news. When records that it has not read were deleted, it begins
// with the newest records again.
func (f *Follower) follow(ctx context.Context, p partlog.Partition, interval time.Duration,
	take func(asked time.Time, upToDate bool, entries []partlog.Entry, whole bool),
) error {
	next := ids.Offset(-1)
	for ctx.Err() == nil {
		asked := f.now()
		var err error
		if next < 0 {
			next, err = f.readNewest(ctx, p, asked, take)
		} else {
			next, err = f.readOn(ctx, p, next, interval, asked, take)
		}
		f.reached(p.Topic, err)
		pause := interval
		if err != nil {
			pause = failPause
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return nil
}

func (f *Follower) readNewest(ctx context.Context, p partlog.Partition, asked time.Time,
	take func(time.Time, bool, []partlog.Entry, bool),
) (next ids.Offset, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	entries, end, err := f.source.Log.Newest(ctx, p)
	if err != nil {
		return -1, err
	}
	take(asked, true, entries, true)
	return end, nil
}

func (f *Follower) readOn(ctx context.Context, p partlog.Partition, from ids.Offset, interval time.Duration, asked time.Time,
	take func(time.Time, bool, []partlog.Entry, bool),
) (next ids.Offset, err error) {
	wait := time.Duration(0)
	if interval == 0 {
		wait = f.configWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	page, err := f.source.Log.Read(ctx, p, from, wait)
	var gone *partlog.TruncatedError
	if errors.As(err, &gone) {
		return -1, nil
	}
	if err != nil {
		return from, err
	}
	var entries []partlog.Entry
	for i, record := range page.Records {
		key, value, ok := f.source.DecodeKeyed(record)
		if !ok {
			continue
		}
		entries = append(entries, partlog.Entry{Key: key, Value: value, Offset: page.From + ids.Offset(i)})
	}
	take(asked, page.Next() >= page.End, entries, false)
	return page.Next(), nil
}
