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

// waitLimit bounds a wait for something that must happen and whose duration is not part of a promise.
const waitLimit = 90 * time.Second

// reply is what came of a request of a caller.
type reply struct {
	answer caller.Answer
	// broken is why no whole answer came.
	broken error
	asked  bool
}

// job is a word that runs in the background.
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

	mu       sync.Mutex
	daemons  []string
	services []string
	engines  []string
	keys     map[string]string
	turns    map[string][]turn
	jobs     map[string]*job
	loads    map[string]*load
	settings map[string]map[string]string // further settings by daemon
	watched  []string                     // faults that were seen besides the script's own checks
	notes    []string
	arrivals map[string]int // requests at targets, by notenew
	// readyOnce holds the processes that have been ready.
	readyOnce map[string]*cluster.Process
	moments   map[string]time.Time
	// setenv sets a variable of the script.
	setenv func(name, value string)
	last   reply
}

// word is a command of the language. A word that makes a request leaves its result in out.
type word func(w *world, out *reply, args []string) error

// words returns all words but the ones that run others.
func words() map[string]word {
	return map[string]word{
		"platform": (*world).platform, "standin": (*world).standin, "target": (*world).target, "daemon": (*world).daemon,
		"settled": (*world).settled, "owner": (*world).owner, "publish": (*world).publish, "key": (*world).key,
		"crash": (*world).crash, "pause": (*world).pause, "continue": (*world).resume, "terminate": (*world).terminate,
		"leave": (*world).leave, "fault": (*world).fault, "cut": (*world).cut, "heal": (*world).heal,
		"disturb": (*world).disturb, "chat": (*world).chat, "call": (*world).call, "end": (*world).end,
		"raw": (*world).raw, "expect": (*world).expect, "runs": (*world).runs, "arrived": (*world).arrived,
		"history": (*world).history, "load": (*world).load, "finish": (*world).finishLoad, "status": (*world).status,
		"revision": (*world).revision, "watch": (*world).watch, "append": (*world).appendRaw, "output": (*world).output,
		"peertalk": (*world).peerTalk, "await": (*world).await, "sleep": (*world).sleep, "answered": (*world).answered,
		"calling": (*world).calling, "owned": (*world).owned,
		"drain": (*world).drain, "ended": (*world).ended,
		"notenew": (*world).noteNew, "nothingnew": (*world).nothingNew, "accepted": (*world).accepted, "queued": (*world).queued, "inflight": (*world).inFlight,
		"revisionof": (*world).revisionOf, "exactlyone": (*world).exactlyOne, "invalid": (*world).invalid,
		"moment": (*world).moment, "windows": (*world).windows, "ranafter": (*world).ranAfter, "limits": (*world).setLimits,
		"spent": (*world).spent, "cached": (*world).cached, "uncached": (*world).uncached, "died": (*world).died, "spentout": (*world).spentOut, "quarantinedat": (*world).quarantinedAt, "fenced": (*world).fenced,
	}
}

// commands returns the words for testscript.
func commands() map[string]func(*testscript.TestScript, bool, []string) {
	all := map[string]func(*testscript.TestScript, bool, []string){
		"background": func(ts *testscript.TestScript, neg bool, args []string) { run(ts, neg, "background", args) },
		"eventually": func(ts *testscript.TestScript, neg bool, args []string) { run(ts, neg, "eventually", args) },
	}
	for name := range words() {
		all[name] = func(ts *testscript.TestScript, neg bool, args []string) { run(ts, neg, name, args) }
	}
	return all
}

// worldKey is the key of the world among a script's values.
type worldKey struct{}

// setUp gives a script a world without processes, which end with the script.
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
		settings: map[string]map[string]string{}, arrivals: map[string]int{}, moments: map[string]time.Time{},
		readyOnce: map[string]*cluster.Process{},
	}
	env.Values[worldKey{}] = w
	env.Defer(func() {
		cancel()
		fault := w.checkAtEnd()
		endProcesses()
		endLinks()
		w.tasks.Wait()
		for _, n := range w.notes {
			env.T().Log(n)
		}
		if err := errors.Join(fault, w.checkOutputs()); err != nil {
			env.T().Log("in every scenario: " + err.Error())
			env.T().FailNow()
		}
	})
	return nil
}

func run(ts *testscript.TestScript, neg bool, name string, args []string) {
	w := ts.Value(worldKey{}).(*world)
	w.setenv = ts.Setenv
	out := &reply{}
	err := w.do(out, append([]string{name}, args...))
	if out.asked {
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

// do runs one word.
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
	f, ok := words()[args[0]]
	if !ok {
		return fmt.Errorf("unknown word %q", args[0])
	}
	return f(w, out, args[1:])
}

// note keeps a line for the test's output; words in the background may not write to the script's log.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notes = append(w.notes, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// background NAME WORD ARGS...: runs a word until `await NAME`.
func (w *world) background(args []string) error {
	if len(args) < 2 {
		return errors.New("usage: background NAME WORD [ARG]")
	}
	j := &job{done: make(chan struct{})}
	w.jobs[args[0]] = j
	w.tasks.Go(func() {
		defer close(j.done)
		j.err = w.do(&j.out, args[1:])
	})
	return nil
}

// await NAME: waits for a word in the background; its reply is the one that expect looks at.
func (w *world) await(out *reply, args []string) error {
	if err := need(args, 1, "await NAME"); err != nil {
		return err
	}
	j := w.jobs[args[0]]
	if j == nil {
		return fmt.Errorf("nothing runs as %q", args[0])
	}
	select {
	case <-j.done:
	case <-time.After(waitLimit):
		return fmt.Errorf("%q has not ended within %s", args[0], waitLimit)
	}
	*out = j.out
	return j.err
}

// eventually DURATION WORD ARGS...: repeats a word until it succeeds.
func (w *world) eventually(out *reply, args []string) error {
	if len(args) < 2 {
		return errors.New("usage: eventually DURATION WORD [ARG]")
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
			return fmt.Errorf("not within %s: %w", within, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// sleep DURATION: for a stated time that is itself the condition, such as a pause longer than a lease.
func (w *world) sleep(_ *reply, args []string) error {
	if err := need(args, 1, "sleep DURATION"); err != nil {
		return err
	}
	d, err := time.ParseDuration(args[0])
	time.Sleep(d)
	return err
}

func need(args []string, n int, usage string) error {
	if len(args) < n {
		return errors.New("usage: " + usage)
	}
	return nil
}

// options splits arguments NAME=VALUE off.
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
