package main

import (
	"context"

	"github.com/comfreylink/comfreylink/standin/engine"
	"github.com/comfreylink/comfreylink/standin/engine/costs"
	"github.com/comfreylink/comfreylink/standin/serve"
	"github.com/urfave/cli/v3"
)

func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "simulate a model engine",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.FloatFlag{Name: "speed", Value: 1, Usage: "divides all durations of the engine's work"},
			&cli.IntFlag{Name: "slots", Value: costs.Slots, Usage: "maximum number of sequences in the batch"},
			&cli.IntFlag{Name: "cache-tokens", Value: costs.CacheTokens, Usage: "size of the prefix cache in tokens"},
			&cli.BoolFlag{Name: "ignore-fencing", Usage: "accept orders with any fencing number"},
			&cli.StringSliceFlag{Name: "model", Usage: "model that is loaded at start; every model if not given"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			e, cleanup := engine.New(engine.Options{
				Speed:         c.Float("speed"),
				Slots:         c.Int("slots"),
				CacheTokens:   c.Int("cache-tokens"),
				IgnoreFencing: c.Bool("ignore-fencing"),
				Models:        c.StringSlice("model"),
			})
			return serve.Run(ctx, c.String("listen"), c.Root().Writer, e.Handle, cleanup)
		},
	}
}
