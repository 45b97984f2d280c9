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

// revisionOf OBJECT: sets REVISION to the revision of an object of the configuration.
func (w *world) revisionOf(_ *reply, args []string) error {
	if err := need(args, 1, "revisionof OBJECT"); err != nil {
		return err
	}
	out, err := w.command("--json", "get", "--log", w.cluster.Process("log").Address, args[0])
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

// exactlyOne NAME NAME: checks that one of two words in the background succeeded and the other received a conflict.
func (w *world) exactlyOne(_ *reply, args []string) error {
	if err := need(args, 2, "exactlyone NAME NAME"); err != nil {
		return err
	}
	a, b := w.jobs[args[0]].err, w.jobs[args[1]].err
	if (a == nil) == (b == nil) {
		return fmt.Errorf("%s: %v; %s: %v", args[0], a, args[1], b)
	}
	const exitConflict = 3
	var exit *exec.ExitError
	if err := errors.Join(a, b); !errors.As(err, &exit) || exit.ExitCode() != exitConflict {
		return fmt.Errorf("the failed command reported no conflict: %w", err)
	}
	return nil
}

// invalid FROM TO TEXT...: starts a daemon with a settings file in which one text is replaced. It must end at once with
// the exit code of invalid settings, say the texts on its standard error and listen on no port.
func (w *world) invalid(_ *reply, args []string) error {
	if err := need(args, 3, "invalid FROM TO TEXT..."); err != nil {
		return err
	}
	data, err := os.ReadFile(filepath.Join("..", "examples", "daemon.ini"))
	if err != nil {
		return err
	}
	if !strings.Contains(string(data), args[0]) {
		return fmt.Errorf("the example has no %q", args[0])
	}
	file := filepath.Join(w.dir, "wrong.ini")
	if err := os.WriteFile(file, []byte(strings.Replace(string(data), args[0], args[1], 1)), 0o600); err != nil {
		return err
	}
	_, err = w.command("serve", "--settings", file)
	const exitInvalid = 5
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != exitInvalid {
		return fmt.Errorf("want exit code %d: %w", exitInvalid, err)
	}
	for _, text := range append(args[2:], "wrong.ini") {
		if !strings.Contains(err.Error(), text) {
			return fmt.Errorf("the error has no %q: %w", text, err)
		}
	}
	if strings.Contains(err.Error(), `"name":"started"`) {
		return fmt.Errorf("something was started: %w", err)
	}
	return nil
}
