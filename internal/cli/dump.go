package cli

import (
	"context"
	"net/http"
)

var dumpCommand = command{
	name:        "dump",
	description: "print the whole state of a daemon, without secrets",
	flags:       adminFlags,
	action: func(ctx context.Context, r *run) error {
		response, err := r.adminRequest(ctx, http.MethodGet, "/dump")
		if err != nil {
			return err
		}
		return r.printResponse(response, r.out.stdout)
	},
}
