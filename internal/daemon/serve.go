package daemon

import (
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/settings"
)

// Serve runs a daemon until ctx ends or an operator stops it.
func Serve(ctx context.Context, s settings.Settings) (err error) {
	logger := events.NewLogger(os.Stderr, s.Observe.LogLevel).
		With(zap.String("instance", string(s.Instance.ID)), zap.String("zone", string(s.Instance.Zone)))
	d, cleanup, err := New(s, logger)
	if err != nil {
		return err
	}
	events.Log(logger, events.Started, zap.String("writer", string(d.self)))
	began := time.Now()
	err = d.Run(ctx)
	cleanup()
	events.Log(logger, events.Stopped, zap.Duration("duration", time.Since(began)), zap.Error(err))
	return err
}
