package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	ucli "github.com/urfave/cli/v3"

	"github.com/comfreylink/comfreylink/internal/document"
	"github.com/comfreylink/comfreylink/internal/publisher"
	"github.com/comfreylink/comfreylink/pkg/config"
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
			&ucli.BoolFlag{Name: "withdraw-keys", Usage: "allow a workspace document that omits keys in force"},
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

// publish publishes p and prints the object's new revision; done is the verb of the message, such as "published".
func (r *run) publish(ctx context.Context, p *record.Publish, done string) error {
	if p.Base < ids.NoRevision {
		return &UsageError{Reason: "--base is lower than any revision"}
	}
	return r.withPublisher(ctx, func(ctx context.Context, pub *publisher.Publisher) error {
		if err := r.checkKeys(ctx, pub, p); err != nil {
			return err
		}
		revision, err := pub.Publish(ctx, p)
		if err != nil {
			return err
		}
		return r.out.result(objectResult{Object: p.Object, Revision: revision}, "%s %s, revision %d", done, p.Object, revision)
	})
}

// checkKeys rejects a workspace document that omits keys in force, such as a file that is older than the keys, unless
// the flag --withdraw-keys is set.
func (r *run) checkKeys(ctx context.Context, pub *publisher.Publisher, p *record.Publish) error {
	kind, name, err := config.SplitObject(p.Object)
	if err != nil || kind != config.WorkspaceKind || string(p.Document) == "null" || r.Bool("withdraw-keys") {
		return err
	}
	v, err := pub.Refresh(ctx)
	if err != nil {
		return fmt.Errorf("%w: %w", publisher.ErrNotPublished, err)
	}
	var next config.Workspace
	if err := json.Unmarshal(p.Document, &next); err != nil {
		return err
	}
	current, _ := v.Workspace(ids.WorkspaceID(name))
	missing := slices.DeleteFunc(current.Keys, func(k config.KeyInfo) bool {
		return slices.ContainsFunc(next.Keys, func(n config.KeyInfo) bool { return n.SHA256 == k.SHA256 })
	})
	if len(missing) == 0 || p.Base != current.Revision {
		return nil
	}
	reason := "the document would withdraw the keys " + labels(missing) + "; add them, or use --withdraw-keys"
	return &config.InvalidError{Object: p.Object, Reasons: []string{reason}}
}
