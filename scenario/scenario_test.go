// Package scenario_test runs scripted scenarios on real processes. Its test language has words that start processes, make
// them fail, call daemons as callers do, and check what came of it.
package scenario_test

import (
	"context"
	"fmt"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/comfreylink/comfreylink/scenario/cluster"
)

// atOnce is how many scenarios run at a time; each has about ten processes.
const atOnce = 6

// bin holds the binaries, which are built once for all scenarios.
var bin string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) (code int) {
	var err error
	if bin, err = os.MkdirTemp("", "comfreylink-bin-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(bin)
	if err := cluster.Build(context.Background(), bin, "-race"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// Runs the scenarios of testdata. The comment at the top of each says which promise and which failure it covers.
func TestScenario(t *testing.T) {
	free := make(chan struct{}, atOnce)
	testscript.Run(t, testscript.Params{
		Dir:  "testdata",
		Cmds: commands(),
		Setup: func(env *testscript.Env) error {
			free <- struct{}{}
			env.Defer(func() { <-free })
			return setUp(env, bin)
		},
		RequireUniqueNames: true,
	})
}
