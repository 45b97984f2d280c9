package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/peer"
	"github.com/comfreylink/comfreylink/pkg/config"
	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

const (
	// idleInterval is how often programs are looked through for idle ones.
	idleInterval = 5 * time.Second
	// snapshotsPerRetention is how many snapshots are written within the time that the log keeps entries.
	snapshotsPerRetention = 4
	// snapshotChecks is how often in the interval between two snapshots a daemon looks whether any is due, and
	// maxSnapshotCheck the longest time between two looks. An instance that lives shorter than that may write none.
	snapshotChecks   = 32
	maxSnapshotCheck = 10 * time.Second
	// staleAfter is the age of the last up-to-date read of the configuration after which requests are refused.
	staleAfter = 5 * time.Second
)

func (d *Daemon) endIdlePrograms(ctx context.Context) error {
	ticker := time.NewTicker(idleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			idle := d.idleTimeout()
			if idle == 0 {
				continue
			}
			if n := d.slots.EndIdle(ctx, now, idle); n > 0 {
				events.Log(d.logger, events.ProgramEndedIdle, zap.Int("programs", n), zap.Duration("idle", idle))
			}
		}
	}
}

// idleTimeout returns the longest idle time of all templates, so that no program ends before its own.
func (d *Daemon) idleTimeout() (longest time.Duration) {
	for _, t := range d.catalog.Current().Templates() {
		longest = max(longest, t.Program.IdleTimeout.Std())
	}
	return longest
}

// writeSnapshots keeps every stream readable from its snapshots alone. The owner of slot 0 also writes those of the
// streams that all instances read. A stream's snapshots are due at fixed times of the clock, whoever owns it then, since
// an instance may be replaced before it has run for the interval between two of them.
func (d *Daemon) writeSnapshots(ctx context.Context) error {
	interval := d.settings.Log.Retention / snapshotsPerRetention
	ticker := time.NewTicker(min(interval/snapshotChecks, maxSnapshotCheck))
	defer ticker.Stop()
	for last := time.Now(); ; {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		due := func(s ids.Slot) bool {
			// The slots' times are spread over the interval.
			offset := interval * time.Duration(s) / time.Duration(d.settings.Ownership.Slots)
			return now.Add(-offset).Truncate(interval).After(last.Add(-offset))
		}
		d.slots.WriteSnapshots(ctx, due)
		if w, _, _ := d.fleet.Owner(0); w == d.self && due(0) {
			d.writeCommonSnapshots(ctx)
		}
		last = now
	}
}

func (d *Daemon) writeCommonSnapshots(ctx context.Context) {
	for _, j := range []interface{ WriteSnapshot(context.Context) error }{d.config, d.fleetLog} {
		if err := j.WriteSnapshot(ctx); err != nil {
			d.logger.Warn("write a snapshot", zap.Error(err))
		}
	}
}

// describe tells peers about this instance.
func (d *Daemon) describe(now time.Time) peer.Pong {
	return peer.Pong{
		Writer:         d.self,
		Revision:       d.catalog.Current().Revision(),
		LogAgeMillis:   age(now, d.config.Fresh()),
		FreshAgeMillis: age(now, d.freshAt()),
		LogLost:        d.fleet.LogLost(now),
		Leaving:        d.stopping.Load(),
	}
}

func age(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}

// poolOptions returns the options of a pool's queue from the settings and the templates.
func (d *Daemon) poolOptions(pool ids.PoolID) (o dispatch.Options, reports bool) {
	o = dispatch.DefaultOptions()
	o.Policy = string(d.settings.Dispatch.Policy)
	o.MaxInFlight = d.settings.Dispatch.MaxInFlight
	for _, t := range d.catalog.Current().Templates() {
		for _, m := range t.Models {
			if m.Pool != pool {
				continue
			}
			reports = true
			if m.MaxInFlight > 0 {
				o.MaxInFlight = m.MaxInFlight
			}
		}
	}
	return o, reports
}

// modelPools returns the pools of engines that the templates name.
func (d *Daemon) modelPools() (pools []ids.PoolID) {
	for _, t := range d.catalog.Current().Templates() {
		for _, m := range t.Models {
			if !slices.Contains(pools, m.Pool) {
				pools = append(pools, m.Pool)
			}
		}
	}
	return pools
}

func hashOf(key string) string { return config.HashKey(key).String() }

// freshness keeps the newest up-to-date read of the config stream that peers told of.
type freshness struct {
	mu sync.Mutex
	at time.Time
}

func (f *freshness) note(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.at) {
		f.at = at
	}
}

func (f *freshness) get() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.at
}

func (d *Daemon) freshAt() time.Time {
	at := d.config.Fresh()
	if p := d.fromPeers.get(); p.After(at) {
		return p
	}
	return at
}

// learned takes over what a peer said: a read that it knows of makes the configuration here as fresh, if this instance
// has the same revision.
func (d *Daemon) learned(now time.Time, _ ids.InstanceID, p peer.Pong) {
	if p.FreshAgeMillis < 0 || d.catalog.Current().Revision() < p.Revision {
		return
	}
	d.fromPeers.note(now.Add(-time.Duration(p.FreshAgeMillis) * time.Millisecond))
}

// fresh implements the admission rule of the design page, section 4.8.
func (d *Daemon) fresh(now time.Time) bool {
	if at := d.freshAt(); !at.IsZero() && now.Sub(at) < staleAfter {
		return true
	}
	if d.catalog.Current().Revision() == ids.NoRevision {
		return false
	}
	reports := d.members.Reports(now)
	withoutLog := 1
	for _, r := range reports {
		recent := r.HeardMillis >= 0 && r.HeardMillis < staleAfter.Milliseconds()
		if recent && (r.Pong.LogAgeMillis < 0 || r.Pong.LogAgeMillis >= staleAfter.Milliseconds()-r.HeardMillis) {
			withoutLog++
		}
	}
	return 2*withoutLog > len(reports)+1
}
