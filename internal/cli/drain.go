package cli

import (
	"context"
	"net/http"
)

var drainCommand = command{
	name:        "drain",
	description: "tell a daemon to finish its requests and stop",
	flags:       adminFlags,
	action: func(ctx context.Context, r *run) error {
		answer, err := r.ask(ctx, http.MethodPost, "/drain")
		if err != nil {
			return err
		}
		return r.show(answer, r.out.stderr)
	},
}
