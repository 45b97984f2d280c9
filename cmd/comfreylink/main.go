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
	"github.com/comfreylink/comfreylink/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	runners := cli.Runners{
		Serve: daemon.Serve, Gateway: serveGateway, GatewaySettings: platform.SettingsFile(), Connect: connect,
	}
	os.Exit(cli.New(runners).Run(ctx, os.Args, os.Stdout, os.Stderr))
}

// connect opens the log for the commands that publish configuration.
func connect(address string) (l publisher.Log, cleanup func(), err error) {
	return logservice.New(address)
}
