package gateway

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

// beliefs are what the gateway knows of the configuration and the targets, and how fresh that is.
type beliefs struct {
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

func newBeliefs(s Source, bounds settings.Bounds, logger *zap.Logger, now func() time.Time) *beliefs {
	return &beliefs{
		source: s, logger: logger, now: now, configWait: bounds.Revoke / readsPerRevoke,
		targetsInterval: bounds.Removal / readsPerRemoval, registry: registry.New(),
	}
}

// freshness returns the age of the configuration; ok is false before it was read.
func (b *beliefs) freshness(now time.Time) (age time.Duration, ok bool) {
	at := b.fresh.Load()
	if at == 0 {
		return 0, false
	}
	return now.Sub(time.Unix(0, at)), true
}

// targets returns the registered targets.
func (b *beliefs) targets(now time.Time) []call.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.registry.Targets(now)
}

func (b *beliefs) targetsKnown() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.listed
}

// moved notes that a target's address belongs to another one now.
func (b *beliefs) moved(id ids.TargetID) {
	b.mu.Lock()
	b.registry.Moved(id)
	b.mu.Unlock()
	b.changed(b.now())
}

// reached notes the outcome of a call to the log.
func (b *beliefs) reached(operation string, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	switch {
	case err != nil && b.logLost.IsZero():
		b.logLost = now
		events.Log(b.logger, events.LogContactLost, zap.String("operation", operation), zap.Error(err))
	case err == nil && !b.logLost.IsZero():
		events.Log(b.logger, events.LogContactRegained, zap.Duration("duration", now.Sub(b.logLost)))
		b.logLost = time.Time{}
		b.registry.LogReturned(now)
	}
}

// followConfig keeps the configuration up to date until the context ends.
func (b *beliefs) followConfig(ctx context.Context) error {
	return b.follow(ctx, b.source.Config, 0, func(asked time.Time, upToDate bool, entries []partlog.Entry, _ bool) {
		for _, e := range entries {
			if e.Key == b.source.ConfigKey && len(e.Value) > 0 {
				b.takeConfig(e.Value)
			}
		}
		if upToDate && b.table.Load() != nil {
			b.fresh.Store(asked.UnixNano())
		}
	})
}

func (b *beliefs) takeConfig(data []byte) {
	c, err := b.source.DecodeConfig(data)
	if err != nil {
		events.Log(b.logger, events.ConfigIgnored, zap.String("reason", err.Error()))
		return
	}
	old := b.table.Load()
	if old != nil && c.Version <= old.Config.Version {
		return
	}
	b.table.Store(call.NewTable(c))
	events.Log(b.logger, events.ConfigAccepted, zap.Int64("revision", c.Version))
	b.changed(b.now())
}

// followTargets keeps the targets up to date until the context ends.
func (b *beliefs) followTargets(ctx context.Context) error {
	return b.follow(ctx, b.source.Targets, b.targetsInterval, func(_ time.Time, upToDate bool, entries []partlog.Entry, whole bool) {
		if b.takeTargets(entries, whole, upToDate) {
			b.changed(b.now())
		}
	})
}

func (b *beliefs) takeTargets(entries []partlog.Entry, whole, upToDate bool) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	var list []call.Target
	for _, e := range entries {
		if len(e.Value) == 0 {
			if b.registry.Remove(now, ids.TargetID(e.Key)) {
				events.Log(b.logger, events.TargetRemoved, zap.String("target", e.Key))
				changed = true
			}
			continue
		}
		t, err := b.source.DecodeTarget(e.Key, e.Value)
		if err != nil {
			events.Log(b.logger, events.EntrySkipped, zap.String("stream", b.source.Targets.Topic),
				zap.Int64("offset", int64(e.Offset)), zap.String("reason", err.Error()))
			continue
		}
		list = append(list, t)
		if !whole && b.registry.Put(t) {
			events.Log(b.logger, events.TargetChanged, zap.String("target", string(t.ID)), zap.String("service", string(t.Service)),
				zap.String("address", t.Address), zap.Bool("draining", t.Draining), zap.Int64("seq", t.Seq))
			changed = true
		}
	}
	if whole {
		changed = b.registry.Replace(now, list) || changed
	}
	if upToDate && !b.listed {
		b.listed, changed = true, true
	}
	return changed
}

// follow reads a keyed partition for ever: its newest records first, then what is appended. With an interval it asks
// again after that time; otherwise its reads wait for news. When records that it has not read were deleted, it begins
// with the newest records again.
func (b *beliefs) follow(ctx context.Context, p partlog.Partition, interval time.Duration,
	take func(asked time.Time, upToDate bool, entries []partlog.Entry, whole bool),
) error {
	next := ids.Offset(-1)
	for ctx.Err() == nil {
		asked := b.now()
		var err error
		if next < 0 {
			next, err = b.readNewest(ctx, p, asked, take)
		} else {
			next, err = b.readOn(ctx, p, next, interval, asked, take)
		}
		b.reached(p.Topic, err)
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

func (b *beliefs) readNewest(ctx context.Context, p partlog.Partition, asked time.Time,
	take func(time.Time, bool, []partlog.Entry, bool),
) (next ids.Offset, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	entries, end, err := b.source.Log.Newest(ctx, p)
	if err != nil {
		return -1, err
	}
	take(asked, true, entries, true)
	return end, nil
}

func (b *beliefs) readOn(ctx context.Context, p partlog.Partition, from ids.Offset, interval time.Duration, asked time.Time,
	take func(time.Time, bool, []partlog.Entry, bool),
) (next ids.Offset, err error) {
	wait := time.Duration(0)
	if interval == 0 {
		wait = b.configWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	page, err := b.source.Log.Read(ctx, p, from, wait)
	var gone *partlog.GoneError
	if errors.As(err, &gone) {
		return -1, nil
	}
	if err != nil {
		return from, err
	}
	var entries []partlog.Entry
	for i, record := range page.Records {
		key, value, ok := b.source.DecodeKeyed(record)
		if !ok {
			continue
		}
		entries = append(entries, partlog.Entry{Key: key, Value: value, Offset: page.From + ids.Offset(i)})
	}
	take(asked, page.Next() >= page.End, entries, false)
	return page.Next(), nil
}
