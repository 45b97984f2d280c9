package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/scenario/caller"
	"github.com/comfreylink/comfreylink/scenario/cluster"
)

var zones = []ids.Zone{"osu", "tema", "madina"}

const (
	pool        = "design-brain"
	serviceName = "order-desk"
	engineSpeed = "20"
	stopTimeout = 30 * time.Second
)

// demo holds the state of one run.
type demo struct {
	cluster *cluster.Cluster
	caller  caller.Caller
	step    int // number of the last printed step
}

// run builds the executables and runs the demo in a temporary directory, which it deletes only if the demo succeeded.
func run(ctx context.Context, kill bool) (err error) {
	dir, err := os.MkdirTemp("", "comfreylink-demo-")
	if err != nil {
		return err
	}
	defer func() {
		if err == nil {
			err = os.RemoveAll(dir)
			return
		}
		err = fmt.Errorf("%w (the output of the processes is in %s)", err, dir)
	}()
	fmt.Println("building the daemon and the stand-ins")
	if err := cluster.Build(ctx, dir); err != nil {
		return err
	}
	c, cleanup, err := cluster.New(dir, dir)
	if err != nil {
		return err
	}
	defer cleanup()
	d := &demo{cluster: c, caller: caller.Caller{HTTP: &http.Client{}}}
	if err := d.start(ctx); err != nil {
		return err
	}
	if err := d.runProgram(ctx, kill); err != nil {
		return err
	}
	return d.stop(kill)
}

// printStep prints a numbered line.
func (d *demo) printStep(format string, args ...any) {
	d.step++
	fmt.Printf("%2d  %s\n", d.step, fmt.Sprintf(format, args...))
}

// start starts the stand-ins of the log and the instance list, and an engine, a service and a daemon in each availability
// zone. Before the daemons it publishes a template and a workspace.
func (d *demo) start(ctx context.Context) error {
	if _, err := d.cluster.Standin("log", "log"); err != nil {
		return err
	}
	if _, err := d.cluster.Standin("list", "list"); err != nil {
		return err
	}
	for i, z := range zones {
		if _, err := d.cluster.Target(fmt.Sprintf("brain-%d", i+1), "engine", pool, z, "--speed", engineSpeed); err != nil {
			return err
		}
		if _, err := d.cluster.Target(fmt.Sprintf("desk-%d", i+1), "service", serviceName, z); err != nil {
			return err
		}
	}
	if err := d.publish(ctx); err != nil {
		return err
	}
	for i := range zones {
		if err := d.startDaemon(i); err != nil {
			return err
		}
	}
	d.printStep("started log, list, 3 engines, 3 services and 3 daemons")
	return nil
}

// startDaemon starts the daemon entry-1 for i = 0, and so on. The short lease and suspicion time let other daemons claim the
// slots of a killed one soon.
func (d *demo) startDaemon(i int) error {
	_, err := d.cluster.Daemon(cluster.DaemonOptions{
		ID:       ids.InstanceID(fmt.Sprintf("entry-%d", i+1)),
		Zone:     zones[i%len(zones)],
		Settings: map[string]string{"ownership": "lease = 2s\nsuspectAfter = 1s"},
	})
	return err
}

// publish publishes the example template and workspace and creates a key for the caller.
func (d *demo) publish(ctx context.Context) error {
	log := d.cluster.Process("log").Address
	for _, file := range []string{"templates/design.ini", "workspaces/accra-studio.ini"} {
		if _, err := d.cluster.Command(ctx, "publish", "--expect-new", "--log", log, filepath.Join("examples", file)); err != nil {
			return err
		}
	}
	key, err := d.cluster.Command(ctx, "key", "give", "--label", "demo", "--log", log, "accra-studio")
	d.caller.Key = strings.TrimSpace(key)
	return err
}

// entry returns the address of daemon entry-i.
func (d *demo) entry(i int) string { return d.cluster.Process(fmt.Sprintf("entry-%d", i)).Address }

// runProgram runs a program of three turns, of which a sub-agent runs the second. The print is ordered twice with the same
// key at different entry instances, and the third turn is sent twice with the same key. If kill is set, two daemons are killed
// before the third turn.
func (d *demo) runProgram(ctx context.Context, kill bool) error {
	if err := d.sendTurn(ctx, 1, "naming-ceremony", "turn-1", "a mug with the bride's photo"); err != nil {
		return err
	}
	if err := d.orderPrint(ctx, 2, false); err != nil {
		return err
	}
	if err := d.orderPrint(ctx, 3, true); err != nil {
		return err
	}
	d.printStep("tool pause of 300 ms")
	time.Sleep(300 * time.Millisecond)
	if err := d.sendTurn(ctx, 3, "naming-ceremony/preview", "turn-2", "draw a preview"); err != nil {
		return err
	}
	survivor := 2
	if kill {
		if err := d.killTwo(); err != nil {
			return err
		}
		survivor = 3
	}
	if err := d.sendTurn(ctx, survivor, "naming-ceremony", "turn-3", "the preview is fine, print it"); err != nil {
		return err
	}
	if err := d.sendTurn(ctx, survivor, "naming-ceremony", "turn-3", "the preview is fine, print it"); err != nil {
		return err
	}
	return d.endProgram(ctx, survivor)
}

// killTwo kills two of the three daemons and starts a new one.
func (d *demo) killTwo() error {
	for _, name := range []string{"entry-1", "entry-2"} {
		if err := d.cluster.Kill(name); err != nil {
			return err
		}
		if err := d.cluster.Unregister(name); err != nil {
			return err
		}
	}
	d.printStep("killed entry-1 and entry-2; starting entry-4 in their place")
	return d.startDaemon(3)
}

// sendTurn sends one model call of a program to an entry instance and prints how it was answered.
func (d *demo) sendTurn(ctx context.Context, entry int, program, key, text string) error {
	a, err := d.retry(ctx, func() (caller.Answer, error) {
		return d.caller.Chat(ctx, d.entry(entry), caller.Chat{
			Program: program, Key: key, Model: pool, Text: text, Tokens: 24, Stream: true, Deadline: 20 * time.Second,
		})
	})
	if err != nil {
		return fmt.Errorf("turn %s of %s: %w", key, program, err)
	}
	d.printStep("chat  %-24s key %s: entry %s, %d chunks, %d prompt tokens (%d cached), first part after %s, complete after %s: %.40q",
		program, key, a.Entry, a.Chunks, a.Usage.Prompt, a.Usage.Details.Cached,
		a.TimeToHeader.Round(time.Millisecond), a.Took.Round(time.Millisecond), a.Text)
	return nil
}

// retry repeats a request, as a caller does, while it is refused with the run state notRun and a retry delay.
func (d *demo) retry(ctx context.Context, f func() (caller.Answer, error)) (a caller.Answer, err error) {
	for ctx.Err() == nil {
		a, err = f()
		if err != nil {
			return a, err
		}
		if a.Error == nil {
			return a, nil
		}
		if a.Error.Run != "notRun" || a.Error.RetryMs == 0 {
			return a, fmt.Errorf("status %d, %s (%s): %s", a.Status, a.Error.Code, a.Error.Run, a.Error.Message)
		}
		time.Sleep(time.Duration(a.Error.RetryMs) * time.Millisecond)
	}
	return a, ctx.Err()
}

// orderPrint orders a print from the service, which is not idempotent. If repeated, the same order was sent before, and the
// answer must be the stored one.
func (d *demo) orderPrint(ctx context.Context, entry int, repeated bool) error {
	a, err := d.retry(ctx, func() (caller.Answer, error) {
		return d.caller.Do(ctx, caller.Request{
			Method:   http.MethodPost,
			URL:      "http://" + d.entry(entry) + "/services/" + serviceName + "/prints",
			Program:  "naming-ceremony",
			Key:      "print-1",
			Deadline: 20 * time.Second,
			Body:     []byte(`{"mugs":24}`),
		})
	})
	if err != nil {
		return fmt.Errorf("print: %w", err)
	}
	if a.Replayed != repeated {
		return fmt.Errorf("print at entry %s: unexpected value of replayed, %t", a.Entry, a.Replayed)
	}
	d.printStep("tool  %-24s key print-1: entry %s, owner %s, target %s, status %d, replayed %t", "naming-ceremony", a.Entry, a.Owner, a.Target, a.Status, a.Replayed)
	return nil
}

// endProgram deletes the program and checks that the services ran the print exactly once.
func (d *demo) endProgram(ctx context.Context, entry int) error {
	a, err := d.caller.Do(ctx, caller.Request{Method: http.MethodDelete, URL: "http://" + d.entry(entry) + "/v1/programs/naming-ceremony"})
	if err != nil {
		return err
	}
	if a.Status != http.StatusNoContent {
		return fmt.Errorf("deleting the program: status %d: %s", a.Status, a.Text)
	}
	d.printStep("ended the program")
	var runs struct {
		Runs []struct {
			Key string `json:"key"`
		} `json:"runs"`
	}
	total := 0
	for i := range zones {
		if err := d.cluster.Get(fmt.Sprintf("desk-%d", i+1), "/runs", &runs); err != nil {
			return err
		}
		total += len(runs.Runs)
	}
	if total != 1 {
		return fmt.Errorf("the print ran %d times, want 1", total)
	}
	d.printStep("the services ran the print once")
	return nil
}

// stop shuts down the daemons one after the other, and then the stand-ins.
func (d *demo) stop(kill bool) error {
	names := []string{"entry-1", "entry-2", "entry-3"}
	if kill {
		names = []string{"entry-4", "entry-3"}
	}
	for _, n := range names {
		if err := d.cluster.Terminate(n, stopTimeout); err != nil {
			return err
		}
	}
	for i := range zones {
		names = append(names, fmt.Sprintf("brain-%d", i+1), fmt.Sprintf("desk-%d", i+1))
	}
	var errs []error
	for _, n := range append(names[len(names)-2*len(zones):], "list", "log") {
		errs = append(errs, d.cluster.Terminate(n, stopTimeout))
	}
	if err := errors.Join(errs...); err != nil {
		return err
	}
	d.printStep("all processes have ended")
	return nil
}
