// Package scenario_test runs scripted scenarios on real processes. It adds commands to testscript that start processes,
// inject faults, send requests to daemons as callers do, and check the results.
package scenario_test

import (
	"context"
	"fmt"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/comfreylink/comfreylink/scenario/cluster"
)

// maxParallel is the number of scenarios that run at the same time. Each one starts about ten processes.
const maxParallel = 6

// binDir is the directory of the binaries, which are built once for all scenarios.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) (code int) {
	var err error
	if binDir, err = os.MkdirTemp("", "comfreylink-bin-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(binDir)
	if err := cluster.Build(context.Background(), binDir, "-race"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// Runs the scenarios in testdata. The comment at the head of each one names the requirements that it covers, such as R7,
// and the failure that it causes.
func TestScenario(t *testing.T) {
	free := make(chan struct{}, maxParallel)
	testscript.Run(t, testscript.Params{
		Dir:  "testdata",
		Cmds: testscriptCommands(),
		Setup: func(env *testscript.Env) error {
			free <- struct{}{}
			env.Defer(func() { <-free })
			return setUp(env, binDir)
		},
		RequireUniqueNames: true,
	})
}
