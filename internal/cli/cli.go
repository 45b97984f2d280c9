// Package cli implements the subcommands of comfreylink.
package cli

import (
	"context"
	"errors"
	"io"

	ucli "github.com/urfave/cli/v3"

	"github.com/comfreylink/comfreylink/internal/publisher"
	"github.com/comfreylink/comfreylink/internal/settings"
)

// Runners holds the functions that the subcommands call. A command whose function is nil returns an error.
type Runners struct {
	// Serve runs a daemon until the context ends and its requests in progress are finished.
	Serve func(ctx context.Context, s settings.Settings) error
	// Gateway runs a gateway until the context ends and its requests in progress are finished. The settings s were read
	// from the file at path.
	Gateway func(ctx context.Context, path string, s settings.Gateway) error
	// GatewaySettings is the path of the gateway's settings file if the flag --settings is not given. It may be empty.
	GatewaySettings string
	// Connect returns a client of the log service at the address, which is HOST:PORT.
	Connect func(address string) (l publisher.Log, cleanup func(), err error)
	// PlatformConfig reads the configurations that check --platform checks.
	PlatformConfig ConfigSource
}

// CLI is the command line of comfreylink.
type CLI struct {
	runners Runners
}

// New returns a command line whose subcommands call the functions in r.
func New(r Runners) *CLI { return &CLI{runners: r} }

// command describes a subcommand.
type command struct {
	name        string
	description string
	// arguments describes the positional arguments in the help text.
	arguments string
	// argumentCount is the number of positional arguments; anyCount allows any.
	argumentCount int
	flags         func() []ucli.Flag
	// action runs the command. It is nil if the command only has subcommands.
	action   func(ctx context.Context, r *run) error
	commands []command
}

const anyCount = -1

// commands lists all subcommands in the order of the help text.
var commands = []command{
	serveCommand, gatewayCommand, explainCommand, checkCommand, certsCommand, publishCommand, removeCommand, getCommand, keyCommand, statusCommand, dumpCommand, drainCommand,
}

// run is one invocation of a command.
type run struct {
	*ucli.Command
	runners Runners
	out     output
}

// Run runs the command that the arguments name, prints its result and its error, and returns the exit code.
func (c *CLI) Run(ctx context.Context, args []string, stdout, stderr io.Writer) (exitCode int) {
	root := &ucli.Command{
		Name:            "comfreylink",
		Usage:           "scheduler for agent programs",
		Description:     "Exit codes are listed in docs/COMMANDS.md.",
		Writer:          stderr,
		ErrWriter:       stderr,
		HideVersion:     true,
		HideHelpCommand: true,
		ExitErrHandler:  func(context.Context, *ucli.Command, error) {},
		OnUsageError:    asUsageError,
		Flags:           []ucli.Flag{&ucli.BoolFlag{Name: "json", Usage: "print results and errors as JSON on standard output"}},
	}
	out := output{stdout: stdout, stderr: stderr}
	root.Action = requireSubcommand
	for _, cmd := range commands {
		root.Commands = append(root.Commands, c.build(cmd, &out))
	}
	err := root.Run(ctx, args)
	out.json = root.Bool("json")
	var status *statusError
	if err != nil && !(errors.As(err, &status) && status.err == nil) {
		out.error(err)
	}
	return int(exitCodeOf(err))
}

func (c *CLI) build(cmd command, out *output) *ucli.Command {
	built := &ucli.Command{
		Name: cmd.name, Usage: cmd.description, ArgsUsage: cmd.arguments,
		HideHelpCommand: true, OnUsageError: asUsageError, Action: requireSubcommand,
	}
	if cmd.flags != nil {
		built.Flags = cmd.flags()
	}
	for _, sub := range cmd.commands {
		built.Commands = append(built.Commands, c.build(sub, out))
	}
	if cmd.action == nil {
		return built
	}
	built.Action = func(ctx context.Context, u *ucli.Command) error {
		if cmd.argumentCount != anyCount && u.Args().Len() != cmd.argumentCount {
			return &UsageError{Reason: cmd.name + " needs the arguments: " + cmd.arguments}
		}
		out.json = u.Bool("json")
		return cmd.action(ctx, &run{Command: u, runners: c.runners, out: *out})
	}
	return built
}

// requireSubcommand is the action of a command that only has subcommands. It always returns a usage error.
func requireSubcommand(_ context.Context, u *ucli.Command) error {
	if u.Args().Present() {
		return &UsageError{Reason: "unknown command " + u.Args().First()}
	}
	_ = ucli.ShowSubcommandHelp(u)
	return &UsageError{Reason: "no command given"}
}

func asUsageError(_ context.Context, _ *ucli.Command, err error, _ bool) error {
	return &UsageError{Reason: err.Error()}
}

// UsageError reports an invalid command line.
type UsageError struct {
	Reason string
}

// Error implements error.
func (e *UsageError) Error() string { return e.Reason }

// errNotLinked is returned if main has not set the function in Runners that a command needs.
var errNotLinked = errors.New("this binary was built without the code that the command runs")
