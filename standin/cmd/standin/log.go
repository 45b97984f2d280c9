package main

import (
	"context"
	"fmt"
	"net"

	"github.com/urfave/cli/v3"

	"github.com/comfreylink/comfreylink/standin/logstore"
)

func logCommand() *cli.Command {
	return &cli.Command{
		Name:  "log",
		Usage: "serve an in-memory log service",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`ADDRESS` to listen on"},
			&cli.DurationFlag{Name: "retention", Usage: "keep an entry for `DURATION`; 0 for no limit"},
			&cli.IntFlag{Name: "max-entries", Usage: "keep `N` entries of each stream; 0 for no limit"},
			&cli.FloatFlag{Name: "appends-per-second", Usage: "answer 429 above `N` appends a second; 0 for no limit"},
		},
		Action: runLog,
	}
}

func runLog(ctx context.Context, c *cli.Command) (err error) {
	store := logstore.NewStore(logstore.Options{
		Retention:        c.Duration("retention"),
		MaxEntries:       c.Int("max-entries"),
		AppendsPerSecond: c.Float("appends-per-second"),
	})
	l, err := net.Listen("tcp", c.String("listen"))
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	fmt.Fprintf(c.Root().Writer, "listening %s\n", l.Addr())
	return logstore.NewServer(store).Serve(ctx, l)
}
