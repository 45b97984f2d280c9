package events_test

import (
	"flag"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/samber/oops"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/comfreylink/comfreylink/internal/events"
)

const page = "../../docs/EVENTS.md"

var update = flag.Bool("update", false, "write "+page)

// Guards against a difference between docs/EVENTS.md and the catalogue.
func TestPage(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Log events\n\n`go test ./internal/events -update` writes this page from the catalogue in `internal/events`.\n" +
		"Every event has the field `event` with its number.\n")
	for _, e := range events.All() {
		fmt.Fprintf(&b, "\n## %d %s\n\nLevel %s. %s\n\nOperator: %s\n\nFields: `%s`\n",
			e.Number, e.Name, e.Level, e.Meaning, e.Action, strings.Join(e.Fields, "`, `"))
	}
	if *update {
		qt.Assert(t, os.WriteFile(page, []byte(b.String()), 0o644), qt.IsNil)
	}
	got, err := os.ReadFile(page)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(got), qt.Equals, b.String())
}

// lineKeys are the keys that every line has besides the fields of its event.
var lineKeys = map[string]bool{"time": true, "level": true, "name": true, events.NumberField: true}

// Guards against two events with the same number or name, against names of events and fields that are not in camel case, and
// against a field whose key every line has already: a reader of the JSON keeps only one of the two values.
func TestCatalogue(t *testing.T) {
	camelCase := regexp.MustCompile(`^[a-z][a-zA-Z0-9]*$`)
	names := map[string]bool{}
	last := 0
	for _, e := range events.All() {
		qt.Check(t, e.Number > last, qt.IsTrue, qt.Commentf("%d after %d", e.Number, last))
		qt.Check(t, names[e.Name], qt.IsFalse, qt.Commentf("%s is defined twice", e.Name))
		last, names[e.Name] = e.Number, true
		for _, name := range append(e.Fields, e.Name) {
			qt.Check(t, name, qt.Matches, camelCase)
		}
		for _, name := range e.Fields {
			qt.Check(t, lineKeys[name], qt.IsFalse, qt.Commentf("%s writes the key %s twice into its line", e.Name, name))
		}
	}
}

// Guards against logging an event without its number, below the logger's level or with a stack trace.
func TestLog(t *testing.T) {
	core, logged := observer.New(zapcore.InfoLevel)
	events.Log(zap.New(core), events.SlotOpened, zap.Int("slot", 3))
	events.Log(zap.New(core), events.RequestRefused)
	events.Log(zap.New(core), events.InternalError, zap.Error(oops.Errorf("fault")))
	qt.Assert(t, logged.Len(), qt.Equals, 2)
	qt.Assert(t, logged.All()[1].ContextMap(), qt.DeepEquals, map[string]any{"event": int64(900), "error": "fault"})
	entry := logged.All()[0]
	qt.Assert(t, entry.Message, qt.Equals, "slotOpened")
	qt.Assert(t, entry.ContextMap(), qt.DeepEquals, map[string]any{"event": int64(301), "slot": int64(3)})
}
