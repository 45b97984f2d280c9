package cli

import (
	"context"
	"net/http"
)

var statusCommand = command{
	name:        "status",
	description: "print the state of a daemon in short",
	flags:       adminFlags,
	action: func(ctx context.Context, r *run) error {
		answer, err := r.ask(ctx, http.MethodGet, "/status")
		if err != nil {
			return err
		}
		return r.show(answer, r.out.stderr)
	},
}
