package scenario_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/comfreylink/comfreylink/scenario/caller"
)

// load is a number of callers that make requests until finish.
type load struct {
	kind, name string
	as         string
	retry      bool
	balanced   bool // requests go only to daemons that have been ready, as behind a load balancer
	stream     bool
	deadline   time.Duration
	turns      <-chan time.Time // a request is made for each; nil: at once
	stopped    chan struct{}
	workers    sync.WaitGroup

	mu       sync.Mutex
	requests []loadRequest
}

// loadRequest is one request with all the answers to its repetitions.
type loadRequest struct {
	key     string
	program string
	replies []reply
}

// load NAME KIND [workers=4] [retry=true] [deadline=20s] [tokens=8] [as=LABEL] [every=DURATION] [balanced=true]
// [stream=true]: starts callers that make
// requests at all daemons in turn. KIND call: non-idempotent service requests. KIND get: repeatable ones. KIND chat:
// streamed turns, each caller with a program of its own. With retry=false, a request is made once and not repeated. With
// every, the callers together make one request in this time, as long as one of them is free. With
// balanced, requests go only to daemons that have been ready.
func (w *world) load(_ *reply, args []string) error {
	if err := need(args, 2, "load NAME call|get|chat [OPTION=VALUE...]"); err != nil {
		return err
	}
	o, err := options(args[2:], "workers", "retry", "deadline", "tokens", "as", "every", "balanced", "stream")
	if err != nil {
		return err
	}
	workers, err1 := strconv.Atoi(cmp.Or(o["workers"], "4"))
	deadline, err2 := time.ParseDuration(cmp.Or(o["deadline"], "20s"))
	if err := errors.Join(err1, err2); err != nil {
		return err
	}
	l := &load{kind: args[1], name: args[0], as: cmp.Or(o["as"], mainKey), retry: o["retry"] != "false", balanced: o["balanced"] == "true", stream: o["stream"] != "false", deadline: deadline, stopped: make(chan struct{})}
	if text, ok := o["every"]; ok {
		every, err := time.ParseDuration(text)
		if err != nil {
			return err
		}
		ticker := time.NewTicker(every)
		l.turns = ticker.C
		context.AfterFunc(w.ctx, ticker.Stop)
	}
	w.loads[args[0]] = l
	for i := range workers {
		l.workers.Go(func() { w.work(l, i, cmp.Or(o["tokens"], "8")) })
	}
	return nil
}

// turnsPerProgram is below the limit of turns in the example template.
const turnsPerProgram = 100

func (w *world) work(l *load, worker int, tokens string) {
	who := &caller.Caller{Key: w.keys[l.as], HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: worker%2 == 0}}}
	for n := 0; ; n++ {
		select {
		case <-l.stopped:
			return
		case <-w.ctx.Done():
			return
		default:
		}
		if l.turns != nil {
			select {
			case <-l.turns:
			case <-l.stopped:
				return
			}
		}
		program := fmt.Sprintf("%s-%d.%d", l.name, worker, n/turnsPerProgram)
		r := loadRequest{key: fmt.Sprintf("%s-%d", program, n), program: program}
		w.repeat(l, &r, who, worker+n, tokens)
		l.mu.Lock()
		l.requests = append(l.requests, r)
		l.mu.Unlock()
	}
}

// repeat makes a request, and repeats it at other daemons until its outcome is known.
func (w *world) repeat(l *load, r *loadRequest, who *caller.Caller, first int, tokens string) {
	for attempt, end := 0, time.Now().Add(waitLimit); ; attempt++ {
		names := w.live()
		if l.balanced {
			names = slices.DeleteFunc(names, func(id string) bool { return !w.wasReady(id) })
		}
		if len(names) == 0 {
			time.Sleep(10 * time.Millisecond)
			if w.ctx.Err() != nil || time.Now().After(end) {
				return
			}
			continue
		}
		p := w.cluster.Process(names[(first+attempt)%len(names)])
		if p == nil || w.ctx.Err() != nil {
			return
		}
		reply := w.once(l, r, who, p.Address, tokens)
		if errors.Is(reply.broken, errNotConnected) {
			time.Sleep(10 * time.Millisecond) // as a load balancer does, which never shows this to its caller
			continue
		}
		r.replies = append(r.replies, reply)
		if !l.retry || reply.decided() || time.Now().After(end) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// wasReady reports whether a daemon has been ready since its start.
func (w *world) wasReady(id string) bool {
	p := w.cluster.Process(id)
	w.mu.Lock()
	known := w.readyOnce[id] == p
	w.mu.Unlock()
	if known {
		return true
	}
	status, _, err := w.admin(id, "/ready")
	if err != nil || status != http.StatusOK {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.readyOnce[id] = p
	return true
}

// errNotConnected marks a request that was not sent, since nothing listened.
var errNotConnected = errors.New("connection refused")

func (w *world) once(l *load, r *loadRequest, who *caller.Caller, address, tokens string) (out reply) {
	out.asked = true
	if method, ok := map[string]string{"call": http.MethodPost, "get": http.MethodGet}[l.kind]; ok {
		out.answer, out.broken = who.Do(w.ctx, caller.Request{
			Method: method, URL: "http://" + address + "/services/" + deskPool + "/prints", Key: r.key, Deadline: l.deadline,
			// Requests with the same content would be quarantined together when services break off.
			Body: []byte(`{"order":"` + r.key + `"}`),
		})
	} else {
		count, _ := strconv.Atoi(tokens)
		c := caller.Chat{Program: r.program, Key: r.key, Model: brainPool, Text: "text of " + r.key, Tokens: count, Stream: l.stream, Deadline: l.deadline}
		out.answer, out.broken = who.Chat(w.ctx, address, c)
		w.noteTurn(c, out)
	}
	if out.broken != nil && strings.Contains(out.broken.Error(), errNotConnected.Error()) {
		out.broken = errNotConnected
	}
	return out
}

// finish NAME CHECK...: ends a load and checks what came of it. Checks: once (no key ran twice; a key that was answered
// ran, a key whose answers all said notRun did not), clean (every request was answered the first time), histories (the
// history of every program is whole), some (at least one request was answered), admitted (no answer was a refusal), served
// (every request was answered in the end, and none was refused as quarantined).
func (w *world) finishLoad(_ *reply, args []string) error {
	if err := need(args, 1, "finish NAME CHECK..."); err != nil {
		return err
	}
	l := w.loads[args[0]]
	if l == nil {
		return fmt.Errorf("no load %q", args[0])
	}
	close(l.stopped)
	l.workers.Wait()
	w.note("load %s: %s", l.name, l.summary())
	checks := map[string]func(*load) error{"once": w.checkOnce, "clean": w.checkClean, "histories": w.checkHistories, "some": w.checkSome, "admitted": w.checkAdmitted, "served": w.checkServed}
	for _, name := range args[1:] {
		check, ok := checks[name]
		if !ok {
			return fmt.Errorf("unknown check %q", name)
		}
		if err := check(l); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// summary counts the last answers.
func (l *load) summary() string {
	counts := map[string]int{}
	for _, r := range l.requests {
		counts[outcomeOf(r)]++
	}
	return fmt.Sprintf("%d requests, %v", len(l.requests), counts)
}

func outcomeOf(r loadRequest) string {
	if len(r.replies) == 0 {
		return "unsent"
	}
	last := r.replies[len(r.replies)-1]
	switch {
	case last.broken != nil:
		return "broken"
	case last.answer.Error != nil:
		return last.answer.Error.Code + "/" + last.answer.Error.Run
	}
	return strconv.Itoa(last.answer.Status)
}

func (w *world) checkOnce(l *load) error {
	counts, err := w.countRuns()
	if err != nil {
		return err
	}
	for _, r := range l.requests {
		n := counts[r.key]
		answered, refused := false, 0
		for _, reply := range r.replies {
			answered = answered || reply.broken == nil && reply.answer.Error == nil && reply.answer.Status == http.StatusOK
			if reply.broken == nil && reply.answer.Error != nil && reply.answer.Error.Run == "notRun" {
				refused++
			}
		}
		switch {
		case n > 1:
			return fmt.Errorf("key %s ran %d times; answers: %v", r.key, n, r.replies)
		case answered && n == 0:
			return fmt.Errorf("key %s was answered and did not run; answers: %v", r.key, r.replies)
		case refused == len(r.replies) && n > 0:
			return fmt.Errorf("key %s ran, though all its answers said notRun: %v", r.key, r.replies)
		}
	}
	return nil
}

func (w *world) checkClean(l *load) error {
	for _, r := range l.requests {
		for _, reply := range r.replies {
			if reply.broken != nil || reply.answer.Error != nil || reply.answer.Status != http.StatusOK {
				return fmt.Errorf("key %s: %s", r.key, &reply)
			}
		}
	}
	return nil
}

func (w *world) checkHistories(l *load) error {
	seen := map[string]bool{}
	for _, r := range l.requests {
		if !seen[r.program] {
			seen[r.program] = true
			if err := w.history(nil, []string{r.program}); err != nil {
				return err
			}
		}
	}
	return nil
}

func (w *world) checkSome(l *load) error {
	for _, r := range l.requests {
		if outcomeOf(r) == "200" {
			return nil
		}
	}
	return errors.New("no request was answered")
}

// checkAdmitted counts refusals. Connections that broke with a daemon are none.
func (w *world) checkAdmitted(l *load) error {
	refused, broken := map[string]int{}, 0
	for _, r := range l.requests {
		for _, reply := range r.replies {
			switch {
			case reply.broken != nil:
				broken++
			case reply.answer.Error != nil && reply.answer.Error.Run == "notRun":
				refused[reply.answer.Error.Code]++
			}
		}
	}
	w.note("load %s: of %d requests refused: %v; connections broken: %d", l.name, len(l.requests), refused, broken)
	if len(refused) > 0 {
		return fmt.Errorf("refused: %v", refused)
	}
	return nil
}

func (w *world) checkServed(l *load) error {
	for _, r := range l.requests {
		for _, reply := range r.replies {
			if reply.broken == nil && reply.answer.Error != nil && reply.answer.Error.Code == "quarantined" {
				return fmt.Errorf("key %s was quarantined: %v", r.key, r.replies)
			}
		}
		if outcomeOf(r) != "200" {
			return fmt.Errorf("key %s was not served: %v", r.key, r.replies)
		}
	}
	return nil
}
