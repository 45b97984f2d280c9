package cli

import (
	"context"
	"encoding/json"

	ucli "github.com/urfave/cli/v3"

	"github.com/comfreylink/comfreylink/pkg/config"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

var removeCommand = command{
	name:          "remove",
	description:   "remove a template that no workspace uses, or a workspace",
	arguments:     "OBJECT",
	argumentCount: 1,
	flags: func() []ucli.Flag {
		return logFlags(&ucli.Int64Flag{Name: "base", Required: true, Usage: "`REVISION` of the object, as get prints it"})
	},
	action: func(ctx context.Context, r *run) error {
		object := r.Args().First()
		if _, _, err := config.SplitObject(object); err != nil {
			return &UsageError{Reason: err.Error()}
		}
		p := &record.Publish{Object: object, Base: ids.Revision(r.Int64("base")), Document: json.RawMessage("null")}
		return r.publish(ctx, p, "removed")
	},
}
