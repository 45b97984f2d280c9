package scenario_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

var adminClient = http.Client{Timeout: 5 * time.Second}

// fleetState is the part "fleet" of a daemon's status page.
type fleetState struct {
	Lease    bool           `json:"leaseValid"`
	Owned    []ids.Slot     `json:"owned"`
	Owners   map[string]int `json:"slotsByOwner"`
	Draining []ids.Slot     `json:"draining"`
}

// slotState is an element of the part "slots".
type slotState struct {
	Slot  ids.Slot `json:"slot"`
	Ready bool     `json:"ready"`
	Calls int      `json:"calls"`
}

// configState is the part "config".
type configState struct {
	Revision ids.Revision `json:"revision"`
}

// daemonState holds what a daemon reports on /ready and /status.
type daemonState struct {
	ready  bool
	fleet  fleetState
	slots  []slotState
	config configState
	pools  map[string]poolState
}

// poolState is an element of the part "pools".
type poolState struct {
	Queued int `json:"queued"`
}

// admin reads a page of a daemon's admin server.
func (w *world) admin(id, path string) (status int, body []byte, err error) {
	p := w.cluster.Process(id)
	if p == nil || p.Admin == "" {
		return 0, nil, fmt.Errorf("no daemon %q", id)
	}
	resp, err := adminClient.Get("http://" + p.Admin + path)
	if err != nil {
		return 0, nil, err
	}
	defer func() { err = errors.Join(err, resp.Body.Close()) }()
	body, err = io.ReadAll(resp.Body)
	return resp.StatusCode, body, err
}

// stateOf reads the state of a daemon from its admin server.
func (w *world) stateOf(id string) (s daemonState, err error) {
	status, _, err := w.admin(id, "/ready")
	if err != nil {
		return s, err
	}
	s.ready = status == http.StatusOK
	_, data, err := w.admin(id, "/status")
	if err != nil {
		return s, err
	}
	var report struct {
		Parts []struct {
			Name  string          `json:"name"`
			State json.RawMessage `json:"state"`
		} `json:"parts"`
	}
	if err := json.Unmarshal(data, &report); err != nil {
		return s, err
	}
	into := map[string]any{"fleet": &s.fleet, "slots": &s.slots, "config": &s.config, "pools": &s.pools}
	for _, p := range report.Parts {
		if target, ok := into[p.Name]; ok {
			if err := json.Unmarshal(p.State, target); err != nil {
				return s, fmt.Errorf("part %s of %s: %w", p.Name, id, err)
			}
		}
	}
	return s, nil
}

// owner program|key|workspace ID [WORKSPACE]: sets OWNER to the daemon that owns the slot of a program, of a request without a
// program, or of a workspace. It sets OTHER and THIRD to other daemons, and STREAM to the slot's stream.
func (w *world) owner(_ *reply, args []string) error {
	if err := requireArgs(args, 2, "owner program|key|workspace ID [WORKSPACE]"); err != nil {
		return err
	}
	ws := ids.WorkspaceID(studio)
	if len(args) > 2 {
		ws = ids.WorkspaceID(args[2])
	}
	var slot ids.Slot
	switch args[0] {
	case "program":
		slot = ids.SlotOf(ws, ids.ProgramID(args[1]), slotCount)
	case "workspace":
		slot = ids.SlotOfWorkspace(ids.WorkspaceID(args[1]), slotCount)
	default:
		slot = ids.SlotOfKey(ws, ids.RequestKey(args[1]), slotCount)
	}
	names := w.runningDaemons()
	at := slices.IndexFunc(names, func(id string) bool {
		s, err := w.stateOf(id)
		return err == nil && slices.Contains(s.fleet.Owned, slot)
	})
	if at < 0 {
		return fmt.Errorf("no daemon reports that it owns slot %d", slot)
	}
	others := slices.Delete(slices.Clone(names), at, at+1)
	w.setenv("OWNER", names[at])
	w.setenv("STREAM", fmt.Sprintf("slot-%03d", slot))
	for i, name := range []string{"OTHER", "THIRD"} {
		if i < len(others) {
			w.setenv(name, others[i])
		}
	}
	return nil
}

// calling DAEMON COUNT: checks that a daemon runs at least COUNT calls as the owner of their slots.
func (w *world) calling(_ *reply, args []string) error {
	if err := requireArgs(args, 2, "calling DAEMON COUNT"); err != nil {
		return err
	}
	s, err := w.stateOf(args[0])
	if err != nil {
		return err
	}
	n := 0
	for _, slot := range s.slots {
		n += slot.Calls
	}
	if want, err := strconv.Atoi(args[1]); err != nil || n < want {
		return fmt.Errorf("%s runs %d calls, want at least %s", args[0], n, args[1])
	}
	return nil
}

// queued POOL COUNT: checks that at least COUNT calls, at all daemons together, wait for a target of a pool.
func (w *world) queued(_ *reply, args []string) error {
	if err := requireArgs(args, 2, "queued POOL COUNT"); err != nil {
		return err
	}
	want, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	n := 0
	for _, id := range w.runningDaemons() {
		s, err := w.stateOf(id)
		if err != nil {
			return err
		}
		n += s.pools[args[0]].Queued
	}
	if n < want {
		return fmt.Errorf("%d calls wait for a target of %s, want at least %d", n, args[0], want)
	}
	return nil
}

// owned DAEMON PROGRAM: checks that no other daemon reports that it owns the program's slot. Daemons may have read the log up to
// different offsets, and a daemon that does not answer is skipped.
func (w *world) owned(_ *reply, args []string) error {
	if err := requireArgs(args, 2, "owned DAEMON PROGRAM"); err != nil {
		return err
	}
	slot := ids.SlotOf(studio, ids.ProgramID(args[1]), slotCount)
	for _, id := range w.runningDaemons() {
		if id == args[0] {
			continue
		}
		s, err := w.stateOf(id)
		if err == nil && slices.Contains(s.fleet.Owned, slot) {
			return fmt.Errorf("%s owns slot %d", id, slot)
		}
	}
	return nil
}

// status DAEMON PATH TEXT...: checks that a page of a daemon's admin server contains each of the texts.
func (w *world) status(_ *reply, args []string) error {
	if err := requireArgs(args, 3, "status DAEMON PATH TEXT..."); err != nil {
		return err
	}
	_, body, err := w.admin(args[0], args[1])
	if err != nil {
		return err
	}
	for _, text := range args[2:] {
		if !strings.Contains(string(body), text) {
			return fmt.Errorf("%s of %s does not contain %q: %.2000s", args[1], args[0], text, body)
		}
	}
	return nil
}

// revision DAEMON...: checks that daemons have the highest configuration revision of all running daemons.
func (w *world) revision(_ *reply, args []string) error {
	var highest ids.Revision
	all := map[string]ids.Revision{}
	for _, id := range w.runningDaemons() {
		if s, err := w.stateOf(id); err == nil {
			all[id] = s.config.Revision
			highest = max(highest, s.config.Revision)
		}
	}
	for _, id := range args {
		if r, ok := all[id]; !ok || r != highest {
			return fmt.Errorf("%s has revision %d, not the highest of %v", id, r, all)
		}
	}
	return nil
}

// watch DAEMON...: polls the configuration revision of daemons until the script ends. The revision must never decrease.
func (w *world) watch(_ *reply, args []string) error {
	for _, id := range args {
		w.tasks.Go(func() { w.watchRevision(id) })
	}
	return nil
}

func (w *world) watchRevision(id string) {
	last := ids.NoRevision
	process := w.cluster.Process(id)
	for w.ctx.Err() == nil {
		if p := w.cluster.Process(id); p != process {
			process, last = p, ids.NoRevision // a restarted daemon begins without a revision
		}
		s, err := w.stateOf(id)
		if err == nil && s.config.Revision < last && w.cluster.Process(id) == process {
			w.mu.Lock()
			w.violations = append(w.violations, fmt.Sprintf("the configuration of %s went back from revision %d to %d", id, last, s.config.Revision))
			w.mu.Unlock()
		}
		if err == nil {
			last = s.config.Revision
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-w.ctx.Done():
		}
	}
}
