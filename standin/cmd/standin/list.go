package main

import (
	"context"
	"time"

	"github.com/comfreylink/comfreylink/standin/list"
	"github.com/comfreylink/comfreylink/standin/serve"
	"github.com/urfave/cli/v3"
)

func listCommand() *cli.Command {
	return &cli.Command{
		Name:  "list",
		Usage: "serve a lagging list of instances",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.DurationFlag{Name: "lag", Usage: "`DURATION` by which answers lag behind changes"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			l, cleanup := list.New(c.Duration("lag"), time.Now)
			return serve.Run(ctx, c.String("listen"), c.Root().Writer, l.Handle, cleanup)
		},
	}
}
