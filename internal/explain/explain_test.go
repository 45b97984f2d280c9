package explain_test

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/internal/explain"
)

const logs = `   5.1 g1 {"level":"info","time":"2026-01-01T00:00:05.1Z","name":"requestAnswered","instance":"g1","zone":"z","event":610,"requestId":"r1","programId":"p","status":503,"reason":"accountUnavailable","run":"notRun"}
not a log line
{"level":"warn","time":"2026-01-01T00:00:04Z","name":"logContactLost","instance":"g1","event":200,"operation":"direct","error":"refused"}
{"level":"warn","time":"2026-01-01T00:00:04Z","name":"logContactLost","instance":"g2","event":200,"operation":"direct"}
{"level":"info","time":"2026-01-01T00:00:06Z","name":"attemptFailed","instance":"g1","event":612,"requestId":"r2","programId":"p","target":"w1","reason":"answerBroken","run":"unknown"}
{"level":"info","time":"2026-01-01T00:00:05.5Z","name":"targetRemoved","instance":"g1","event":704,"target":"w1"}
{"level":"info","time":"2026-01-01T00:00:05.5Z","name":"targetRemoved","instance":"g1","event":704,"target":"w2"}
`

// Guards against a timeline without the context events of the instances involved, or with those of other instances and
// targets.
func TestTimeline(t *testing.T) {
	c := qt.New(t)
	timeline, err := explain.Read("p", strings.NewReader(logs))
	c.Assert(err, qt.IsNil)
	c.Assert(timeline.Events, qt.HasLen, 2)
	c.Assert(timeline.Context, qt.HasLen, 2)
	c.Assert(timeline.Missing, qt.HasLen, 1)
	c.Assert(timeline.Missing[0], qt.Contains, "r2")
	var b bytes.Buffer
	c.Assert(timeline.Print(&b), qt.IsNil)
	for _, want := range []string{"accountUnavailable", "logContactLost", "error=refused", "targetRemoved", "target=w1"} {
		c.Check(b.String(), qt.Contains, want)
	}
	c.Check(b.String(), qt.Not(qt.Contains), "w2")
	c.Check(b.String(), qt.Not(qt.Contains), "g2")
	none, err := explain.Read("unknown", strings.NewReader(logs))
	c.Assert(err, qt.IsNil)
	c.Assert(none.Missing, qt.HasLen, 1)
}
