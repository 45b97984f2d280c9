package scenario_test

import (
	"bytes"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/comfreylink/comfreylink/scenario/caller"
	"github.com/comfreylink/comfreylink/standin/engine/prefix"
)

// serviceRuns is what a service stand-in says of its runs.
type serviceRuns struct {
	Runs []struct {
		Key           string `json:"key"`
		Workspace     string `json:"workspace"`
		Fence         int64  `json:"fence"`
		ArrivedMs     int64  `json:"arrivedMs"`
		Authorization bool   `json:"authorization"`
	} `json:"runs"`
	Refused int `json:"refused"`
}

// engineRuns is what an engine stand-in says of its runs.
type engineRuns struct {
	Runs []struct {
		Workspace string `json:"workspace"`
		Program   string `json:"program"`
		Prompt    int    `json:"promptTokens"`
		Generated int    `json:"generatedTokens"`
		ArrivedMs int64  `json:"arrivedMs"`
	} `json:"runs"`
	Authorization int `json:"authorization"`
}

// countRuns returns how often the services ran each key.
func (w *world) countRuns() (counts map[string]int, err error) {
	counts = map[string]int{}
	for _, id := range w.services {
		var r serviceRuns
		if err := w.cluster.Get(id, "/runs", &r); err != nil {
			return nil, err
		}
		for _, run := range r.Runs {
			counts[run.Key]++
		}
	}
	return counts, nil
}

// runs KEY COUNT: checks how often the services ran a key; a range is MIN..MAX.
func (w *world) runs(_ *reply, args []string) error {
	if err := need(args, 2, "runs KEY COUNT"); err != nil {
		return err
	}
	counts, err := w.countRuns()
	if err != nil {
		return err
	}
	low, high, isRange := strings.Cut(args[1], "..")
	if !isRange {
		high = low
	}
	least, err1 := strconv.Atoi(low)
	most, err2 := strconv.Atoi(high)
	if err := errors.Join(err1, err2); err != nil {
		return err
	}
	if n := counts[args[0]]; n < least || n > most {
		return fmt.Errorf("the services ran %q %d times, want %s", args[0], n, args[1])
	}
	return nil
}

// inFlight ENGINE COUNT: checks that an engine runs at least so many requests now.
func (w *world) inFlight(_ *reply, args []string) error {
	if err := need(args, 2, "inflight ENGINE COUNT"); err != nil {
		return err
	}
	var load struct {
		Running int `json:"running"`
		Waiting int `json:"waiting"`
	}
	if err := w.cluster.Get(args[0], "/v1/load", &load); err != nil {
		return err
	}
	if want, err := strconv.Atoi(args[1]); err != nil || load.Running+load.Waiting < want {
		return fmt.Errorf("%s runs %d requests, want %s", args[0], load.Running+load.Waiting, args[1])
	}
	return nil
}

// arrived TARGET,TARGET... COUNT: checks how many requests targets have run or run.
func (w *world) arrived(_ *reply, args []string) error {
	if err := need(args, 2, "arrived TARGET,TARGET... COUNT"); err != nil {
		return err
	}
	n := 0
	for id := range strings.SplitSeq(args[0], ",") {
		count, err := w.arrivedAt(id)
		if err != nil {
			return err
		}
		n += count
	}
	if strconv.Itoa(n) != args[1] {
		return fmt.Errorf("%s have %d runs, want %s", args[0], n, args[1])
	}
	return nil
}

// arrivedAt returns how many requests a target has run or runs.
func (w *world) arrivedAt(id string) (n int, err error) {
	var r struct {
		Runs []json.RawMessage `json:"runs"`
	}
	err = w.cluster.Get(id, "/runs", &r)
	return len(r.Runs), err
}

// notenew TARGET...: notes how many requests have arrived at targets, for nothingnew.
func (w *world) noteNew(_ *reply, args []string) (err error) {
	for _, id := range args {
		if w.arrivals[id], err = w.arrivedAt(id); err != nil {
			return err
		}
	}
	return nil
}

// nothingnew TARGET...: checks that no request has arrived at targets since notenew.
func (w *world) nothingNew(_ *reply, args []string) error {
	for _, id := range args {
		n, err := w.arrivedAt(id)
		if err != nil {
			return err
		}
		if n != w.arrivals[id] {
			return fmt.Errorf("%s has got %d requests, of them %d since notenew", id, n, n-w.arrivals[id])
		}
	}
	return nil
}

// turn is a turn of a program that a daemon confirmed.
type turn struct {
	key, text, answer string
	messages          int
}

// noteTurn keeps a confirmed turn. A turn is kept once for its request key.
func (w *world) noteTurn(c caller.Chat, r reply) {
	if r.broken != nil || r.answer.Error != nil || r.answer.Status != 200 || c.Program == "" {
		return
	}
	t := turn{key: c.Key, text: c.Text, answer: r.answer.Text}
	_, _ = fmt.Sscanf(t.answer, "turn %d of %d messages", new(int), &t.messages)
	w.mu.Lock()
	defer w.mu.Unlock()
	known := slices.IndexFunc(w.turns[c.Program], func(o turn) bool { return o.key == t.key })
	switch {
	case known < 0:
		w.turns[c.Program] = append(w.turns[c.Program], t)
	case w.turns[c.Program][known].answer != t.answer:
		w.watched = append(w.watched, fmt.Sprintf("program %s, key %s: answered %.40q and later %.40q", c.Program, c.Key, w.turns[c.Program][known].answer, t.answer))
	}
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// history PROGRAM [TURNS]: checks that every confirmed turn of a program was answered by an engine that got exactly the
// turns before it, each once and in order. The engines' answers name the number of messages that they got, and a hash.
func (w *world) history(_ *reply, args []string) error {
	if err := need(args, 1, "history PROGRAM [TURNS]"); err != nil {
		return err
	}
	w.mu.Lock()
	turns := slices.Clone(w.turns[args[0]])
	w.mu.Unlock()
	slices.SortStableFunc(turns, func(a, b turn) int { return a.messages - b.messages })
	var all []json.RawMessage
	for i, t := range turns {
		all = appendMessage(all, "user", t.text)
		greeting, err := prefix.Greeting(all)
		if err != nil {
			return err
		}
		if !strings.HasPrefix(t.answer, greeting) {
			return fmt.Errorf("turn %d of %s, key %s: the answer begins %.40q, want %q", i+1, args[0], t.key, t.answer, greeting)
		}
		all = appendMessage(all, "assistant", t.answer)
	}
	if len(args) > 1 && args[1] != strconv.Itoa(len(turns)) {
		return fmt.Errorf("%d turns of %s are confirmed, want %s", len(turns), args[0], args[1])
	}
	return nil
}

func appendMessage(all []json.RawMessage, role, content string) []json.RawMessage {
	data, err := json.Marshal(message{role, content})
	if err != nil {
		panic(err) // strings can always be encoded
	}
	return append(all, data)
}

// output NAME TEXT...: checks that a process's output contains texts.
func (w *world) output(_ *reply, args []string) error {
	if err := need(args, 2, "output NAME TEXT..."); err != nil {
		return err
	}
	data, err := os.ReadFile(filepath.Join(w.dir, args[0]+".log"))
	if err != nil {
		return err
	}
	for _, text := range args[1:] {
		if !strings.Contains(string(data), text) {
			return fmt.Errorf("the output of %s has no %q", args[0], text)
		}
	}
	return nil
}

// peerTalk DAEMON TEXT: sends bytes to a daemon's port for peers; the daemon must close the connection.
func (w *world) peerTalk(_ *reply, args []string) error {
	if err := need(args, 2, "peertalk DAEMON TEXT|tls"); err != nil {
		return err
	}
	p := w.cluster.Process(args[0])
	if p == nil {
		return fmt.Errorf("no daemon %q", args[0])
	}
	conn, err := net.Dial("tcp", p.Peers)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(waitLimit))
	if args[1] == "tls" {
		conn = tls.Client(conn, &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13})
	}
	if _, err := conn.Write([]byte(args[1])); err != nil {
		return nil // refused in the handshake
	}
	for buf := make([]byte, 1024); ; {
		if _, err := conn.Read(buf); err != nil {
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				return errors.New("the connection stays open")
			}
			return nil
		}
	}
}

// checkAtEnd checks what must hold in every scenario, while the processes still run.
func (w *world) checkAtEnd() error {
	w.mu.Lock()
	errs := make([]error, 0, len(w.watched))
	for _, text := range w.watched {
		errs = append(errs, errors.New(text))
	}
	w.mu.Unlock()
	for _, id := range w.services {
		var r serviceRuns
		if w.running(id) && w.cluster.Get(id, "/runs", &r) == nil {
			for _, run := range r.Runs {
				if run.Authorization {
					errs = append(errs, fmt.Errorf("%s saw an Authorization header", id))
				}
			}
		}
	}
	for _, id := range w.engines {
		var r engineRuns
		if w.running(id) && w.cluster.Get(id, "/runs", &r) == nil && r.Authorization > 0 {
			errs = append(errs, fmt.Errorf("%s saw %d Authorization headers", id, r.Authorization))
		}
	}
	for _, id := range w.live() {
		for _, path := range []string{"/status", "/dump", "/metrics"} {
			if _, body, err := w.admin(id, path); err == nil {
				errs = append(errs, w.checkSecrets(id+path, body))
			}
		}
	}
	return errors.Join(errs...)
}

func (w *world) running(id string) bool {
	p := w.cluster.Process(id)
	return p != nil && !p.Exited()
}

// checkSecrets checks that no key, and no hash of one, is in a text.
func (w *world) checkSecrets(where string, text []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for label, key := range w.keys {
		if key != "" && bytes.Contains(text, []byte(key)) {
			return fmt.Errorf("%s shows the key %s", where, label)
		}
	}
	return nil
}

// checkOutputs checks the processes' outputs: they hold no key, no fault of Go and no data race.
func (w *world) checkOutputs() error {
	files, err := filepath.Glob(filepath.Join(w.dir, "*.log"))
	if err != nil {
		return err
	}
	errs := make([]error, 0, len(files))
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			return err
		}
		errs = append(errs, w.checkSecrets(filepath.Base(f), data))
		for _, bad := range []string{"DATA RACE", "panic:", "fatal error:", "internalError"} {
			if at := bytes.Index(data, []byte(bad)); at >= 0 {
				errs = append(errs, fmt.Errorf("the output of %s has %q:\n%.4000s", filepath.Base(f), bad, data[at:]))
			}
		}
	}
	return errors.Join(errs...)
}
