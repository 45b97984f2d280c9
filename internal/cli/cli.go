// Package cli holds the subcommands of comfreylink.
package cli

import (
	"context"
	"errors"
	"io"

	ucli "github.com/urfave/cli/v3"

	"github.com/comfreylink/comfreylink/internal/publisher"
	"github.com/comfreylink/comfreylink/internal/settings"
)

// Programs are the parts that the subcommands run, given by main.
type Programs struct {
	// Serve runs a daemon until the context ends and its requests in progress are finished.
	Serve func(ctx context.Context, s settings.Settings) error
	// Gateway runs a gateway with the settings of a file, in the same way.
	Gateway func(ctx context.Context, path string, s settings.Gateway) error
	// GatewaySettings is the gateway's settings file where none is named.
	GatewaySettings string
	// Connect returns a client of the log service at an address HOST:PORT.
	Connect func(address string) (l publisher.Log, cleanup func(), err error)
}

// CLI runs subcommands.
type CLI struct {
	programs Programs
}

// New returns the subcommands with the parts that they run.
func New(p Programs) *CLI { return &CLI{programs: p} }

// command is a subcommand.
type command struct {
	name        string
	description string
	// arguments names the positional arguments.
	arguments string
	// argumentCount is the number of positional arguments; anyCount allows any.
	argumentCount int
	flags         func() []ucli.Flag
	// action does the command's work. A command with subcommands has none.
	action   func(ctx context.Context, r *run) error
	commands []command
}

const anyCount = -1

// commands are all subcommands in the order of the help text.
var commands = []command{
	serveCommand, gatewayCommand, explainCommand, checkCommand, certsCommand, publishCommand, removeCommand, getCommand, keyCommand, statusCommand, dumpCommand, drainCommand,
}

// run is one run of a command.
type run struct {
	*ucli.Command
	programs Programs
	out      output
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
		OnUsageError:    usageError,
		Flags:           []ucli.Flag{&ucli.BoolFlag{Name: "json", Usage: "print results and errors as JSON on standard output"}},
	}
	out := output{stdout: stdout, stderr: stderr}
	root.Action = group
	for _, cmd := range commands {
		root.Commands = append(root.Commands, c.build(cmd, &out))
	}
	err := root.Run(ctx, args)
	out.json = root.Bool("json")
	if err != nil {
		out.error(err)
	}
	return int(exitCodeOf(err))
}

func (c *CLI) build(cmd command, out *output) *ucli.Command {
	built := &ucli.Command{
		Name: cmd.name, Usage: cmd.description, ArgsUsage: cmd.arguments,
		HideHelpCommand: true, OnUsageError: usageError, Action: group,
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
		return cmd.action(ctx, &run{Command: u, programs: c.programs, out: *out})
	}
	return built
}

// group is the action of a command that only has subcommands.
func group(_ context.Context, u *ucli.Command) error {
	if u.Args().Present() {
		return &UsageError{Reason: "unknown command " + u.Args().First()}
	}
	_ = ucli.ShowSubcommandHelp(u)
	return &UsageError{Reason: "no command given"}
}

func usageError(_ context.Context, _ *ucli.Command, err error, _ bool) error {
	return &UsageError{Reason: err.Error()}
}

// UsageError says that the command line is wrong.
type UsageError struct {
	Reason string
}

// Error implements error.
func (e *UsageError) Error() string { return e.Reason }

// errNoProgram guards against a main that left out a part.
var errNoProgram = errors.New("this binary was built without the part that the command runs")
