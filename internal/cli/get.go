package cli

import (
	"context"
	"fmt"

	ucli "github.com/urfave/cli/v3"

	"github.com/comfreylink/comfreylink/internal/document"
	"github.com/comfreylink/comfreylink/internal/publisher"
	"github.com/comfreylink/comfreylink/pkg/config"
)

var getCommand = command{
	name:          "get",
	description:   "print the document and the revision of a template or workspace",
	arguments:     "OBJECT",
	argumentCount: 1,
	flags:         func() []ucli.Flag { return logFlags() },
	action: func(ctx context.Context, r *run) error {
		if _, _, err := config.SplitObject(r.Args().First()); err != nil {
			return &UsageError{Reason: err.Error()}
		}
		return r.withPublisher(ctx, r.get)
	},
}

func (r *run) get(ctx context.Context, p *publisher.Publisher) error {
	v, err := p.Refresh(ctx)
	if err != nil {
		return err
	}
	o, ok := v.Object(r.Args().First())
	switch {
	case !ok:
		return fmt.Errorf("%s was never published; publish it with --expect-new", r.Args().First())
	case r.out.json:
		return r.out.encode(objectResult{Object: o.Name, Revision: o.Revision, Document: o.Document})
	case o.Document == nil:
		return fmt.Errorf("%s was removed; to publish it again use --base %d", o.Name, o.Revision)
	}
	text, err := document.Format(o)
	if err != nil {
		return err
	}
	// The document goes to stdout so that it can be redirected to a file. The revision is a comment line.
	_, err = fmt.Fprintf(r.out.stdout, "# %s, revision %d\n\n%s", o.Name, o.Revision, text)
	return err
}
