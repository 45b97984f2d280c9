// Command standin runs small programs that stand in for the platform's services in tests. Each process runs one of them.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	root := &cli.Command{
		Name:  "standin",
		Usage: "run a stand-in for one of the platform's services",
		Commands: []*cli.Command{
			logCommand(),
			engineCommand(),
			listCommand(),
			serviceCommand(),
			weightsCommand(),
		},
	}
	if err := root.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
