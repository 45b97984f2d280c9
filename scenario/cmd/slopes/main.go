// Command slopes measures how much memory, processor time and traffic each additional program, workspace, peer, target,
// append or slot costs a daemon. The page docs/CAPACITY.md uses its tables.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/comfreylink/comfreylink/scenario/slope"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cli.Command{
		Name:     "slopes",
		Usage:    "measure costs at several sizes and print how they grow",
		Commands: []*cli.Command{memoryCommand(), workCommand(), messagesCommand(), daemonsCommand()},
	}
	if err := root.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

// memoryCommand measures the memory of states of several sizes.
func memoryCommand() *cli.Command {
	return &cli.Command{
		Name:  "memory",
		Usage: "bytes of memory per item of a state",
		Flags: selectFlags(),
		Action: func(_ context.Context, c *cli.Command) error {
			return slope.PrintMemory(os.Stdout, c.String("only"), c.Int("repeat"))
		},
	}
}

// workCommand measures the processor time of operations on states of several sizes.
func workCommand() *cli.Command {
	return &cli.Command{
		Name:  "work",
		Usage: "processor time and allocated bytes of an operation, by the size of the state",
		Flags: selectFlags(),
		Action: func(_ context.Context, c *cli.Command) error {
			return slope.PrintWork(os.Stdout, c.String("only"), c.Int("repeat"))
		},
	}
}

// messagesCommand prints the bytes of messages and records.
func messagesCommand() *cli.Command {
	return &cli.Command{
		Name:   "messages",
		Usage:  "bytes of messages and records, before framing and TLS",
		Action: func(context.Context, *cli.Command) error { return slope.PrintMessages(os.Stdout) },
	}
}

// selectFlags returns the flags that select the cases and the number of runs.
func selectFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "only", Usage: "measure only the case of this name"},
		&cli.IntFlag{Name: "repeat", Value: 3, Usage: "runs at each size"},
	}
}
