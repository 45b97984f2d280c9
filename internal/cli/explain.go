package cli

import (
	"context"
	"io"
	"os"

	"github.com/comfreylink/comfreylink/internal/explain"
)

var explainCommand = command{
	name:          "explain",
	description:   "show what the logs contain about a request, program or session",
	arguments:     "ID [FILE...]",
	argumentCount: anyCount,
	action: func(_ context.Context, r *run) error {
		args := r.Args().Slice()
		if len(args) == 0 {
			return &UsageError{Reason: "explain needs the arguments: ID [FILE...]"}
		}
		logs := []io.Reader{os.Stdin}
		if len(args) > 1 {
			logs = nil
		}
		for _, name := range args[1:] {
			f, err := os.Open(name)
			if err != nil {
				return err
			}
			defer f.Close()
			logs = append(logs, f)
		}
		timeline, err := explain.Read(args[0], logs...)
		if err != nil {
			return err
		}
		return timeline.Print(r.out.stdout)
	},
}
