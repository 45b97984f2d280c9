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

// stopWithin bounds a planned stop; it is above the daemons' drain timeout of 2 minutes by nothing that a scenario needs.
const stopWithin = 60 * time.Second

// crash NAME...: ends processes without warning. Daemons stay in the instance list, which lags.
func (w *world) crash(_ *reply, args []string) error { return each(args, w.cluster.Kill) }

// pause NAME...: stops processes until continue.
func (w *world) pause(_ *reply, args []string) error { return each(args, w.cluster.Pause) }

// continue NAME...: lets paused processes run on.
func (w *world) resume(_ *reply, args []string) error { return each(args, w.cluster.Continue) }

// terminate NAME...: asks processes for a planned stop and waits for their end with exit code 0.
func (w *world) terminate(_ *reply, args []string) error {
	return each(args, func(name string) error { return w.cluster.Terminate(name, stopWithin) })
}

func each(names []string, f func(string) error) error {
	if len(names) == 0 {
		return errors.New("no process is named")
	}
	var errs []error
	for _, n := range names {
		errs = append(errs, f(n))
	}
	return errors.Join(errs...)
}

// drain NAME: asks a daemon, by the command line, or an engine to leave by itself.
func (w *world) drain(_ *reply, args []string) error {
	if err := need(args, 1, "drain NAME"); err != nil {
		return err
	}
	if slices.Contains(w.engines, args[0]) {
		return w.cluster.Post(args[0], "/v1/drain", nil)
	}
	p := w.cluster.Process(args[0])
	if p == nil {
		return fmt.Errorf("no process %q", args[0])
	}
	_, err := w.command("drain", "--admin", p.Admin)
	return err
}

// ended NAME: checks that a process has ended.
func (w *world) ended(_ *reply, args []string) error {
	if err := need(args, 1, "ended NAME"); err != nil {
		return err
	}
	if w.running(args[0]) {
		return fmt.Errorf("%s still runs", args[0])
	}
	return nil
}

// leave TARGET POOL: marks a target as leaving in the instance list.
func (w *world) leave(_ *reply, args []string) error {
	if err := need(args, 2, "leave TARGET POOL"); err != nil {
		return err
	}
	i := cluster.Instance{ID: args[0], Kind: "target", Zone: zones[0], State: "leaving", Address: w.cluster.Process(args[0]).Address}
	i.Pool = brainPool
	if args[1] != brainPool {
		i.Pool = deskPool
	}
	return w.cluster.Register(i)
}

// fault NAME JSON: switches the faults of a stand-in.
func (w *world) fault(_ *reply, args []string) error {
	if err := need(args, 2, "fault NAME JSON"); err != nil {
		return err
	}
	return w.cluster.Fault(args[0], json.RawMessage(args[1]))
}

// cut A B: holds back everything between two daemons, or between a daemon and log or list. B may be all.
func (w *world) cut(_ *reply, args []string) error {
	return w.gates(args, "cut A B", func(from, to string) { w.links.Gate(from, to).Cut() })
}

// heal A B: undoes cut.
func (w *world) heal(_ *reply, args []string) error {
	return w.gates(args, "heal A B", func(from, to string) { w.links.Gate(from, to).Heal() })
}

func (w *world) gates(args []string, usage string, f func(from, to string)) error {
	if err := need(args, 2, usage); err != nil {
		return err
	}
	names := args[1:]
	if args[1] == "all" {
		names = append(w.live(), "log", "list")
	}
	for _, n := range names {
		if n != args[0] {
			f(args[0], n)
			f(n, args[0])
		}
	}
	return nil
}

// appendRaw STREAM TEXT: appends an entry to a stream of the log, past the daemons.
func (w *world) appendRaw(_ *reply, args []string) error {
	if err := need(args, 2, "append STREAM TEXT"); err != nil {
		return err
	}
	body, err := bodyOf(args[1])
	if err != nil {
		return err
	}
	return w.cluster.Post("log", "/v1/streams/"+args[0]+"/entries", body)
}

// seedVariable sets the seed of disturb, to repeat a run.
const seedVariable = "SCENARIO_SEED"

// disturb DURATION KINDS [SEED]: for a time, lets failures of the kinds (kill, pause, loseAnswers, outage, slowLog, cut)
// happen at random moments, one or two at a time. At its end all are over.
func (w *world) disturb(_ *reply, args []string) error {
	if err := need(args, 2, "disturb DURATION KIND,KIND... [SEED]"); err != nil {
		return err
	}
	during, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	seed := rand.Uint64()
	if text := os.Getenv(seedVariable); text != "" {
		if seed, err = strconv.ParseUint(text, 10, 64); err != nil {
			return err
		}
	}
	w.note("disturb: repeat with %s=%d", seedVariable, seed)
	r := rand.New(rand.NewPCG(seed, 0))
	kinds := strings.Split(args[1], ",")
	for end := time.Now().Add(during); time.Now().Before(end); {
		if err := w.disturbOnce(r, kinds); err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		time.Sleep(time.Duration(r.IntN(700)) * time.Millisecond)
	}
	return nil
}

func (w *world) disturbOnce(r *rand.Rand, kinds []string) error {
	chosen := []string{kinds[r.IntN(len(kinds))]}
	if second := kinds[r.IntN(len(kinds))]; r.IntN(2) == 0 && second != chosen[0] {
		chosen = append(chosen, second)
	}
	if slices.Contains(chosen, "kill") && slices.Contains(chosen, "pause") {
		chosen = chosen[:1] // a killed process cannot be paused
	}
	names := w.live()
	victim := names[r.IntN(len(names))]
	other := names[(slices.Index(names, victim)+1)%len(names)]
	// The lease of a scenario's daemons is 2 s: some failures outlast it and some do not.
	length := time.Duration(r.IntN(4500)) * time.Millisecond
	w.note("disturb: %v of %s for %s", chosen, victim, length)
	var errs []error
	for _, k := range chosen {
		errs = append(errs, w.begin(k, victim, other, r))
	}
	time.Sleep(length)
	for _, k := range chosen {
		errs = append(errs, w.finish(k, victim, other))
	}
	return errors.Join(errs...)
}

func (w *world) begin(kind, victim, other string, r *rand.Rand) error {
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
		return fmt.Errorf("unknown kind of failure %q", kind)
	}
}

func (w *world) finish(kind, victim, other string) error {
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
