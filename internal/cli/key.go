package cli

import (
	"context"
	"crypto/rand"
	"fmt"
	"slices"
	"strings"
	"time"

	ucli "github.com/urfave/cli/v3"

	"github.com/comfreylink/comfreylink/internal/publisher"
	"github.com/comfreylink/comfreylink/pkg/config"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

var keyCommand = command{
	name:        "key",
	description: "create and withdraw the keys of a workspace",
	commands:    []command{keyGiveCommand, keyWithdrawCommand},
}

// keyResult is the result of the key commands as --json prints it.
type keyResult struct {
	Workspace ids.WorkspaceID `json:"workspace"`
	Label     string          `json:"label"`
	Revision  ids.Revision    `json:"revision"`
	// Key is set by key give only. No other command prints a key.
	Key string `json:"key,omitempty"`
}

func keyFlags(more ...ucli.Flag) []ucli.Flag {
	return logFlags(append(more, &ucli.StringFlag{Name: "label", Required: true, Usage: "`LABEL` of the key in its workspace"})...)
}

var keyGiveCommand = command{
	name:          "give",
	description:   "make a key, publish its hash and print the key once",
	arguments:     "WORKSPACE",
	argumentCount: 1,
	flags: func() []ucli.Flag {
		return keyFlags(&ucli.TimestampFlag{
			Name: "expires", Usage: "`TIME` from which the key no longer works, such as 2027-01-31T00:00:00Z",
			Config: ucli.TimestampConfig{Layouts: []string{time.RFC3339}},
		})
	},
	action: func(ctx context.Context, r *run) error {
		key, err := config.NewKey(rand.Reader)
		if err != nil {
			return err
		}
		info := config.KeyInfo{Label: r.String("label"), SHA256: key.Hash(), ExpiresAt: r.Timestamp("expires")}
		return r.changeKeys(ctx, func(w *config.Workspace) error {
			if slices.ContainsFunc(w.Keys, func(k config.KeyInfo) bool { return k.Label == info.Label }) {
				return fmt.Errorf("there is already a key with the label %q", info.Label)
			}
			w.Keys = append(w.Keys, info)
			return nil
		}, func(k keyResult) error {
			k.Key = key.Reveal()
			if r.out.json {
				return r.out.encode(k)
			}
			_, err := fmt.Fprintln(r.out.stdout, k.Key)
			return err
		})
	},
}

var keyWithdrawCommand = command{
	name:          "withdraw",
	description:   "withdraw a key; it stops working within seconds",
	arguments:     "WORKSPACE",
	argumentCount: 1,
	flags:         func() []ucli.Flag { return keyFlags() },
	action: func(ctx context.Context, r *run) error {
		label := r.String("label")
		return r.changeKeys(ctx, func(w *config.Workspace) error {
			i := slices.IndexFunc(w.Keys, func(k config.KeyInfo) bool { return k.Label == label })
			if i < 0 {
				return fmt.Errorf("there is no key with the label %q; the workspace has: %s", label, labels(w.Keys))
			}
			w.Keys = slices.Delete(w.Keys, i, i+1)
			return nil
		}, func(k keyResult) error {
			return r.out.result(k, "withdrew key %s of %s, revision %d", k.Label, k.Workspace, k.Revision)
		})
	},
}

// changeKeys publishes an edit of the workspace that the argument names and prints the result with show.
func (r *run) changeKeys(ctx context.Context, edit publisher.Edit, show func(keyResult) error) error {
	workspace := ids.WorkspaceID(r.Args().First())
	return r.withPublisher(ctx, func(ctx context.Context, p *publisher.Publisher) error {
		revision, err := p.ChangeWorkspace(ctx, workspace, edit)
		if err != nil {
			return err
		}
		return show(keyResult{Workspace: workspace, Label: r.String("label"), Revision: revision})
	})
}

func labels(keys []config.KeyInfo) string {
	var all []string
	for _, k := range keys {
		all = append(all, k.Label)
	}
	return strings.Join(all, ", ")
}
