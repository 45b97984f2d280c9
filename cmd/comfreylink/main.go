// Command comfreylink schedules agent programs.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/comfreylink/comfreylink/internal/cli"
	"github.com/comfreylink/comfreylink/internal/daemon"
	"github.com/comfreylink/comfreylink/internal/logservice"
	"github.com/comfreylink/comfreylink/internal/publisher"
	"github.com/comfreylink/comfreylink/internal/settings"
	"github.com/comfreylink/comfreylink/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// SIGHUP says that the settings file has changed. It stays caught until the process has ended, also during a planned stop
	// and in commands that reload nothing, because its default action ends the process at once.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	runners := cli.Runners{
		Serve: func(ctx context.Context, s settings.Settings) error {
			outliveLogReader()
			return daemon.Serve(ctx, s)
		},
		Gateway: func(ctx context.Context, path string, s settings.Gateway) error {
			outliveLogReader()
			return serveGateway(ctx, path, s, reload)
		},
		GatewaySettings: platform.SettingsFile(), Connect: connect,
		PlatformConfig: cli.ConfigSource{Decode: platform.DecodeConfig, Place: platform.ConfigPlace, ReadLog: readPlatformLog},
	}
	os.Exit(cli.New(runners).Run(ctx, os.Args, os.Stdout, os.Stderr))
}

// outliveLogReader makes writes to a closed standard output or standard error fail instead of ending the process. Only daemons
// use it: other commands should end when the reader of their output does.
func outliveLogReader() { signal.Ignore(syscall.SIGPIPE) }

// connect opens the log for the commands that publish configuration.
func connect(address string) (l publisher.Log, cleanup func(), err error) {
	return logservice.New(address)
}
