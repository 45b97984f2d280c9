package cli

import (
	"context"
	"net/http"
)

var drainCommand = command{
	name:        "drain",
	description: "request a graceful stop of a daemon, which finishes its requests in progress first",
	flags:       adminFlags,
	action: func(ctx context.Context, r *run) error {
		response, err := r.adminRequest(ctx, http.MethodPost, "/drain")
		if err != nil {
			return err
		}
		return r.printResponse(response, r.out.stderr)
	},
}
