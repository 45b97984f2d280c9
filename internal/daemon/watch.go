package daemon

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/pkg/config"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// watched logs what becomes of publishes.
type watched struct {
	*config.Catalog
	logger *zap.Logger
}

// Apply implements replay.Fold.
func (w watched) Apply(at ids.Position, writer ids.WriterID, b record.Body) error {
	before := w.Current()
	err := w.Catalog.Apply(at, writer, b)
	publish, ok := b.(*record.Publish)
	if !ok {
		return err
	}
	if err != nil {
		w.ignored(at, writer, publish, err)
		return err
	}
	events.Log(w.logger, events.ConfigAccepted,
		zap.String("object", publish.Object), zap.Int64("revision", int64(at.Offset)), zap.String("writer", string(writer)))
	w.withdrawn(at, publish, before)
	return nil
}

func (w watched) ignored(at ids.Position, writer ids.WriterID, p *record.Publish, reason error) {
	fields := []zap.Field{
		zap.String("object", p.Object), zap.Int64("revision", int64(at.Offset)), zap.Int64("base", int64(p.Base)),
		zap.String("writer", string(writer)), zap.NamedError("reason", reason),
	}
	var conflict *config.ConflictError
	if errors.As(reason, &conflict) {
		fields = append(fields, zap.Int64("current", int64(conflict.Current)))
	}
	events.Log(w.logger, events.ConfigIgnored, fields...)
}

// withdrawn logs the keys that a publish of a workspace took away.
func (w watched) withdrawn(at ids.Position, p *record.Publish, before *config.View) {
	kind, name, err := config.SplitObject(p.Object)
	if err != nil || kind != config.WorkspaceKind {
		return
	}
	old, _ := before.Workspace(ids.WorkspaceID(name))
	now, _ := w.Workspace(ids.WorkspaceID(name))
	kept := map[config.KeyHash]bool{}
	for _, k := range now.Keys {
		kept[k.SHA256] = true
	}
	for _, k := range old.Keys {
		if !kept[k.SHA256] {
			events.Log(w.logger, events.KeyWithdrawn,
				zap.String("workspace", name), zap.String("label", k.Label), zap.Int64("revision", int64(at.Offset)))
		}
	}
}

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
