// Package explain tells the story of a request, a program or a turn from the logs of all instances.
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

// maxLine bounds one line of a log.
const maxLine = 1 << 20

// around is how long before a request's first event and after its last one an instance's beliefs are of interest.
const around = 5 * time.Second

// Event is one line of a log.
type Event struct {
	At       time.Time
	Name     string
	Instance string
	Fields   map[string]any
}

// beliefs are the events that say what an instance took for true.
var beliefs = []string{
	"started", "draining", "stopped", "readinessChanged", "configAccepted", "configIgnored", "logContactLost", "logContactRegained",
	"reportFailed", "ledgerFailed", "linesDropped", "targetChanged", "targetRemoved", "targetMoved",
}

// Story is what the logs say of one id.
type Story struct {
	ID string
	// Events are those of the id, by time.
	Events []Event
	// Beliefs are what the instances of these events took for true around then. Those of targets are left out unless the
	// request went to them.
	Beliefs []Event
	// Missing says what the logs do not show.
	Missing []string
}

// Read reads logs and returns the story of a request, program, session or turn. A log may have anything before the JSON
// object of a line; lines without one are ignored.
func Read(id string, logs ...io.Reader) (s Story, err error) {
	s.ID = id
	var all []Event
	for _, log := range logs {
		lines := bufio.NewScanner(log)
		lines.Buffer(nil, maxLine)
		for lines.Scan() {
			e, ok := parse(lines.Bytes())
			switch {
			case !ok:
			case e.names(id):
				s.Events = append(s.Events, e)
			case slices.Contains(beliefs, e.Name):
				all = append(all, e)
			}
		}
		if err := lines.Err(); err != nil {
			return s, fmt.Errorf("read a log: %w", err)
		}
	}
	byTime := func(a, b Event) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(s.Events, byTime)
	slices.SortStableFunc(all, byTime)
	s.takeBeliefs(all)
	s.findMissing()
	return s, nil
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

// names reports whether the event concerns an id.
func (e Event) names(id string) bool {
	for _, k := range []string{"requestId", "programId", "sessionId"} {
		if e.Fields[k] == id {
			return true
		}
	}
	return false
}

func (s *Story) takeBeliefs(all []Event) {
	if len(s.Events) == 0 {
		return
	}
	from, to := s.Events[0].At.Add(-around), s.Events[len(s.Events)-1].At.Add(around)
	involved := make(map[string]bool)
	for _, e := range s.Events {
		involved[e.Instance] = true
		if target, ok := e.Fields["target"].(string); ok {
			involved[target] = true
		}
	}
	for _, e := range all {
		target, concernsTarget := e.Fields["target"].(string)
		if !involved[e.Instance] || e.At.Before(from) || e.At.After(to) || concernsTarget && !involved[target] {
			continue
		}
		s.Beliefs = append(s.Beliefs, e)
	}
}

// findMissing names requests without an answer.
func (s *Story) findMissing() {
	if len(s.Events) == 0 {
		s.Missing = []string{"no instance logged anything under this id: it never arrived, or the logs are not complete"}
		return
	}
	answered := make(map[any]bool)
	for _, e := range s.Events {
		if e.Name == "requestAnswered" {
			answered[e.Fields["requestId"]] = true
		}
	}
	told := make(map[any]bool)
	for _, e := range s.Events {
		id := e.Fields["requestId"]
		if id != nil && !answered[id] && !told[id] {
			told[id] = true
			s.Missing = append(s.Missing, fmt.Sprintf("request %v has no answer at %s: the instance ended or was frozen before, or left the line out", id, e.Instance))
		}
	}
	for _, e := range s.Beliefs {
		if e.Name == "linesDropped" {
			s.Missing = append(s.Missing, fmt.Sprintf("%s left out %v lines", e.Instance, e.Fields["count"]))
		}
	}
}

// Print writes the story for people.
func (s Story) Print(w io.Writer) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s\n", s.ID)
	section := func(title string, l []Event) {
		if len(l) == 0 {
			return
		}
		fmt.Fprintf(&b, "\n%s\n", title)
		for _, e := range l {
			fmt.Fprintf(&b, "  %s %-20s %-22s %s\n", e.At.Format("15:04:05.000"), e.Instance, e.Name, e.details())
		}
	}
	section("what happened to it", s.Events)
	section("what these instances took for true", s.Beliefs)
	if len(s.Missing) > 0 {
		fmt.Fprintf(&b, "\nwhat is missing\n  %s\n", strings.Join(s.Missing, "\n  "))
	}
	_, err := w.Write(b.Bytes())
	return err
}

// details lists the fields by name.
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
