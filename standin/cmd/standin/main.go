// Command standin runs small stand-ins of the platform's services, each as a process of its own.
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
		Usage: "run a stand-in of one of the platform's services",
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
