package call_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/internal/call"
)

// Guards against a rank that counts priorities of other services, or routes of the same priority twice.
func TestRank(t *testing.T) {
	c := qt.New(t)
	backends := func(names ...call.ServiceName) (l []call.Backend) {
		for _, n := range names {
			l = append(l, call.Backend{Service: n, Weight: 1})
		}
		return l
	}
	table := call.NewTable(call.Config{Routes: []call.Route{
		{Name: "a", Host: "h", Prefix: "/a/", Priority: 0, Backends: backends("llm")},
		{Name: "b", Host: "h", Prefix: "/b/", Priority: 0, Backends: backends("llm")},
		{Name: "c", Host: "h", Prefix: "/c/", Priority: 2, Backends: backends("llm")},
		{Name: "d", Host: "h", Prefix: "/d/", Priority: 3, Backends: backends("llm", "app")},
		{Name: "e", Host: "h", Prefix: "/e/", Priority: 5, Backends: backends("app")},
	}})
	for path, want := range map[string]int{"/a/": 0, "/b/": 0, "/c/": 1, "/d/": 2, "/e/": 1} {
		c.Check(table.Rank(table.Route("h", path)), qt.Equals, want, qt.Commentf("%s", path))
	}
}
