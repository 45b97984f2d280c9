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
		response, err := r.adminRequest(ctx, http.MethodPost, "/drain")
		if err != nil {
			return err
		}
		return r.printResponse(response, r.out.stderr)
	},
}
