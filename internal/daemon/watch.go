package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/events"
)

const readyPoll = 50 * time.Millisecond

// watchReadiness logs when the daemon becomes ready, and then whenever its configuration becomes stale or fresh again.
func (d *Daemon) watchReadiness(ctx context.Context) error {
	began := time.Now()
	ready, staleSince := false, time.Time{}
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
		case ready && !fresh && staleSince.IsZero():
			staleSince = now
			events.Log(d.logger, events.ConfigStale, zap.Int64("revision", int64(d.catalog.Current().Revision())))
		case ready && fresh && !staleSince.IsZero():
			events.Log(d.logger, events.ConfigFresh,
				zap.Int64("revision", int64(d.catalog.Current().Revision())), zap.Duration("duration", now.Sub(staleSince)))
			staleSince = time.Time{}
		}
	}
}
