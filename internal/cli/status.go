package cli

import (
	"context"
	"net/http"
)

var statusCommand = command{
	name:        "status",
	description: "print a summary of a daemon's state",
	flags:       adminFlags,
	action: func(ctx context.Context, r *run) error {
		response, err := r.adminRequest(ctx, http.MethodGet, "/status")
		if err != nil {
			return err
		}
		return r.printResponse(response, r.out.stderr)
	},
}
