package document_test

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/internal/document"
	"github.com/comfreylink/comfreylink/pkg/config"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Guards against examples that are not valid together, because operators copy them, and against a document that changes
// when it is formatted and parsed again.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../../examples/[tw]*/*.ini") // templates sort before workspaces
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) >= 6, qt.IsTrue)
	c := config.New()
	for i, file := range files {
		p, err := document.Load(file)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, c.Apply(ids.Position{Offset: ids.Offset(i)}, "test#1", p), qt.IsNil)
		object, ok := c.Current().Object(p.Object)
		qt.Assert(t, ok, qt.IsTrue)
		text, err := document.Format(object)
		qt.Assert(t, err, qt.IsNil)
		again, err := document.Parse(file, text)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(again.Document), qt.Equals, string(object.Document))
	}
}

const keys = `[workspace]
name = kitchen
templates = brain
rate = 2.5
burst = 3
budget = 4

[key first]
sha256 = 2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b
expiresAt = 2027-01-01T00:00:00Z
`

// Guards against losing a key's hash or expiry when a document is formatted and parsed again.
func TestKeys(t *testing.T) {
	p, err := document.Parse("w.ini", []byte(keys))
	qt.Assert(t, err, qt.IsNil)
	text, err := document.Format(config.Object{Name: p.Object, Document: p.Document})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(text), qt.Equals, strings.Replace(keys, "budget = 4\n", "budget = 4\nweight = 1\n", 1))
	qt.Assert(t, config.HashKey("secret").String(), qt.Equals, "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b")
	qt.Assert(t, strings.Contains(string(p.Document), time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC).Format(time.RFC3339)), qt.IsTrue)
}

// Guards against a typing error that is ignored, so that a default is used instead.
func TestErrors(t *testing.T) {
	for text, want := range map[string]string{
		"[program]\nmaxTurns = 1":                                   `w.ini: want either a section \[template\] or .*`,
		keys + "colour = red":                                       `w.ini: \[key first\] colour: unknown key`,
		strings.Replace(keys, "rate", "rates", 1):                   `w.ini: \[workspace\] rates: unknown key`,
		strings.Replace(keys, "burst = 3\n", "", 1):                 `w.ini: invalid: workspace/kitchen: burst 0: want 1 to 1000000`,
		strings.Replace(keys, "2bb", "xyz", 1):                      `w.ini: \[key first\] sha256: key hash: .*`,
		strings.Replace(keys, "2027-01", "soon", 1):                 `w.ini: \[key first\] expiresAt: .*`,
		strings.Replace(keys, "[workspace]", "[service x]", 1):      `w.ini: want either .*`,
		keys + "[service x]\npool = y":                              `w.ini: \[service x\]: unknown section`,
		"[template]\nname = x\n[model m]\npool = p\n[model m]\na=b": `(?s).*\[model m\]: the section is given twice.*`,
	} {
		_, err := document.Parse("w.ini", []byte(text))
		qt.Check(t, err, qt.ErrorMatches, want)
	}
}
