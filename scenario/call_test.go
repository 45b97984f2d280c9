package scenario_test

import (
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/comfreylink/comfreylink/scenario/caller"
)

// requestOptions are the options of chat, call, end and raw.
var requestOptions = []string{"as", "deadline", "tokens", "stream", "retry", "model", "method", "path", "body", "program", "expected", "workspace"}

// request holds the daemons to which a request is sent in turn, the caller's key and the options.
type request struct {
	entries []string
	key     string
	options map[string]string
}

// request parses the arguments of a command that makes a request. The first one names the entries, and options follow the first
// count arguments.
func (w *world) request(args []string, count int, usage string) (q request, err error) {
	if err := requireArgs(args, count, usage); err != nil {
		return q, err
	}
	if q.options, err = options(args[count:], requestOptions...); err != nil {
		return q, err
	}
	q.entries = strings.Split(args[0], ",")
	name := cmp.Or(q.options["as"], mainKey)
	w.mu.Lock()
	defer w.mu.Unlock()
	if q.key = w.keys[name]; q.key == "" && name != "none" {
		q.key = name // not the label of a key: sent as it is
	}
	return q, nil
}

func (q request) deadline() time.Duration {
	d, err := time.ParseDuration(cmp.Or(q.options["deadline"], "20s"))
	if err != nil {
		return 0
	}
	return d
}

// dashAsEmpty returns an empty string for the argument "-", and any other argument unchanged.
func dashAsEmpty(s string) string {
	if s == "-" {
		return ""
	}
	return s
}

// chat ENTRY PROGRAM KEY TEXT [OPTION=VALUE...]: makes a model call. With retry=true or several comma-separated entries,
// the call is repeated with the same key, as callers do, until its outcome is known.
func (w *world) chat(out *reply, args []string) error {
	q, err := w.request(args, 4, "chat ENTRY PROGRAM KEY TEXT [OPTION=VALUE...]")
	if err != nil {
		return err
	}
	tokens, err := strconv.Atoi(cmp.Or(q.options["tokens"], "8"))
	if err != nil {
		return err
	}
	c := caller.Chat{
		Program: dashAsEmpty(args[1]), Key: dashAsEmpty(args[2]), Model: cmp.Or(q.options["model"], brainPool), Text: args[3],
		Tokens: tokens, Stream: q.options["stream"] == "true", Deadline: q.deadline(),
	}
	*out = w.try(q, func(client *caller.Caller, address string) (caller.Answer, error) {
		return client.Chat(w.ctx, address, c)
	})
	w.recordTurn(c, *out)
	return nil
}

// call ENTRY SERVICE KEY [OPTION=VALUE...]: makes a service request. The defaults are method=POST and path=/prints.
func (w *world) call(out *reply, args []string) error {
	q, err := w.request(args, 3, "call ENTRY SERVICE KEY [OPTION=VALUE...]")
	if err != nil {
		return err
	}
	r := caller.Request{
		Method: cmp.Or(q.options["method"], http.MethodPost), Program: q.options["program"], Key: dashAsEmpty(args[2]), Deadline: q.deadline(),
		Body: []byte(cmp.Or(q.options["body"], `{"mugs":24}`)),
	}
	path := "/services/" + args[1] + cmp.Or(q.options["path"], "/prints")
	*out = w.try(q, func(client *caller.Caller, address string) (caller.Answer, error) {
		r.URL = "http://" + address + path
		return client.Do(w.ctx, r)
	})
	return nil
}

// end ENTRY PROGRAM [OPTION=VALUE...]: ends a program with a DELETE request.
func (w *world) end(out *reply, args []string) error {
	q, err := w.request(args, 2, "end ENTRY PROGRAM [OPTION=VALUE...]")
	if err != nil {
		return err
	}
	*out = w.try(q, func(client *caller.Caller, address string) (caller.Answer, error) {
		return client.Do(w.ctx, caller.Request{Method: http.MethodDelete, URL: "http://" + address + "/v1/programs/" + args[1]})
	})
	return nil
}

// raw ENTRY METHOD PATH BODY [OPTION=VALUE...]: sends a request with any method, path and body.
func (w *world) raw(out *reply, args []string) error {
	q, err := w.request(args, 4, "raw ENTRY METHOD PATH BODY [OPTION=VALUE...]")
	if err != nil {
		return err
	}
	body, err := bodyOf(args[3])
	if err != nil {
		return err
	}
	deadline := q.deadline()
	*out = w.try(q, func(client *caller.Caller, address string) (caller.Answer, error) {
		return client.Do(w.ctx, caller.Request{Method: args[1], URL: "http://" + address + args[2], Deadline: deadline, Body: body})
	})
	return nil
}

// bodyOf returns the text as bytes. The text bytes:COUNT stands for COUNT bytes of "x".
func bodyOf(text string) ([]byte, error) {
	n, ok := strings.CutPrefix(text, "bytes:")
	if !ok {
		return []byte(text), nil
	}
	count, err := strconv.Atoi(n)
	return []byte(strings.Repeat("x", max(count, 0))), err
}

// sharedClient is used by all requests except those of loads, so that later requests reuse open connections.
var sharedClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}

// try makes a request once. With retry=true or several entries it repeats the request, at each entry in turn, until its
// outcome is known.
func (w *world) try(q request, f func(*caller.Caller, string) (caller.Answer, error)) (r reply) {
	client := &caller.Caller{Key: q.key, HTTP: sharedClient}
	retry := q.options["retry"] == "true" || len(q.entries) > 1
	for end := time.Now().Add(waitTimeout); ; time.Sleep(50 * time.Millisecond) {
		p := w.cluster.Process(q.entries[0])
		q.entries = append(q.entries[1:], q.entries[0])
		r.requested = true
		if p == nil {
			r.broken = errors.New("no such process")
			return r
		}
		r.answer, r.broken = f(client, p.Address)
		if !retry || time.Now().After(end) || r.decided() {
			return r
		}
	}
}

// decided reports whether the outcome is known or cannot be learned, so that a caller need not repeat the request.
func (r reply) decided() bool {
	if r.broken != nil {
		return false
	}
	e := r.answer.Error
	// An error without a code comes from the service itself.
	return e == nil || e.Code == "" || e.Code == "outcomeUnknown" || e.Run == "ran" && e.RetryMs == 0 || e.Run == "notRun" && e.RetryMs == 0
}

func (r *reply) String() string {
	if r.broken != nil {
		return "no complete answer: " + r.broken.Error()
	}
	return fmt.Sprintf("answer: %v", r.fields())
}

// fields returns the fields that expect can check.
func (r reply) fields() map[string]string {
	a := r.answer
	f := map[string]string{
		"status": strconv.Itoa(a.Status), "entry": a.Entry, "owner": a.Owner, "target": a.Target, "turn": a.Turn,
		"replayed": strconv.FormatBool(a.Replayed), "text": a.Text, "code": "", "run": "", "message": "",
	}
	if a.Error != nil {
		f["code"], f["run"], f["message"] = a.Error.Code, a.Error.Run, a.Error.Message
		f["retry"] = strconv.FormatInt(a.Error.RetryMs, 10)
	}
	return f
}

// expect FIELD=VALUE|VALUE...: checks fields of the last answer. FIELD~TEXT checks that a field contains the text. The single
// argument broken checks that no complete answer was received.
func (w *world) expect(_ *reply, args []string) error {
	if !w.last.requested {
		return errors.New("no request was made")
	}
	if len(args) == 1 && args[0] == "broken" {
		if w.last.broken == nil {
			return fmt.Errorf("a complete answer was received: %s", &w.last)
		}
		return nil
	}
	if w.last.broken != nil {
		return fmt.Errorf("no complete answer: %w", w.last.broken)
	}
	fields := w.last.fields()
	for _, a := range args {
		if name, want, ok := strings.Cut(a, "~"); ok && !strings.Contains(name, "=") {
			if !strings.Contains(fields[name], want) {
				return fmt.Errorf("%s is %q, which does not contain %q", name, fields[name], want)
			}
			continue
		}
		name, want, ok := strings.Cut(a, "=")
		got, known := fields[name]
		if !ok || !known {
			return fmt.Errorf("argument %q is not FIELD=VALUE with a field of the answer", a)
		}
		if !slices.Contains(strings.Split(want, "|"), got) {
			return fmt.Errorf("%s is %q, want %s; %s", name, got, want, &w.last)
		}
	}
	return nil
}

// accepted DAEMON LABEL: checks that a daemon accepts a key, by an idempotent request that must succeed.
func (w *world) accepted(_ *reply, args []string) error {
	if err := requireArgs(args, 2, "accepted DAEMON LABEL"); err != nil {
		return err
	}
	var r reply
	if err := w.call(&r, []string{args[0], deskPool, "-", "method=GET", "deadline=5s", "as=" + args[1]}); err != nil {
		return err
	}
	if r.broken != nil || r.answer.Status != http.StatusOK {
		return fmt.Errorf("key %s at %s: %s", args[1], args[0], &r)
	}
	return nil
}

// answered NAME: checks that a background command has ended.
func (w *world) answered(_ *reply, args []string) error {
	if err := requireArgs(args, 1, "answered NAME"); err != nil {
		return err
	}
	if j := w.jobs[args[0]]; j != nil {
		select {
		case <-j.done:
			return nil
		default:
		}
	}
	return fmt.Errorf("%q has not ended", args[0])
}
