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
	// idleInterval is the interval of checks for idle programs.
	idleInterval = 5 * time.Second
	// snapshotsPerRetention is how many snapshots of a stream are written within the time that the log keeps entries.
	snapshotsPerRetention = 4
	// snapshotChecks is how many times a daemon checks for due snapshots in the interval between two snapshots, and
	// maxSnapshotCheck is the longest time between two checks. An instance that runs for less than that may write none.
	snapshotChecks   = 32
	maxSnapshotCheck = 10 * time.Second
	// freshFor is how long the configuration counts as fresh after a read that showed it to be up to date.
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

// writeSnapshots writes snapshots so often that the log always keeps one of each stream, from which the stream can be
// restored. The owner of slot 0 also writes those of the config and fleet streams, which all instances read. Snapshots are
// due at fixed clock times and not a certain time after the start, since an instance may be replaced before it has run for
// the interval between two of them.
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
			// The due times of the slots are spread over the interval.
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

// describe returns what this instance reports about itself to peers.
func (d *Daemon) describe(time.Time) member.Self {
	return member.Self{
		Writer:            d.self,
		Zone:              d.settings.Instance.Zone,
		Revision:          d.catalog.Current().Revision(),
		LogContact:        d.config.Fresh(),
		SuppressNoContact: !d.fleet.DeclareNoLogContact(),
		Load:              int(d.server.Calls()),
		Leaving:           d.stopping.Load(),
	}
}

func hashOf(key string) string { return config.HashKey(key).String() }

// fresh reports whether the configuration is fresh enough to admit requests, by the rule in section 4.8 of the design.
func (d *Daemon) fresh(now time.Time) bool {
	own := d.config.Fresh()
	if !own.IsZero() && now.Sub(own) <= freshFor {
		return true
	}
	basis := d.members.Admit(now, freshFor)
	if own.IsZero() && basis != member.PeerContact {
		return false // the config stream has not been read to its end yet, so the configuration may be incomplete
	}
	return basis != member.Stale
}
