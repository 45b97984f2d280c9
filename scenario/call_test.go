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

// requestOptions are what chat, call, end and raw accept after their arguments.
var requestOptions = []string{"as", "deadline", "tokens", "stream", "retry", "model", "method", "path", "body", "program", "expected", "workspace"}

// request is a request with the daemons that a caller may send it to, one after the other.
type request struct {
	entries []string
	key     string
	options map[string]string
}

func (w *world) request(args []string, count int, usage string) (q request, err error) {
	if err := need(args, count, usage); err != nil {
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
		q.key = name // a key that was never given
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

// dash is the argument for no value.
func dash(s string) string {
	if s == "-" {
		return ""
	}
	return s
}

// chat ENTRY PROGRAM KEY TEXT [OPTION=VALUE...]: makes a model call. With retry=true, or several entries separated by
// commas, the call is repeated with its key, as callers do, until its outcome is known.
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
		Program: dash(args[1]), Key: dash(args[2]), Model: cmp.Or(q.options["model"], brainPool), Text: args[3],
		Tokens: tokens, Stream: q.options["stream"] == "true", Deadline: q.deadline(),
	}
	*out = w.try(q, func(who *caller.Caller, address string) (caller.Answer, error) { return who.Chat(w.ctx, address, c) })
	w.noteTurn(c, *out)
	return nil
}

// call ENTRY SERVICE KEY [OPTION=VALUE...]: makes a service request; POST /prints unless method and path say otherwise.
func (w *world) call(out *reply, args []string) error {
	q, err := w.request(args, 3, "call ENTRY SERVICE KEY [OPTION=VALUE...]")
	if err != nil {
		return err
	}
	r := caller.Request{
		Method: cmp.Or(q.options["method"], http.MethodPost), Program: q.options["program"], Key: dash(args[2]), Deadline: q.deadline(),
		Body: []byte(cmp.Or(q.options["body"], `{"mugs":24}`)),
	}
	path := "/services/" + args[1] + cmp.Or(q.options["path"], "/prints")
	*out = w.try(q, func(who *caller.Caller, address string) (caller.Answer, error) {
		r.URL = "http://" + address + path
		return who.Do(w.ctx, r)
	})
	return nil
}

// end ENTRY PROGRAM [OPTION=VALUE...]: ends a program.
func (w *world) end(out *reply, args []string) error {
	q, err := w.request(args, 2, "end ENTRY PROGRAM [OPTION=VALUE...]")
	if err != nil {
		return err
	}
	*out = w.try(q, func(who *caller.Caller, address string) (caller.Answer, error) {
		return who.Do(w.ctx, caller.Request{Method: http.MethodDelete, URL: "http://" + address + "/v1/programs/" + args[1]})
	})
	return nil
}

// raw ENTRY METHOD PATH BODY [OPTION=VALUE...]: makes any request.
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
	*out = w.try(q, func(who *caller.Caller, address string) (caller.Answer, error) {
		return who.Do(w.ctx, caller.Request{Method: args[1], URL: "http://" + address + args[2], Deadline: deadline, Body: body})
	})
	return nil
}

// bodyOf returns the text, or for bytes:COUNT so many bytes.
func bodyOf(text string) ([]byte, error) {
	n, ok := strings.CutPrefix(text, "bytes:")
	if !ok {
		return []byte(text), nil
	}
	count, err := strconv.Atoi(n)
	return []byte(strings.Repeat("x", max(count, 0))), err
}

// connection is what all foreground requests of a process share, so that a later request goes over an open connection.
var connection = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}

// try makes a request once, or with retry=true or several entries until its outcome is known.
func (w *world) try(q request, f func(*caller.Caller, string) (caller.Answer, error)) (r reply) {
	who := &caller.Caller{Key: q.key, HTTP: connection}
	again := q.options["retry"] == "true" || len(q.entries) > 1
	for end := time.Now().Add(waitLimit); ; time.Sleep(50 * time.Millisecond) {
		p := w.cluster.Process(q.entries[0])
		q.entries = append(q.entries[1:], q.entries[0])
		r.asked = true
		if p == nil {
			r.broken = errors.New("no such process")
			return r
		}
		r.answer, r.broken = f(who, p.Address)
		if !again || time.Now().After(end) || r.decided() {
			return r
		}
	}
}

// decided reports whether a caller has no reason to repeat a request with its key.
func (r reply) decided() bool {
	if r.broken != nil {
		return false
	}
	e := r.answer.Error
	// An error without a code is the service's own answer.
	return e == nil || e.Code == "" || e.Code == "outcomeUnknown" || e.Run == "ran" && e.RetryMs == 0 || e.Run == "notRun" && e.RetryMs == 0
}

func (r *reply) String() string {
	if r.broken != nil {
		return "no whole answer: " + r.broken.Error()
	}
	return fmt.Sprintf("answer: %v", r.fields())
}

// fields are what expect compares.
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

// expect FIELD=VALUE|VALUE...: checks the last answer. FIELD~VALUE wants the value within the field. Without an answer
// only the argument broken is right.
func (w *world) expect(_ *reply, args []string) error {
	if !w.last.asked {
		return errors.New("no request was made")
	}
	if len(args) == 1 && args[0] == "broken" {
		if w.last.broken == nil {
			return fmt.Errorf("a whole answer came: %s", &w.last)
		}
		return nil
	}
	if w.last.broken != nil {
		return fmt.Errorf("no whole answer: %w", w.last.broken)
	}
	fields := w.last.fields()
	for _, a := range args {
		if name, want, ok := strings.Cut(a, "~"); ok && !strings.Contains(name, "=") {
			if !strings.Contains(fields[name], want) {
				return fmt.Errorf("%s is %q, without %q", name, fields[name], want)
			}
			continue
		}
		name, want, ok := strings.Cut(a, "=")
		got, known := fields[name]
		if !ok || !known {
			return fmt.Errorf("argument %q names no field of the answer", a)
		}
		if !slices.Contains(strings.Split(want, "|"), got) {
			return fmt.Errorf("%s is %q, want %s; %s", name, got, want, &w.last)
		}
	}
	return nil
}

// accepted DAEMON LABEL: makes a repeatable request with a key, which must be answered.
func (w *world) accepted(_ *reply, args []string) error {
	if err := need(args, 2, "accepted DAEMON LABEL"); err != nil {
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

// answered NAME: succeeds if a request in the background has ended.
func (w *world) answered(_ *reply, args []string) error {
	if err := need(args, 1, "answered NAME"); err != nil {
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
