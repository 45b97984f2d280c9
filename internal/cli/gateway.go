package cli

import (
	"context"
	"time"

	ucli "github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/settings"
)

// defaultLogRetention is the retention of the log on the users' platform.
const defaultLogRetention = 5 * time.Minute

var gatewayCommand = command{
	name:        "gateway",
	description: "run a gateway on the users' platform until SIGTERM or SIGINT",
	flags: func() []ucli.Flag {
		return []ucli.Flag{
			&ucli.StringFlag{Name: "settings", Usage: "settings `FILE`; by default the one that the platform provides"},
			&ucli.DurationFlag{Name: "log-retention", Value: defaultLogRetention, Usage: "how long the platform's log keeps records, as a `DURATION`; 0s if it keeps all"},
			&ucli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		}
	},
	action: func(ctx context.Context, r *run) error {
		if r.runners.Gateway == nil {
			return errNotLinked
		}
		path := r.String("settings")
		if path == "" {
			path = r.runners.GatewaySettings
		}
		if path == "" {
			return &UsageError{Reason: "no settings file: the platform provides none and --settings is not given"}
		}
		s, err := settings.LoadGateway(path)
		if err != nil {
			log := events.NewLogger(r.out.stderr, zap.InfoLevel)
			events.Log(log, events.SettingsInvalid, zap.String("file", path), zap.Error(err))
			return err
		}
		if s.Store.Retention = r.Duration("log-retention"); s.Store.Retention < 0 {
			return &UsageError{Reason: "--log-retention is negative"}
		}
		if r.Bool("check") {
			return nil
		}
		return r.runners.Gateway(ctx, path, s)
	},
}
