package cli

import (
	"context"

	ucli "github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/settings"
)

var serveCommand = command{
	name:        "serve",
	description: "run a daemon until SIGTERM or SIGINT",
	flags: func() []ucli.Flag {
		return []ucli.Flag{&ucli.StringFlag{Name: "settings", Required: true, Usage: "settings `FILE`"}}
	},
	action: func(ctx context.Context, r *run) error {
		if r.runners.Serve == nil {
			return errNotLinked
		}
		s, err := settings.Load(r.String("settings"))
		if err != nil {
			// The error is also logged because nobody may be watching when a daemon starts.
			log := events.NewLogger(r.out.stderr, zap.InfoLevel)
			events.Log(log, events.SettingsInvalid, zap.String("file", r.String("settings")), zap.Error(err))
			return err
		}
		return r.runners.Serve(ctx, s)
	},
}
