package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/events"
)

const readyPoll = 50 * time.Millisecond

// awaitReady logs the moment from which requests are admitted, and then every change of the configuration's freshness.
func (d *Daemon) awaitReady(ctx context.Context) error {
	began := time.Now()
	ready, stale := false, time.Time{}
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		revision := zap.Int64("configRevision", int64(d.catalog.Current().Revision()))
		switch fresh := d.fresh(now); {
		case !ready && len(d.notReady()) == 0:
			ready = true
			events.Log(d.logger, events.Ready, revision, zap.Duration("duration", now.Sub(began)))
		case ready && !fresh && stale.IsZero():
			stale = now
			events.Log(d.logger, events.ConfigStale, zap.Int64("revision", int64(d.catalog.Current().Revision())))
		case ready && fresh && !stale.IsZero():
			events.Log(d.logger, events.ConfigFresh,
				zap.Int64("revision", int64(d.catalog.Current().Revision())), zap.Duration("duration", now.Sub(stale)))
			stale = time.Time{}
		}
	}
}
