package daemon

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/settings"
)

// Serve runs a daemon until ctx ends or an operator stops it.
func Serve(ctx context.Context, s settings.Settings) (err error) {
	c := zap.NewProductionConfig()
	c.Level = zap.NewAtomicLevelAt(s.Observe.LogLevel)
	c.OutputPaths = []string{"stderr"}
	logger, err := c.Build()
	if err != nil {
		return err
	}
	logger = logger.With(zap.String("instance", string(s.Instance.ID)), zap.String("zone", string(s.Instance.Zone)))
	events.Log(logger, events.Started)
	d, cleanup, err := New(s, logger)
	if err != nil {
		return err
	}
	err = d.Run(ctx)
	cleanup()
	events.Log(logger, events.Stopped, zap.Error(err))
	// Syncing a terminal or a pipe fails on some systems; nothing is buffered there.
	_ = errors.Join(logger.Sync())
	return err
}
