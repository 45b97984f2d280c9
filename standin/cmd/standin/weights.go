package main

import (
	"context"
	"time"

	"github.com/comfreylink/comfreylink/standin/serve"
	"github.com/comfreylink/comfreylink/standin/weights"
	"github.com/urfave/cli/v3"
)

func weightsCommand() *cli.Command {
	return &cli.Command{
		Name:  "weights",
		Usage: "serve a rate-limited weight store",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.FloatFlag{Name: "rate", Value: 1, Usage: "downloads that may start per second"},
			&cli.IntFlag{Name: "burst", Value: 2, Usage: "downloads that may start at once"},
			&cli.Int64Flag{Name: "bytes", Value: 1 << 20, Usage: "size of each model's weights in bytes"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			o := weights.Options{Rate: c.Float("rate"), Burst: c.Int("burst"), Bytes: c.Int64("bytes")}
			s, cleanup := weights.New(o, time.Now)
			return serve.Run(ctx, c.String("listen"), c.Root().Writer, s.Handle, cleanup)
		},
	}
}
