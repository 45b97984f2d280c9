package cli

import (
	"context"

	ucli "github.com/urfave/cli/v3"

	"github.com/comfreylink/comfreylink/internal/settings"
)

var serveCommand = command{
	name:        "serve",
	description: "run a daemon until SIGTERM or SIGINT",
	flags: func() []ucli.Flag {
		return []ucli.Flag{&ucli.StringFlag{Name: "settings", Required: true, Usage: "settings `FILE`"}}
	},
	action: func(ctx context.Context, r *run) error {
		if r.programs.Serve == nil {
			return errNoProgram
		}
		s, err := settings.Load(r.String("settings"))
		if err != nil {
			return err
		}
		return r.programs.Serve(ctx, s)
	},
}
