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

// load is a group of workers that make requests until finish.
type load struct {
	kind, name string
	keyLabel   string
	retry      bool
	balanced   bool // send only to daemons that have been ready, as a load balancer does
	stream     bool
	deadline   time.Duration
	ticks      <-chan time.Time // if set, each tick allows one request
	stopped    chan struct{}
	workers    sync.WaitGroup

	mu       sync.Mutex
	requests []loadRequest
}

// loadRequest is a request of a load with the replies to all its attempts.
type loadRequest struct {
	key     string
	program string
	replies []reply
}

// load NAME KIND [workers=4] [retry=true] [deadline=20s] [tokens=8] [as=LABEL] [every=DURATION] [balanced=false]
// [stream=true]: starts workers that send requests to all daemons in turn. The kinds are:
//   - call: non-idempotent service requests
//   - get: idempotent service requests
//   - chat: turns, with separate programs for each worker; streamed unless stream=false
//
// With retry=false, a request is not repeated. With every, all workers together make one request per interval, as long as one
// of them is free. With balanced=true, requests go only to daemons that have been ready.
func (w *world) load(_ *reply, args []string) error {
	if err := requireArgs(args, 2, "load NAME call|get|chat [OPTION=VALUE...]"); err != nil {
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
	l := &load{kind: args[1], name: args[0], keyLabel: cmp.Or(o["as"], mainKey), retry: o["retry"] != "false", balanced: o["balanced"] == "true", stream: o["stream"] != "false", deadline: deadline, stopped: make(chan struct{})}
	if text, ok := o["every"]; ok {
		every, err := time.ParseDuration(text)
		if err != nil {
			return err
		}
		ticker := time.NewTicker(every)
		l.ticks = ticker.C
		context.AfterFunc(w.ctx, ticker.Stop)
	}
	w.loads[args[0]] = l
	for i := range workers {
		l.workers.Go(func() { w.runWorker(l, i, cmp.Or(o["tokens"], "8")) })
	}
	return nil
}

// turnsPerProgram is lower than maxTurns in examples/templates/design.ini.
const turnsPerProgram = 100

// runWorker makes requests, one at a time, until the load or the script ends.
func (w *world) runWorker(l *load, worker int, tokens string) {
	client := &caller.Caller{Key: w.keys[l.keyLabel], HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: worker%2 == 0}}}
	for n := 0; ; n++ {
		select {
		case <-l.stopped:
			return
		case <-w.ctx.Done():
			return
		default:
		}
		if l.ticks != nil {
			select {
			case <-l.ticks:
			case <-l.stopped:
				return
			}
		}
		program := fmt.Sprintf("%s-%d.%d", l.name, worker, n/turnsPerProgram)
		r := loadRequest{key: fmt.Sprintf("%s-%d", program, n), program: program}
		w.sendUntilDecided(l, &r, client, worker+n, tokens)
		l.mu.Lock()
		l.requests = append(l.requests, r)
		l.mu.Unlock()
	}
}

// sendUntilDecided makes a request. Unless retry is off, it repeats the request at other daemons until its outcome is known.
func (w *world) sendUntilDecided(l *load, r *loadRequest, client *caller.Caller, first int, tokens string) {
	for attempt, end := 0, time.Now().Add(waitTimeout); ; attempt++ {
		names := w.runningDaemons()
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
		reply := w.sendOnce(l, r, client, p.Address, tokens)
		if errors.Is(reply.broken, errConnectionRefused) {
			time.Sleep(10 * time.Millisecond) // a load balancer would hide the refused connection from its caller
			continue
		}
		r.replies = append(r.replies, reply)
		if !l.retry || reply.decided() || time.Now().After(end) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// wasReady reports whether a daemon's current process is ready or was seen ready before.
func (w *world) wasReady(id string) bool {
	p := w.cluster.Process(id)
	w.mu.Lock()
	seen := w.readyOnce[id] == p
	w.mu.Unlock()
	if seen {
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

// errConnectionRefused replaces the error of a request that was not sent because the daemon did not listen.
var errConnectionRefused = errors.New("connection refused")

// sendOnce makes one attempt of a request at a daemon.
func (w *world) sendOnce(l *load, r *loadRequest, client *caller.Caller, address, tokens string) (out reply) {
	out.requested = true
	if method, ok := map[string]string{"call": http.MethodPost, "get": http.MethodGet}[l.kind]; ok {
		out.answer, out.broken = client.Do(w.ctx, caller.Request{
			Method: method, URL: "http://" + address + "/services/" + deskPool + "/prints", Key: r.key, Deadline: l.deadline,
			// Each request has its own content: requests with equal content would be quarantined together when services
			// break connections.
			Body: []byte(`{"order":"` + r.key + `"}`),
		})
	} else {
		count, _ := strconv.Atoi(tokens)
		c := caller.Chat{Program: r.program, Key: r.key, Model: brainPool, Text: "text of " + r.key, Tokens: count, Stream: l.stream, Deadline: l.deadline}
		out.answer, out.broken = client.Chat(w.ctx, address, c)
		w.recordTurn(c, out)
	}
	if out.broken != nil && strings.Contains(out.broken.Error(), errConnectionRefused.Error()) {
		out.broken = errConnectionRefused
	}
	return out
}

// finish NAME CHECK...: stops a load and checks its results. The checks are:
//   - once: no key ran twice, a key that was answered ran, and a key whose answers all said notRun did not run
//   - clean: every reply is a success
//   - histories: the history of every program is complete
//   - some: at least one request succeeded
//   - admitted: no request was refused as notRun
//   - served: every request succeeded in the end, and none was refused as quarantined
func (w *world) finishLoad(_ *reply, args []string) error {
	if err := requireArgs(args, 1, "finish NAME CHECK..."); err != nil {
		return err
	}
	l := w.loads[args[0]]
	if l == nil {
		return fmt.Errorf("no load %q", args[0])
	}
	close(l.stopped)
	l.workers.Wait()
	w.logAtEnd("load %s: %s", l.name, l.summary())
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

// summary returns the number of requests by outcome.
func (l *load) summary() string {
	counts := map[string]int{}
	for _, r := range l.requests {
		counts[outcomeOf(r)]++
	}
	return fmt.Sprintf("%d requests, %v", len(l.requests), counts)
}

// outcomeOf describes the last reply to a request.
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
			return fmt.Errorf("key %s was answered but did not run; answers: %v", r.key, r.replies)
		case refused == len(r.replies) && n > 0:
			return fmt.Errorf("key %s ran, but all its answers said notRun: %v", r.key, r.replies)
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
	return errors.New("no request succeeded")
}

// checkAdmitted fails if a request was refused as notRun. A connection that broke when its daemon died is not a refusal.
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
	w.logAtEnd("load %s: %d requests; refused by code: %v; broken connections: %d", l.name, len(l.requests), refused, broken)
	if len(refused) > 0 {
		return fmt.Errorf("requests were refused, by code: %v", refused)
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
