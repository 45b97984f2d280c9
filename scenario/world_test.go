package scenario_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/comfreylink/comfreylink/scenario/caller"
	"github.com/comfreylink/comfreylink/scenario/cluster"
	"github.com/comfreylink/comfreylink/scenario/relay"
)

// waitTimeout limits waits for events that must happen but for which no requirement sets a time limit.
const waitTimeout = 90 * time.Second

// reply is the result of a caller's request.
type reply struct {
	answer caller.Answer
	// broken is set if no complete answer was received.
	broken error
	// requested reports whether a request was attempted.
	requested bool
}

// job is a command that runs in the background.
type job struct {
	done chan struct{}
	out  reply
	err  error
}

// world is the state of one scenario.
type world struct {
	cluster *cluster.Cluster
	links   *relay.Links
	dir     string
	ctx     context.Context
	tasks   sync.WaitGroup

	mu            sync.Mutex
	daemons       []string
	services      []string
	engines       []string
	keys          map[string]string
	turns         map[string][]turn
	jobs          map[string]*job
	loads         map[string]*load
	settings      map[string]map[string]string // settings given in the script, by daemon
	violations    []string                     // failures of checks that run concurrently with the script
	linesAtEnd    []string                     // written by logAtEnd
	arrivalCounts map[string]int               // number of requests at each target, set by notenew
	// readyOnce holds the last process of each daemon that was seen ready.
	readyOnce map[string]*cluster.Process
	moments   map[string]time.Time // set by moment
	// setenv sets a variable of the script.
	setenv func(name, value string)
	last   reply // what expect checks
}

// command implements a command of the test language. If it makes a request, it stores the result in out. The comments of the
// implementations begin with the usage of the command in a script.
type command func(w *world, out *reply, args []string) error

// baseCommands returns all commands except those that run other commands.
func baseCommands() map[string]command {
	return map[string]command{
		"platform": (*world).platform, "standin": (*world).standin, "target": (*world).target, "daemon": (*world).daemon,
		"settled": (*world).settled, "owner": (*world).owner, "publish": (*world).publish, "key": (*world).key,
		"crash": (*world).crash, "pause": (*world).pause, "continue": (*world).resume, "hangup": (*world).hangUp, "terminate": (*world).terminate,
		"leave": (*world).leave, "fault": (*world).fault, "cut": (*world).cut, "heal": (*world).heal,
		"disturb": (*world).disturb, "chat": (*world).chat, "call": (*world).call, "end": (*world).end,
		"raw": (*world).raw, "expect": (*world).expect, "runs": (*world).runs, "arrived": (*world).arrived,
		"history": (*world).history, "load": (*world).load, "finish": (*world).finishLoad, "status": (*world).status,
		"revision": (*world).revision, "watch": (*world).watch, "append": (*world).appendEntry, "output": (*world).output,
		"peertalk": (*world).peerTalk, "await": (*world).await, "sleep": (*world).sleep, "answered": (*world).answered,
		"calling": (*world).calling, "owned": (*world).owned,
		"drain": (*world).drain, "ended": (*world).ended,
		"notenew": (*world).noteNew, "nothingnew": (*world).nothingNew, "accepted": (*world).accepted, "queued": (*world).queued, "inflight": (*world).inFlight,
		"revisionof": (*world).revisionOf, "exactlyone": (*world).exactlyOne, "invalid": (*world).invalid,
		"moment": (*world).moment, "windows": (*world).windows, "ranafter": (*world).ranAfter, "limits": (*world).publishLimits,
		"spent": (*world).spent, "cached": (*world).cached, "uncached": (*world).uncached, "died": (*world).died, "spentout": (*world).spentOut, "quarantinedat": (*world).quarantinedAt, "fenced": (*world).fenced,
	}
}

// testscriptCommands returns all commands in the form that testscript takes.
func testscriptCommands() map[string]func(*testscript.TestScript, bool, []string) {
	all := map[string]func(*testscript.TestScript, bool, []string){
		"background": func(ts *testscript.TestScript, neg bool, args []string) { runCommand(ts, neg, "background", args) },
		"eventually": func(ts *testscript.TestScript, neg bool, args []string) { runCommand(ts, neg, "eventually", args) },
	}
	for name := range baseCommands() {
		all[name] = func(ts *testscript.TestScript, neg bool, args []string) { runCommand(ts, neg, name, args) }
	}
	return all
}

// worldKey is the key of the world in the values of a script's environment.
type worldKey struct{}

// setUp stores a world without processes in a script's environment. When the script ends, it checks what must hold in every
// scenario and stops all processes.
func setUp(env *testscript.Env, bin string) error {
	dir := env.WorkDir
	c, endProcesses, err := cluster.New(dir, bin)
	if err != nil {
		return err
	}
	links, endLinks := relay.NewLinks()
	ctx, cancel := context.WithCancel(context.Background())
	w := &world{
		cluster: c, links: links, dir: dir, ctx: ctx,
		keys: map[string]string{}, turns: map[string][]turn{}, jobs: map[string]*job{}, loads: map[string]*load{},
		settings: map[string]map[string]string{}, arrivalCounts: map[string]int{}, moments: map[string]time.Time{},
		readyOnce: map[string]*cluster.Process{},
	}
	env.Values[worldKey{}] = w
	env.Defer(func() {
		cancel()
		checkErr := w.checkAtEnd()
		endProcesses()
		endLinks()
		w.tasks.Wait()
		for _, n := range w.linesAtEnd {
			env.T().Log(n)
		}
		if err := errors.Join(checkErr, w.checkOutputs()); err != nil {
			env.T().Log("checks of every scenario: " + err.Error())
			env.T().FailNow()
		}
	})
	return nil
}

// runCommand runs one command for testscript and fails the script if the result is not the expected one.
func runCommand(ts *testscript.TestScript, neg bool, name string, args []string) {
	w := ts.Value(worldKey{}).(*world)
	w.setenv = ts.Setenv
	out := &reply{}
	err := w.do(out, append([]string{name}, args...))
	if out.requested {
		w.last = *out
		ts.Logf("%s", out)
	}
	switch {
	case neg && err == nil:
		ts.Fatalf("%s: succeeded unexpectedly", name)
	case neg:
		ts.Logf("as expected: %v", err)
	case err != nil:
		ts.Fatalf("%s: %v", name, err)
	}
}

// do runs one command. In addition to the base commands these are background, eventually, and not, which succeeds if a command
// fails.
func (w *world) do(out *reply, args []string) error {
	switch args[0] {
	case "background":
		return w.background(args[1:])
	case "eventually":
		return w.eventually(out, args[1:])
	case "not":
		if err := w.do(out, args[1:]); err == nil {
			return fmt.Errorf("%s: succeeded unexpectedly", strings.Join(args[1:], " "))
		}
		return nil
	}
	f, ok := baseCommands()[args[0]]
	if !ok {
		return fmt.Errorf("unknown command %q", args[0])
	}
	return f(w, out, args[1:])
}

// logAtEnd stores a line that is logged when the script ends, since background commands must not write to the script's log.
func (w *world) logAtEnd(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.linesAtEnd = append(w.linesAtEnd, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// background NAME COMMAND ARGS...: runs a command in the background. `await NAME` waits for its end.
func (w *world) background(args []string) error {
	if len(args) < 2 {
		return errors.New("usage: background NAME COMMAND [ARG...]")
	}
	j := &job{done: make(chan struct{})}
	w.jobs[args[0]] = j
	w.tasks.Go(func() {
		defer close(j.done)
		j.err = w.do(&j.out, args[1:])
	})
	return nil
}

// await NAME: waits for a background command. A following expect checks its reply.
func (w *world) await(out *reply, args []string) error {
	if err := requireArgs(args, 1, "await NAME"); err != nil {
		return err
	}
	j := w.jobs[args[0]]
	if j == nil {
		return fmt.Errorf("no background command %q", args[0])
	}
	select {
	case <-j.done:
	case <-time.After(waitTimeout):
		return fmt.Errorf("%q has not ended within %s", args[0], waitTimeout)
	}
	*out = j.out
	return j.err
}

// eventually DURATION COMMAND ARGS...: repeats a command until it succeeds, and fails after the duration.
func (w *world) eventually(out *reply, args []string) error {
	if len(args) < 2 {
		return errors.New("usage: eventually DURATION COMMAND [ARG...]")
	}
	within, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	for end := time.Now().Add(within); ; {
		if err = w.do(out, args[1:]); err == nil {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("no success within %s: %w", within, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// sleep DURATION: waits for a time that the scenario itself requires, such as a pause longer than a lease.
func (w *world) sleep(_ *reply, args []string) error {
	if err := requireArgs(args, 1, "sleep DURATION"); err != nil {
		return err
	}
	d, err := time.ParseDuration(args[0])
	time.Sleep(d)
	return err
}

// requireArgs returns an error with the usage if there are fewer than n arguments.
func requireArgs(args []string, n int, usage string) error {
	if len(args) < n {
		return errors.New("usage: " + usage)
	}
	return nil
}

// options parses arguments of the form NAME=VALUE. Without known names, every name is accepted.
func options(args []string, known ...string) (o map[string]string, err error) {
	o = map[string]string{}
	for _, a := range args {
		name, value, ok := strings.Cut(a, "=")
		if !ok || len(known) > 0 && !slices.Contains(known, name) {
			return nil, fmt.Errorf("argument %q is not one of %s, followed by = and a value", a, strings.Join(known, ", "))
		}
		o[name] = value
	}
	return o, nil
}
