package main

import (
	"context"

	"github.com/comfreylink/comfreylink/standin/serve"
	"github.com/comfreylink/comfreylink/standin/service"
	"github.com/urfave/cli/v3"
)

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "serve a plain service or tool service",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.BoolFlag{Name: "check-fencing", Usage: "refuse requests whose X-Fence header is outdated for their X-Fence-Scope"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, cleanup := service.New(service.Options{CheckFencing: c.Bool("check-fencing")})
			return serve.Run(ctx, c.String("listen"), c.Root().Writer, s.Handle, cleanup)
		},
	}
}
