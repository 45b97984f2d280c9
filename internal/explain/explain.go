// Package explain collects what the logs of all instances contain about a request, program, session or turn.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLine is the maximum length of a log line in bytes.
const maxLine = 1 << 20

// margin is the time before the first event of an id and after the last one in which context events are collected.
const margin = 5 * time.Second

// Event is one logged event.
type Event struct {
	At       time.Time
	Name     string
	Instance string
	Fields   map[string]any
}

// contextEvents are the names of the events that show the state of an instance and what it knew about the configuration,
// the log and the targets.
var contextEvents = []string{
	"started", "draining", "stopped", "readinessChanged", "configAccepted", "configIgnored", "logContactLost", "logContactRegained",
	"reportFailed", "ledgerFailed", "linesDropped", "targetChanged", "targetRemoved", "targetMoved",
}

// Timeline holds what the logs contain about one id.
type Timeline struct {
	ID string
	// Events are the events of the id in the order of time.
	Events []Event
	// Context holds the context events of the instances that logged Events, from margin before the first of Events until
	// margin after the last one. Events about a target are left out unless one of Events names the target.
	Context []Event
	// Missing says what the logs lack.
	Missing []string
}

// Read reads logs and returns the timeline of a request, program, session or turn. A line may have any text before its
// JSON object. Lines without a JSON object are ignored.
func Read(id string, logs ...io.Reader) (t Timeline, err error) {
	t.ID = id
	var context []Event
	for _, log := range logs {
		lines := bufio.NewScanner(log)
		lines.Buffer(nil, maxLine)
		for lines.Scan() {
			e, ok := parse(lines.Bytes())
			switch {
			case !ok:
			case e.hasID(id):
				t.Events = append(t.Events, e)
			case slices.Contains(contextEvents, e.Name):
				context = append(context, e)
			}
		}
		if err := lines.Err(); err != nil {
			return t, fmt.Errorf("read a log: %w", err)
		}
	}
	byTime := func(a, b Event) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(t.Events, byTime)
	slices.SortStableFunc(context, byTime)
	t.selectContext(context)
	t.findMissing()
	return t, nil
}

func parse(line []byte) (e Event, ok bool) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return e, false
	}
	var fields map[string]any
	if err := json.Unmarshal(line[start:], &fields); err != nil {
		return e, false
	}
	e.Name, _ = fields["name"].(string)
	e.Instance, _ = fields["instance"].(string)
	at, _ := fields["time"].(string)
	e.At, _ = time.Parse(time.RFC3339Nano, at)
	for _, k := range []string{"name", "instance", "time", "level", "event", "zone"} {
		delete(fields, k)
	}
	e.Fields = fields
	return e, e.Name != ""
}

// hasID reports whether the event has the id of a request, program or session in its fields.
func (e Event) hasID(id string) bool {
	for _, k := range []string{"requestId", "programId", "sessionId"} {
		if e.Fields[k] == id {
			return true
		}
	}
	return false
}

// selectContext sets Context from the context events of all instances.
func (t *Timeline) selectContext(context []Event) {
	if len(t.Events) == 0 {
		return
	}
	from, to := t.Events[0].At.Add(-margin), t.Events[len(t.Events)-1].At.Add(margin)
	involved := make(map[string]bool)
	for _, e := range t.Events {
		involved[e.Instance] = true
		if target, ok := e.Fields["target"].(string); ok {
			involved[target] = true
		}
	}
	for _, e := range context {
		target, concernsTarget := e.Fields["target"].(string)
		if !involved[e.Instance] || e.At.Before(from) || e.At.After(to) || concernsTarget && !involved[target] {
			continue
		}
		t.Context = append(t.Context, e)
	}
}

// findMissing sets Missing: requests without an answer, and log lines that instances dropped.
func (t *Timeline) findMissing() {
	if len(t.Events) == 0 {
		t.Missing = []string{"no event has this id: the request never arrived, or the logs are incomplete"}
		return
	}
	answered := make(map[any]bool)
	for _, e := range t.Events {
		if e.Name == "requestAnswered" {
			answered[e.Fields["requestId"]] = true
		}
	}
	reported := make(map[any]bool)
	for _, e := range t.Events {
		id := e.Fields["requestId"]
		if id != nil && !answered[id] && !reported[id] {
			reported[id] = true
			t.Missing = append(t.Missing, fmt.Sprintf("request %v has no answer at %s: the instance stopped or was frozen before it answered, or dropped the log line", id, e.Instance))
		}
	}
	for _, e := range t.Context {
		if e.Name == "linesDropped" {
			t.Missing = append(t.Missing, fmt.Sprintf("%s dropped %v log lines", e.Instance, e.Fields["count"]))
		}
	}
}

// Print writes the timeline as text.
func (t Timeline) Print(w io.Writer) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s\n", t.ID)
	section := func(title string, events []Event) {
		if len(events) == 0 {
			return
		}
		fmt.Fprintf(&b, "\n%s\n", title)
		for _, e := range events {
			fmt.Fprintf(&b, "  %s %-20s %-22s %s\n", e.At.Format("15:04:05.000"), e.Instance, e.Name, e.details())
		}
	}
	section("events", t.Events)
	section("state of these instances at the time", t.Context)
	if len(t.Missing) > 0 {
		fmt.Fprintf(&b, "\nmissing from the logs\n  %s\n", strings.Join(t.Missing, "\n  "))
	}
	_, err := w.Write(b.Bytes())
	return err
}

// details returns the fields as text, sorted by name.
func (e Event) details() string {
	keys := make([]string, 0, len(e.Fields))
	for k := range e.Fields {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	parts := make([]string, len(keys))
	for i, k := range keys {
		parts[i] = fmt.Sprintf("%s=%v", k, e.Fields[k])
	}
	return strings.Join(parts, " ")
}
