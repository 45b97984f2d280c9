package scenario_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
)

// revisionof OBJECT: sets REVISION to the revision of a configuration object.
func (w *world) revisionOf(_ *reply, args []string) error {
	if err := requireArgs(args, 1, "revisionof OBJECT"); err != nil {
		return err
	}
	out, err := w.runCLI("--json", "get", "--log", w.cluster.Process("log").Address, args[0])
	if err != nil {
		return err
	}
	var object struct {
		Revision int64 `json:"revision"`
	}
	if err := json.Unmarshal([]byte(out), &object); err != nil {
		return err
	}
	w.setenv("REVISION", strconv.FormatInt(object.Revision, 10))
	return nil
}

// exactlyone NAME NAME: checks that one of two background commands succeeded and that the other failed with the exit code for
// a conflict.
func (w *world) exactlyOne(_ *reply, args []string) error {
	if err := requireArgs(args, 2, "exactlyone NAME NAME"); err != nil {
		return err
	}
	a, b := w.jobs[args[0]].err, w.jobs[args[1]].err
	if (a == nil) == (b == nil) {
		return fmt.Errorf("want one success and one failure: %s: %v; %s: %v", args[0], a, args[1], b)
	}
	const exitConflict = 3
	var exit *exec.ExitError
	if err := errors.Join(a, b); !errors.As(err, &exit) || exit.ExitCode() != exitConflict {
		return fmt.Errorf("the failed command did not exit with the code for a conflict: %w", err)
	}
	return nil
}

// invalid FROM TO TEXT...: starts a daemon with the example settings, in which the text FROM is replaced by TO. The daemon must
// exit with the code for invalid settings, print the texts and the file name on standard error, and log no start.
func (w *world) invalid(_ *reply, args []string) error {
	if err := requireArgs(args, 3, "invalid FROM TO TEXT..."); err != nil {
		return err
	}
	data, err := os.ReadFile(filepath.Join("..", "examples", "daemon.ini"))
	if err != nil {
		return err
	}
	if !strings.Contains(string(data), args[0]) {
		return fmt.Errorf("examples/daemon.ini does not contain %q", args[0])
	}
	file := filepath.Join(w.dir, "wrong.ini")
	if err := os.WriteFile(file, []byte(strings.Replace(string(data), args[0], args[1], 1)), 0o600); err != nil {
		return err
	}
	_, err = w.runCLI("serve", "--settings", file)
	const exitInvalid = 5
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != exitInvalid {
		return fmt.Errorf("want exit code %d: %w", exitInvalid, err)
	}
	for _, text := range append(args[2:], "wrong.ini") {
		if !strings.Contains(err.Error(), text) {
			return fmt.Errorf("the error does not contain %q: %w", text, err)
		}
	}
	if strings.Contains(err.Error(), `"name":"started"`) {
		return fmt.Errorf("the daemon logged that it started: %w", err)
	}
	return nil
}
