package cli

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	ucli "github.com/urfave/cli/v3"

	"github.com/comfreylink/comfreylink/internal/document"
	"github.com/comfreylink/comfreylink/internal/settings"
	"github.com/comfreylink/comfreylink/pkg/config"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

var checkCommand = command{
	name:          "check",
	description:   "check files of settings, templates and workspaces, or a platform's configuration, before they are used",
	arguments:     "[FILE...]",
	argumentCount: anyCount,
	flags: func() []ucli.Flag {
		return []ucli.Flag{
			&ucli.StringFlag{Name: "settings", Usage: "settings `FILE`"},
			&ucli.StringFlag{Name: "platform", Usage: "`FILE` with a configuration of the users' platform"},
			&ucli.StringFlag{Name: "against", Usage: "`FILE` with the configuration in force, to print the differences"},
			&ucli.StringFlag{Name: "log", Usage: "`ADDRESS` of the platform's log, HOST:PORT, to read the configuration in force"},
			&ucli.StringFlag{Name: "zones", Usage: "the region of each zone as a JSON `OBJECT`, to check with --log that allowed regions have targets"},
			&ucli.DurationFlag{Name: "timeout", Value: defaultTimeout, Usage: "fail if the log takes longer than `TIME`"},
			&ucli.DurationFlag{Name: "log-retention", Value: defaultLogRetention, Usage: "how long the platform's log keeps records, as a `DURATION`; 0s if it keeps all"},
			&ucli.BoolFlag{Name: "fail-on-difference", Usage: "exit code 1 if anything differs from the version in force"},
		}
	},
	action: check,
}

// checkResult is the result of check as --json prints it.
type checkResult struct {
	Objects []string `json:"objects"`
}

func check(ctx context.Context, r *run) error {
	if r.String("platform") != "" {
		return checkPlatform(ctx, r)
	}
	for _, flag := range []string{"against", "log", "timeout", "log-retention", "fail-on-difference"} {
		if r.IsSet(flag) {
			return &UsageError{Reason: "--" + flag + " needs --platform"}
		}
	}
	var errs []error
	if file := r.String("settings"); file != "" {
		_, err := settings.Load(file)
		errs = append(errs, err)
	} else if !r.Args().Present() {
		return &UsageError{Reason: "check needs --settings, --platform or at least one FILE"}
	}
	var documents []*record.Publish
	for _, file := range r.Args().Slice() {
		p, err := document.Load(file)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		documents = append(documents, p)
	}
	objects, err := checkTogether(documents)
	if err := errors.Join(append(errs, err)...); err != nil {
		return fmt.Errorf("%w:\n%w", errInvalid, err)
	}
	return r.out.result(checkResult{Objects: objects}, "valid")
}

// checkTogether validates documents as if they were the whole configuration.
func checkTogether(documents []*record.Publish) (objects []string, err error) {
	// Templates come first because workspaces refer to them.
	slices.SortStableFunc(documents, func(a, b *record.Publish) int { return strings.Compare(a.Object, b.Object) })
	c := config.New()
	var errs []error
	for i, p := range documents {
		errs = append(errs, c.Apply(ids.Position{Offset: ids.Offset(i)}, "check", p))
		objects = append(objects, p.Object)
	}
	return objects, errors.Join(errs...)
}
