package cli

import (
	"context"

	ucli "github.com/urfave/cli/v3"

	"github.com/comfreylink/comfreylink/internal/document"
	"github.com/comfreylink/comfreylink/internal/publisher"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

var publishCommand = command{
	name:          "publish",
	description:   "publish the document of a template or workspace",
	arguments:     "FILE",
	argumentCount: 1,
	flags: func() []ucli.Flag {
		return logFlags(
			&ucli.Int64Flag{Name: "base", Usage: "`REVISION` that the document was made from, as get prints it"},
			&ucli.BoolFlag{Name: "expect-new", Usage: "the object was never published"},
		)
	},
	action: func(ctx context.Context, r *run) error {
		if r.IsSet("base") == r.IsSet("expect-new") {
			return &UsageError{Reason: "publish needs either --base or --expect-new"}
		}
		p, err := document.Load(r.Args().First())
		if err != nil {
			return err
		}
		if r.IsSet("base") {
			p.Base = ids.Revision(r.Int64("base"))
		}
		return r.publish(ctx, p, "published")
	},
}

// publish publishes and prints the new revision.
func (r *run) publish(ctx context.Context, p *record.Publish, done string) error {
	if p.Base < ids.NoRevision {
		return &UsageError{Reason: "--base is below any revision"}
	}
	return r.withPublisher(ctx, func(ctx context.Context, to *publisher.Publisher) error {
		revision, err := to.Publish(ctx, p)
		if err != nil {
			return err
		}
		return r.out.result(objectResult{Object: p.Object, Revision: revision}, "%s %s, revision %d", done, p.Object, revision)
	})
}
