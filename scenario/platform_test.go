package scenario_test

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/scenario/cluster"
)

// The names that platform uses; they are those of the examples.
const (
	brainPool = "design-brain"
	deskPool  = "order-desk"
	studio    = "accra-studio"
	mainKey   = "main"
)

// slotCount is lower than the default so that a start needs fewer records; it is the same at every daemon.
const slotCount = 16

var zones = []ids.Zone{"osu", "tema", "madina"}

// platform [daemons=3] [engines=2] [services=2] [speed=20] [SECTION.KEY=VALUE...]: starts the stand-ins that are not
// started yet, targets, and daemons entry-1 and so on, publishes the examples, gives a key and waits until all is ready.
func (w *world) platform(_ *reply, args []string) error {
	o, err := options(args)
	if err != nil {
		return err
	}
	count := map[string]int{"daemons": 3, "engines": 2, "services": 2}
	for name := range count {
		if text, ok := o[name]; ok {
			if count[name], err = strconv.Atoi(text); err != nil {
				return err
			}
			delete(o, name)
		}
	}
	speed := "20"
	if s, ok := o["speed"]; ok {
		speed = s
		delete(o, "speed")
	}
	for _, name := range []string{"log", "list"} {
		if w.cluster.Process(name) == nil {
			if _, err := w.cluster.Standin(name, name); err != nil {
				return err
			}
		}
	}
	for i := range count["engines"] {
		if err := w.startTarget(fmt.Sprintf("brain-%d", i+1), "engine", brainPool, zones[i%len(zones)], "--speed", speed); err != nil {
			return err
		}
	}
	for i := range count["services"] {
		if err := w.startTarget(fmt.Sprintf("desk-%d", i+1), "service", deskPool, zones[i%len(zones)]); err != nil {
			return err
		}
	}
	if err := w.publishExamples(); err != nil {
		return err
	}
	for i := range count["daemons"] {
		if err := w.startDaemon(fmt.Sprintf("entry-%d", i+1), zones[i%len(zones)], o); err != nil {
			return err
		}
	}
	if count["daemons"] == 0 {
		return nil
	}
	return w.settled(nil, nil)
}

func (w *world) publishExamples() error {
	examples := filepath.Join("..", "examples")
	for _, f := range []string{"templates/design.ini", "workspaces/accra-studio.ini", "workspaces/kumasi-prints.ini"} {
		if err := w.publish(nil, []string{filepath.Join(examples, f), "--expect-new"}); err != nil {
			return err
		}
	}
	return w.key(nil, []string{"give", studio, mainKey})
}

// standin KIND [FLAG...]: starts the stand-in log or list.
func (w *world) standin(_ *reply, args []string) error {
	if err := need(args, 1, "standin log|list [FLAG...]"); err != nil {
		return err
	}
	_, err := w.cluster.Standin(args[0], args[0], args[1:]...)
	return err
}

// target ID KIND POOL ZONE [FLAG...]: starts an engine or a service and lists it.
func (w *world) target(_ *reply, args []string) error {
	if err := need(args, 4, "target ID engine|service POOL ZONE [FLAG...]"); err != nil {
		return err
	}
	return w.startTarget(args[0], args[1], ids.PoolID(args[2]), ids.Zone(args[3]), args[4:]...)
}

func (w *world) startTarget(id, kind string, pool ids.PoolID, zone ids.Zone, flags ...string) error {
	if _, err := w.cluster.Target(id, kind, pool, zone, flags...); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if kind == "engine" && !slices.Contains(w.engines, id) {
		w.engines = append(w.engines, id)
	}
	if kind == "service" && !slices.Contains(w.services, id) {
		w.services = append(w.services, id)
	}
	return nil
}

// daemon ID ZONE [SECTION.KEY=VALUE...]: starts a daemon and lists it.
func (w *world) daemon(_ *reply, args []string) error {
	if err := need(args, 2, "daemon ID ZONE [SECTION.KEY=VALUE...]"); err != nil {
		return err
	}
	o, err := options(args[2:])
	if err != nil {
		return err
	}
	return w.startDaemon(args[0], ids.Zone(args[1]), o)
}

func (w *world) startDaemon(id string, zone ids.Zone, o map[string]string) (err error) {
	logService, list := w.cluster.Process("log"), w.cluster.Process("list")
	if logService == nil || list == nil {
		return errors.New("start the stand-ins log and list first")
	}
	d := cluster.DaemonOptions{ID: ids.InstanceID(id), Zone: zone, Settings: map[string]string{}}
	if d.Log, err = w.links.Address(id, "log", logService.Address); err != nil {
		return err
	}
	if d.List, err = w.links.ServeList(id, list.Address); err != nil {
		return err
	}
	all := map[string]string{"ownership.lease": "2s", "ownership.suspectAfter": "1s", "ownership.slots": strconv.Itoa(slotCount)}
	maps.Copy(all, o)
	for name, value := range all {
		section, key, ok := strings.Cut(name, ".")
		if !ok {
			return fmt.Errorf("setting %q has no section", name)
		}
		d.Settings[section] += key + " = " + value + "\n"
	}
	if _, err = w.cluster.Daemon(d); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settings[id] = o
	if !slices.Contains(w.daemons, id) {
		w.daemons = append(w.daemons, id)
	}
	return nil
}

func (w *world) settingsOf(id string) map[string]string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.settings[id]
}

// publish FILE [FLAG...]: publishes a document as an operator does.
func (w *world) publish(_ *reply, args []string) error {
	if err := need(args, 1, "publish FILE [FLAG...]"); err != nil {
		return err
	}
	file := args[0]
	if !strings.HasPrefix(file, "..") {
		file = filepath.Join(w.dir, file)
	}
	_, err := w.command(append([]string{"publish", "--log", w.cluster.Process("log").Address}, append(args[1:], file)...)...)
	return err
}

// command runs the command line; its output is in the files stdout and stderr of the script's directory.
func (w *world) command(args ...string) (stdout string, err error) {
	stdout, err = w.cluster.Command(w.ctx, args...)
	text := ""
	if err != nil {
		text = err.Error()
	}
	return stdout, errors.Join(err, os.WriteFile(filepath.Join(w.dir, "command.err"), []byte(text), 0o600))
}

// key give|withdraw WORKSPACE LABEL: makes a key, which requests then choose by as=LABEL, or withdraws it.
func (w *world) key(_ *reply, args []string) error {
	if err := need(args, 3, "key give|withdraw WORKSPACE LABEL"); err != nil {
		return err
	}
	out, err := w.command("key", args[0], "--log", w.cluster.Process("log").Address, "--label", args[2], args[1])
	if err != nil || args[0] != "give" {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.keys[args[2]] = strings.TrimSpace(out)
	return nil
}

// settled: waits until every running daemon is ready and knows an owner of every slot.
func (w *world) settled(_ *reply, _ []string) error {
	for end := time.Now().Add(waitLimit); ; time.Sleep(20 * time.Millisecond) {
		err := w.unsettled()
		if err == nil {
			return nil
		}
		if time.Now().After(end) {
			return err
		}
	}
}

func (w *world) unsettled() error {
	for _, id := range w.live() {
		s, err := w.stateOf(id)
		if err != nil {
			return err
		}
		owned := 0
		for _, n := range s.fleet.Owners {
			owned += n
		}
		if !s.ready || owned < slotCount || len(s.fleet.Draining) > 0 {
			return fmt.Errorf("%s is not settled: ready %t, owners %v", id, s.ready, s.fleet.Owners)
		}
		for _, slot := range s.slots {
			if !slot.Ready {
				return fmt.Errorf("slot %d of %s is not open", slot.Slot, id)
			}
		}
	}
	return nil
}

// live returns the daemons that run, paused ones too.
func (w *world) live() (names []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range w.daemons {
		if p := w.cluster.Process(id); p != nil && !p.Exited() {
			names = append(names, id)
		}
	}
	return names
}
