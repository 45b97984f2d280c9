package cli

import (
	"context"
	"fmt"
	"os"
	"time"

	ucli "github.com/urfave/cli/v3"

	"github.com/comfreylink/comfreylink/internal/certs"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

const certsDirMode = 0o700

var certsCommand = command{
	name:          "certs",
	description:   "make a certificate authority for a fleet and a certificate for each instance",
	arguments:     "INSTANCE...",
	argumentCount: anyCount,
	flags: func() []ucli.Flag {
		return []ucli.Flag{
			&ucli.StringFlag{Name: "dir", Required: true, Usage: "write ca.pem, INSTANCE.pem and INSTANCE.key to `DIR`"},
			&ucli.DurationFlag{Name: "validity", Value: 365 * 24 * time.Hour, Usage: "certificates are valid for `DURATION`"},
		}
	},
	action: func(_ context.Context, r *run) error {
		if r.Args().Len() == 0 {
			return &UsageError{Reason: "certs needs the arguments: INSTANCE..."}
		}
		return writeCerts(r, r.String("dir"), time.Now())
	},
}

// writeCerts creates a new authority on every call. The authority's key is not stored, so that nobody can issue more
// certificates later.
func writeCerts(r *run, dir string, now time.Time) error {
	if err := os.MkdirAll(dir, certsDirMode); err != nil {
		return err
	}
	authority, err := certs.NewAuthority(now, r.Duration("validity"))
	if err != nil {
		return err
	}
	if _, err := authority.WriteAuthority(dir); err != nil {
		return err
	}
	for _, id := range r.Args().Slice() {
		cert, key, err := authority.Issue(now, dir, ids.InstanceID(id))
		if err != nil {
			return err
		}
		fmt.Fprintf(r.out.stderr, "%s: %s, %s\n", id, cert, key)
	}
	return nil
}
