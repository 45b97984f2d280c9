package record_test

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/pkg/record"
)

// Guards against the loss of message fields that the daemon does not interpret, such as tool calls.
func TestMessageKeepsUnknownFields(t *testing.T) {
	c := qt.New(t)
	in := `{"content":"ok","name":"clay","role":"tool","tool_call_id":"7"}`
	var m record.Message
	c.Assert(json.Unmarshal([]byte(in), &m), qt.IsNil)
	out, err := json.Marshal(m)
	c.Assert(err, qt.IsNil)
	c.Assert(string(out), qt.Equals, in)
}
