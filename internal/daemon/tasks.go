package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/pkg/config"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/member"
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
	// freshFor is how long a read that showed the configuration up to date counts.
	freshFor = 5 * time.Second
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
func (d *Daemon) describe(time.Time) member.Self {
	return member.Self{
		Writer:     d.self,
		Zone:       d.settings.Instance.Zone,
		Revision:   d.catalog.Current().Revision(),
		LogContact: d.config.Fresh(),
		Engaged:    !d.fleet.LogLost(),
		Load:       int(d.server.Calls()),
		Leaving:    d.stopping.Load(),
	}
}

func hashOf(key string) string { return config.HashKey(key).String() }

// fresh implements the admission rule of the design page, section 4.8.
func (d *Daemon) fresh(now time.Time) bool {
	own := d.config.Fresh()
	if !own.IsZero() && now.Sub(own) <= freshFor {
		return true
	}
	basis := d.members.Admit(now, freshFor)
	if own.IsZero() && basis != member.PeerContact {
		return false // not read to its end yet: what is there may be a part
	}
	return basis != member.Stale
}
