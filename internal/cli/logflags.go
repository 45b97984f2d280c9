package cli

import (
	"context"
	"crypto/rand"
	"time"

	ucli "github.com/urfave/cli/v3"

	"github.com/comfreylink/comfreylink/internal/publisher"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// defaultTimeout is longer than a short outage of the log service.
const defaultTimeout = 30 * time.Second

// logFlags returns the flags of every command that uses the log service, followed by more.
func logFlags(more ...ucli.Flag) []ucli.Flag {
	return append([]ucli.Flag{
		&ucli.StringFlag{Name: "log", Required: true, Usage: "`ADDRESS` of the log service, HOST:PORT"},
		&ucli.DurationFlag{Name: "timeout", Value: defaultTimeout, Usage: "fail if the command takes longer than `TIME`"},
	}, more...)
}

// withPublisher calls f with a publisher and a context that ends after the time in --timeout.
func (r *run) withPublisher(ctx context.Context, f func(context.Context, *publisher.Publisher) error) error {
	if r.runners.Connect == nil {
		return errNotLinked
	}
	l, cleanup, err := r.runners.Connect(r.String("log"))
	if err != nil {
		return err
	}
	defer cleanup()
	ctx, cancel := context.WithTimeout(ctx, r.Duration("timeout"))
	defer cancel()
	return f(ctx, publisher.New(l, ids.WriterID("operator#"+rand.Text())))
}
