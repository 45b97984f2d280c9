// Command load sends generated load to real daemons and stand-ins on the loopback interface and reports latencies,
// throughput, failures and refusals.
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
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cli.Command{
		Name:     "load",
		Usage:    "measure daemons under load",
		Commands: []*cli.Command{runCommand(), compareCommand(), addedCommand(), kneeCommand()},
	}
	if err := root.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		os.Exit(1)
	}
}
