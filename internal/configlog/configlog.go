// Package configlog logs which publishes of configuration were accepted or ignored.
package configlog

import (
	"errors"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/pkg/config"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// Fold is a catalog that logs whether each publish was accepted or ignored, and which keys it withdrew.
type Fold struct {
	*config.Catalog
	Logger *zap.Logger
}

// Apply implements replay.Fold.
func (f Fold) Apply(at ids.Position, writer ids.WriterID, b record.Body) error {
	before := f.Current()
	err := f.Catalog.Apply(at, writer, b)
	publish, ok := b.(*record.Publish)
	if !ok {
		return err
	}
	if err != nil {
		f.logIgnored(at, writer, publish, err)
		return err
	}
	events.Log(f.Logger, events.ConfigAccepted,
		zap.String("object", publish.Object), zap.Int64("revision", int64(at.Offset)), zap.String("writer", string(writer)))
	f.logWithdrawnKeys(at, publish, before)
	return nil
}

// logIgnored logs a publish that was rejected, with the reason.
func (f Fold) logIgnored(at ids.Position, writer ids.WriterID, p *record.Publish, reason error) {
	fields := []zap.Field{
		zap.String("object", p.Object), zap.Int64("revision", int64(at.Offset)), zap.Int64("base", int64(p.Base)),
		zap.String("writer", string(writer)), zap.NamedError("reason", reason),
	}
	var conflict *config.ConflictError
	if errors.As(reason, &conflict) {
		fields = append(fields, zap.Int64("current", int64(conflict.Current)))
	}
	events.Log(f.Logger, events.ConfigIgnored, fields...)
}

// logWithdrawnKeys logs the keys that a publish removed from a workspace.
func (f Fold) logWithdrawnKeys(at ids.Position, p *record.Publish, before *config.View) {
	kind, name, err := config.SplitObject(p.Object)
	if err != nil || kind != config.WorkspaceKind {
		return
	}
	old, _ := before.Workspace(ids.WorkspaceID(name))
	now, _ := f.Workspace(ids.WorkspaceID(name))
	kept := map[config.KeyHash]bool{}
	for _, k := range now.Keys {
		kept[k.SHA256] = true
	}
	for _, k := range old.Keys {
		if !kept[k.SHA256] {
			events.Log(f.Logger, events.KeyWithdrawn,
				zap.String("workspace", name), zap.String("label", k.Label), zap.Int64("revision", int64(at.Offset)))
		}
	}
}
