package gateway

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/internal/call"
)

// Guards against requests of running programs that count as the first of a new one, which may be refused, at each instance that
// the program has not used before. With hundreds of instances most calls of tools arrive at such an instance.
func TestRequestsOfRunningPrograms(t *testing.T) {
	for _, test := range []struct {
		name    string
		request call.Request
		kind    call.Kind
		running bool
	}{
		{"first turn", call.Request{Program: "p"}, call.Stream, false},
		{"later turn", call.Request{Program: "p", Previous: "t"}, call.Stream, true},
		{"tool that may be repeated", call.Request{Program: "p"}, call.Safe, true},
		{"tool that may not be repeated", call.Request{Program: "p"}, call.Unsafe, true},
		{"request without a program", call.Request{}, call.Safe, false},
	} {
		got := belongsToRunningProgram(test.request, &call.Route{Kind: test.kind})
		qt.Check(t, got, qt.Equals, test.running, qt.Commentf("%s", test.name))
	}
}
