package scenario_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/comfreylink/comfreylink/scenario/cluster"
)

// stopTimeout limits a planned stop. It is shorter than the daemons' drain timeout of 2 minutes, which no scenario needs.
const stopTimeout = 60 * time.Second

// crash NAME...: kills processes with SIGKILL. Killed daemons stay in the instance list, as in a list that lags.
func (w *world) crash(_ *reply, args []string) error { return forEachName(args, w.cluster.Kill) }

// pause NAME...: suspends processes with SIGSTOP until continue.
func (w *world) pause(_ *reply, args []string) error { return forEachName(args, w.cluster.Pause) }

// continue NAME...: resumes paused processes.
func (w *world) resume(_ *reply, args []string) error { return forEachName(args, w.cluster.Continue) }

// hangup NAME...: sends SIGHUP to processes.
func (w *world) hangUp(_ *reply, args []string) error { return forEachName(args, w.cluster.HangUp) }

// terminate NAME...: sends SIGTERM to processes for a planned stop. Each must exit with code 0 within stopTimeout.
func (w *world) terminate(_ *reply, args []string) error {
	return forEachName(args, func(name string) error { return w.cluster.Terminate(name, stopTimeout) })
}

func forEachName(names []string, f func(string) error) error {
	if len(names) == 0 {
		return errors.New("usage: crash|pause|continue|hangup|terminate NAME...")
	}
	var errs []error
	for _, n := range names {
		errs = append(errs, f(n))
	}
	return errors.Join(errs...)
}

// drain NAME: drains a daemon by the command line, or an engine by a request to it.
func (w *world) drain(_ *reply, args []string) error {
	if err := requireArgs(args, 1, "drain NAME"); err != nil {
		return err
	}
	if slices.Contains(w.engines, args[0]) {
		return w.cluster.Post(args[0], "/v1/drain", nil)
	}
	p := w.cluster.Process(args[0])
	if p == nil {
		return fmt.Errorf("no process %q", args[0])
	}
	_, err := w.runCLI("drain", "--admin", p.Admin)
	return err
}

// ended NAME: checks that a process has ended.
func (w *world) ended(_ *reply, args []string) error {
	if err := requireArgs(args, 1, "ended NAME"); err != nil {
		return err
	}
	if w.running(args[0]) {
		return fmt.Errorf("%s is still running", args[0])
	}
	return nil
}

// leave TARGET POOL: marks a target as leaving in the instance list, without notice to the target.
func (w *world) leave(_ *reply, args []string) error {
	if err := requireArgs(args, 2, "leave TARGET POOL"); err != nil {
		return err
	}
	i := cluster.Instance{ID: args[0], Kind: "target", Zone: zones[0], State: "leaving", Address: w.cluster.Process(args[0]).Address}
	i.Pool = brainPool
	if args[1] != brainPool {
		i.Pool = deskPool
	}
	return w.cluster.Register(i)
}

// fault NAME JSON: sets the faults of a stand-in.
func (w *world) fault(_ *reply, args []string) error {
	if err := requireArgs(args, 2, "fault NAME JSON"); err != nil {
		return err
	}
	return w.cluster.Fault(args[0], json.RawMessage(args[1]))
}

// cut A B: holds back all bytes between two daemons, or between a daemon and the log or the list. The name all for B stands for
// every other daemon, log and list.
func (w *world) cut(_ *reply, args []string) error {
	return w.forEachLink(args, "cut A B", func(from, to string) { w.links.Gate(from, to).Cut() })
}

// heal A B: reverses a cut and delivers what was held back.
func (w *world) heal(_ *reply, args []string) error {
	return w.forEachLink(args, "heal A B", func(from, to string) { w.links.Gate(from, to).Heal() })
}

// forEachLink calls f for both directions of the link between args[0] and args[1], or all links of args[0].
func (w *world) forEachLink(args []string, usage string, f func(from, to string)) error {
	if err := requireArgs(args, 2, usage); err != nil {
		return err
	}
	names := args[1:]
	if args[1] == "all" {
		names = append(w.runningDaemons(), "log", "list")
	}
	for _, n := range names {
		if n != args[0] {
			f(args[0], n)
			f(n, args[0])
		}
	}
	return nil
}

// append STREAM TEXT: appends an entry to a stream of the log directly, without a daemon.
func (w *world) appendEntry(_ *reply, args []string) error {
	if err := requireArgs(args, 2, "append STREAM TEXT"); err != nil {
		return err
	}
	body, err := bodyOf(args[1])
	if err != nil {
		return err
	}
	return w.cluster.Post("log", "/v1/streams/"+args[0]+"/entries", body)
}

// seedVariable is the environment variable that sets the seed of disturb, to repeat a run.
const seedVariable = "SCENARIO_SEED"

// disturb DURATION KIND,KIND...: causes faults of the given kinds (see startFault) at random times for the duration, one or two
// at a time. All faults have ended when it returns. The seed is random unless seedVariable is set.
func (w *world) disturb(_ *reply, args []string) error {
	if err := requireArgs(args, 2, "disturb DURATION KIND,KIND..."); err != nil {
		return err
	}
	total, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	seed := rand.Uint64()
	if text := os.Getenv(seedVariable); text != "" {
		if seed, err = strconv.ParseUint(text, 10, 64); err != nil {
			return err
		}
	}
	w.logAtEnd("disturb: repeat with %s=%d", seedVariable, seed)
	r := rand.New(rand.NewPCG(seed, 0))
	kinds := strings.Split(args[1], ",")
	for end := time.Now().Add(total); time.Now().Before(end); {
		if err := w.disturbOnce(r, kinds); err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		time.Sleep(time.Duration(r.IntN(700)) * time.Millisecond)
	}
	return nil
}

// disturbOnce causes one or two faults at a random daemon and ends them after a random time.
func (w *world) disturbOnce(r *rand.Rand, kinds []string) error {
	chosen := []string{kinds[r.IntN(len(kinds))]}
	if second := kinds[r.IntN(len(kinds))]; r.IntN(2) == 0 && second != chosen[0] {
		chosen = append(chosen, second)
	}
	if slices.Contains(chosen, "kill") && slices.Contains(chosen, "pause") {
		chosen = chosen[:1] // a killed process cannot be paused
	}
	names := w.runningDaemons()
	victim := names[r.IntN(len(names))]
	other := names[(slices.Index(names, victim)+1)%len(names)]
	// The lease of a scenario's daemons is 2 s, so some faults last longer than the lease and some do not.
	duration := time.Duration(r.IntN(4500)) * time.Millisecond
	w.logAtEnd("disturb: %v at %s for %s", chosen, victim, duration)
	var errs []error
	for _, k := range chosen {
		errs = append(errs, w.startFault(k, victim, other, r))
	}
	time.Sleep(duration)
	for _, k := range chosen {
		errs = append(errs, w.endFault(k, victim, other))
	}
	return errors.Join(errs...)
}

// startFault starts a fault at the daemon victim, on its links, or at the log or a service.
func (w *world) startFault(kind, victim, other string, r *rand.Rand) error {
	switch kind {
	case "kill":
		return w.cluster.Kill(victim)
	case "pause":
		return w.cluster.Pause(victim)
	case "cut":
		return w.cut(nil, []string{victim, other})
	case "cutLog":
		return w.cut(nil, []string{victim, "log"})
	case "loseAnswers":
		return w.cluster.Fault("log", json.RawMessage(`{"loseAnswers":`+strconv.Itoa(1+r.IntN(8))+`}`))
	case "outage":
		return w.cluster.Fault("log", json.RawMessage(`{"outage":true}`))
	case "appendOutage":
		return w.cluster.Fault("log", json.RawMessage(`{"appendOutage":true}`))
	case "slowLog":
		return w.cluster.Fault("log", json.RawMessage(`{"delayMs":`+strconv.Itoa(r.IntN(600))+`}`))
	case "cutService":
		return w.cluster.Fault(w.services[r.IntN(len(w.services))], json.RawMessage(`{"closeAfter":true,"next":2}`))
	default:
		return fmt.Errorf("unknown kind of fault %q", kind)
	}
}

// endFault ends a fault of startFault. The fault cutService ends by itself after two requests.
func (w *world) endFault(kind, victim, other string) error {
	switch kind {
	case "kill":
		return w.startDaemon(victim, zones[0], w.settingsOf(victim))
	case "pause":
		if w.cluster.Process(victim).Exited() {
			return nil
		}
		return w.cluster.Continue(victim)
	case "cut":
		return w.heal(nil, []string{victim, other})
	case "cutLog":
		return w.heal(nil, []string{victim, "log"})
	case "outage", "slowLog", "loseAnswers", "appendOutage":
		return w.cluster.Fault("log", json.RawMessage(`{"outage":false,"delayMs":0,"loseAnswers":0,"appendOutage":false}`))
	}
	return nil
}
